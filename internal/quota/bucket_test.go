package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/quota"
)

// newSingleMemberPool returns the pool of the only coordinator, with a full bucket, and the time.
func newSingleMemberPool(t *testing.T, limit quota.Limit, tolerated quota.Enforcement) (*quota.Pool, time.Duration) {
	t.Helper()
	pool := quota.NewPool(0, quota.Options{Address: "a", Incarnation: 1, Lease: lease, Enforcement: tolerated})
	pool.SetLimits(0, map[string]quota.Limit{tenant: limit})
	pool.SetGroup(0, "a", []string{"a"})
	// The first query starts the count of the own share; the bucket begins empty.
	query(t, pool, lease, quota.Query{Account: tenant})
	return pool, lease + time.Minute
}

// lastQueryID is the ID of the last query.
var lastQueryID uint64

func query(t *testing.T, pool *quota.Pool, now time.Duration, q quota.Query) quota.Answer {
	t.Helper()
	lastQueryID++
	q.ID = lastQueryID
	pool.HandleQuery(now, "gateway", q)
	decided := pool.Ready().Decisions
	require.Len(t, decided, 1)
	return decided[0].Answer
}

// Requests of one tenant compete by rank: what is tolerated above the limit is left to the urgent
// ones.
func TestUrgentRequestsMayUseMoreDebt(t *testing.T) {
	pool, now := newSingleMemberPool(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Enforcement{Window: 8 * time.Second, AbsoluteTolerance: 1200})
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1000, Rank: 4}).Admitted)
	require.False(t, query(t, pool, now, quota.Query{Account: tenant, Units: 100, Rank: 4}).Admitted)
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 100, Rank: 2}).Admitted)
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 100, Rank: 2}).Admitted)
	require.False(t, query(t, pool, now, quota.Query{Account: tenant, Units: 100, Rank: 2}).Admitted)
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 220, Rank: 0}).Admitted)
	require.False(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1, Rank: 0}).Admitted)
}

// A refused caller that retries at the time it was told is admitted if no other request comes. Those
// refused after it are told later times, so that they do not retry together.
func TestRequestIsAdmittedAfterItsRetryAfter(t *testing.T) {
	pool, now := newSingleMemberPool(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Enforcement{Window: 8 * time.Second})
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1000}).Admitted)
	first := query(t, pool, now, quota.Query{Account: tenant, Units: 500})
	second := query(t, pool, now, quota.Query{Account: tenant, Units: 500})
	require.Equal(t, int64(500_000), first.WaitMicros)
	// The second one is queued behind the first, at the rate at which units are refilled over a window.
	require.InDelta(t, 500_000+500e6/1125, second.WaitMicros, 1)
	require.True(t, query(t, pool, now+500*time.Millisecond, quota.Query{Account: tenant, Units: 500}).Admitted)
	require.True(t, query(t, pool, now+time.Second, quota.Query{Account: tenant, Units: 500}).Admitted)
}

// A request that is larger than the burst passes when the bucket is full and its debt is tolerated,
// whatever its rank. One that is larger still never passes, and the answer says so.
func TestRequestAboveBurstIsAdmittedFromFullBucket(t *testing.T) {
	pool, now := newSingleMemberPool(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Enforcement{Window: 8 * time.Second, AbsoluteTolerance: 2000})
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1500, Rank: 9}).Admitted)
	refused := query(t, pool, now, quota.Query{Account: tenant, Units: 1500, Rank: 9})
	require.False(t, refused.Admitted)
	require.False(t, refused.Never)
	refused = query(t, pool, now, quota.Query{Account: tenant, Units: 1 << 40})
	require.True(t, refused.Never)
	require.Equal(t, 8*time.Second, time.Duration(refused.WaitMicros)*time.Microsecond)
}

// Units of requests that never ran are returned, and further runs are charged.
func TestRefundsAndExtraCharges(t *testing.T) {
	pool, now := newSingleMemberPool(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Enforcement{Window: 8 * time.Second})
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1000}).Admitted)
	pool.Adjust(now, quota.Amount{Account: tenant, Units: 700})
	require.False(t, query(t, pool, now, quota.Query{Account: tenant, Units: 701}).Admitted)
	require.True(t, query(t, pool, now, quota.Query{Account: tenant, Units: 200}).Admitted)
	pool.Adjust(now, quota.Amount{Account: tenant, Units: -500})
	require.False(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1}).Admitted)
	// The bucket holds no more than the burst, whatever is returned.
	pool.Adjust(now, quota.Amount{Account: tenant, Units: 1 << 30})
	require.False(t, query(t, pool, now, quota.Query{Account: tenant, Units: 1001}).Admitted)
}

// A tenant far above its limit takes no capacity from another one.
func TestOverloadedTenantDoesNotAffectOthers(t *testing.T) {
	pool, now := newSingleMemberPool(t, quota.Limit{Rate: 1000, Burst: 1000}, quota.Enforcement{})
	pool.SetLimits(now, map[string]quota.Limit{tenant: {Rate: 1000, Burst: 1000}, "other": {Rate: 10, Burst: 10}})
	query(t, pool, now, quota.Query{Account: "other"})
	for range 100 {
		query(t, pool, now+time.Minute, quota.Query{Account: tenant, Units: 500})
	}
	require.True(t, query(t, pool, now+time.Minute, quota.Query{Account: "other", Units: 10}).Admitted)
}

// A pool that has a share of the limit refuses what the whole limit would hold, and does not answer
// that it never can: its coordinator will reach the others again.
func TestShareOfTheLimitDoesNotReportNever(t *testing.T) {
	pool := quota.NewPool(0, quota.Options{Address: "a", Incarnation: 1, Lease: lease, Enforcement: quota.Enforcement{}})
	pool.SetLimits(0, map[string]quota.Limit{tenant: {Rate: 1000, Burst: 600}})
	pool.SetGroup(0, "", []string{"a", "b", "c", "d", "e", "f"})
	refused := query(t, pool, time.Minute, quota.Query{Account: tenant, Units: 500})
	require.False(t, refused.Admitted)
	require.False(t, refused.Never)
	require.True(t, query(t, pool, time.Minute, quota.Query{Account: tenant, Units: 601}).Never)
}
