package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/quota"
)

// alone returns the pool of the only coordinator, with a full bucket, and the time.
func alone(t *testing.T, limit quota.Limit, tolerated quota.Terms) (*quota.Pool, time.Duration) {
	t.Helper()
	pool := quota.NewPool(0, quota.Options{Address: "a", Life: 1, Lease: lease, Terms: tolerated})
	pool.SetLimits(0, map[string]quota.Limit{tenant: limit})
	pool.SetGroup(0, "a", []string{"a"})
	// The first question makes the account, which begins empty.
	ask(t, pool, lease, quota.Question{Account: tenant})
	return pool, lease + time.Minute
}

// asked numbers the questions.
var asked uint64

func ask(t *testing.T, pool *quota.Pool, now time.Duration, q quota.Question) quota.Answer {
	t.Helper()
	asked++
	q.ID = asked
	pool.Ask(now, "gateway", q)
	decided := pool.Ready().Decisions
	require.Len(t, decided, 1)
	return decided[0].Answer
}

// Requests of one tenant compete by their urgency: what is tolerated above the limit is left to
// the urgent ones.
func TestUrgentRequestsPassWhileOthersWait(t *testing.T) {
	pool, now := alone(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Terms{Window: 8 * time.Second, Slack: 1200})
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1000, Rank: 4}).Admitted)
	require.False(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 100, Rank: 4}).Admitted)
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 100, Rank: 2}).Admitted)
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 100, Rank: 2}).Admitted)
	require.False(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 100, Rank: 2}).Admitted)
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 220, Rank: 0}).Admitted)
	require.False(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1, Rank: 0}).Admitted)
}

// A refused caller that comes back when it is told to is admitted, if no other comes; those who
// are refused after it are told later times, so that they don't return together.
func TestRetryAfterIsTrue(t *testing.T) {
	pool, now := alone(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Terms{Window: 8 * time.Second})
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1000}).Admitted)
	first := ask(t, pool, now, quota.Question{Account: tenant, Units: 500})
	second := ask(t, pool, now, quota.Question{Account: tenant, Units: 500})
	require.Equal(t, int64(500_000), first.WaitMicros)
	// The second one is behind the first, at the pace at which units come back over a window.
	require.InDelta(t, 500_000+500e6/1125, second.WaitMicros, 1)
	require.True(t, ask(t, pool, now+500*time.Millisecond, quota.Question{Account: tenant, Units: 500}).Admitted)
	require.True(t, ask(t, pool, now+time.Second, quota.Question{Account: tenant, Units: 500}).Admitted)
}

// A request that is larger than the burst passes when the bucket is full and its debt is
// tolerated, whatever its rank; a larger one never does, and is told so.
func TestLargeRequests(t *testing.T) {
	pool, now := alone(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Terms{Window: 8 * time.Second, Slack: 2000})
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1500, Rank: 9}).Admitted)
	refused := ask(t, pool, now, quota.Question{Account: tenant, Units: 1500, Rank: 9})
	require.False(t, refused.Admitted)
	require.False(t, refused.Never)
	refused = ask(t, pool, now, quota.Question{Account: tenant, Units: 1 << 40})
	require.True(t, refused.Never)
	require.Equal(t, 8*time.Second, time.Duration(refused.WaitMicros)*time.Microsecond)
}

// What never ran comes back, and what ran again is charged.
func TestWhatNeverRanComesBack(t *testing.T) {
	pool, now := alone(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Terms{Window: 8 * time.Second})
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1000}).Admitted)
	pool.Give(now, quota.Amount{Account: tenant, Units: 700})
	require.False(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 701}).Admitted)
	require.True(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 200}).Admitted)
	pool.Give(now, quota.Amount{Account: tenant, Units: -500})
	require.False(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1}).Admitted)
	// More than the burst never comes back.
	pool.Give(now, quota.Amount{Account: tenant, Units: 1 << 30})
	require.False(t, ask(t, pool, now, quota.Question{Account: tenant, Units: 1001}).Admitted)
}

// A tenant that is far beyond its limit takes nothing from another one.
func TestTenantsDoNotCompete(t *testing.T) {
	pool, now := alone(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Terms{})
	pool.SetLimits(now, map[string]quota.Limit{tenant: {Rate: 1000, Burst: 1000}, "other": {Rate: 10, Burst: 10}})
	ask(t, pool, now, quota.Question{Account: "other"})
	for range 100 {
		ask(t, pool, now+time.Minute, quota.Question{Account: tenant, Units: 500})
	}
	require.True(t, ask(t, pool, now+time.Minute, quota.Question{Account: "other", Units: 10}).Admitted)
}

// A pool that has a part of the limit refuses what the whole limit would hold, and does not say that
// it never can: its coordinator will reach the others again.
func TestAPartOfTheLimitDoesNotSayNever(t *testing.T) {
	pool := quota.NewPool(0, quota.Options{Address: "a", Life: 1, Lease: lease, Terms: quota.Terms{}})
	pool.SetLimits(0, map[string]quota.Limit{tenant: {Rate: 1000, Burst: 600}})
	pool.SetGroup(0, "", []string{"a", "b", "c", "d", "e", "f"})
	refused := ask(t, pool, time.Minute, quota.Question{Account: tenant, Units: 500})
	require.False(t, refused.Admitted)
	require.False(t, refused.Never)
	require.True(t, ask(t, pool, time.Minute, quota.Question{Account: tenant, Units: 601}).Never)
}
