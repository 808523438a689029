package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testTerms = Terms{HeartbeatMillis: 1000, LeaseMillis: 4000, IsolationMillis: 60_000}

func openRequest(incarnation, ticket uint64) OpenRequest {
	return OpenRequest{
		MemberID:         "gateway",
		Incarnation:      incarnation,
		Address:          "10.0.0.1:80",
		Ticket:           ticket,
		Terms:            testTerms,
		IsolationTargets: []string{"a"},
	}
}

func TestOpenSupersedes(t *testing.T) {
	table := NewTable(2)
	session, _, outcome := table.Open(10, 10, openRequest(1, 9))
	require.Equal(t, OpenDone, outcome)
	require.Equal(t, uint64(10), session.ID)

	session, superseded, outcome := table.Open(11, 11, openRequest(1, 9))
	require.Equal(t, OpenDone, outcome)
	require.Equal(t, uint64(10), session.ID, "a resent request must return its session")
	require.Zero(t, superseded)

	_, _, outcome = table.Open(12, 12, openRequest(2, 9))
	require.Equal(t, OpenStale, outcome, "the ticket is older than the session")

	session, superseded, outcome = table.Open(13, 13, openRequest(2, 10))
	require.Equal(t, OpenDone, outcome)
	require.Equal(t, uint64(13), session.ID)
	require.Equal(t, uint64(10), superseded)

	// The first incarnation's request arrives late: its process has ended.
	_, _, outcome = table.Open(14, 14, openRequest(1, 12))
	require.Equal(t, OpenStale, outcome)

	elsewhere := openRequest(3, 14)
	elsewhere.Address = "10.0.0.2:80"
	_, _, outcome = table.Open(15, 15, elsewhere)
	require.Equal(t, OpenAddressInUse, outcome, "the process at the other address may still be running")

	require.True(t, table.End(13))
	require.False(t, table.End(13))
	_, _, outcome = table.Open(16, 16, elsewhere)
	require.Equal(t, OpenDone, outcome)
}

func TestIsolationSetMayBeUsedUntilNextIsAcknowledged(t *testing.T) {
	table := NewTable(1)
	session, _, _ := table.Open(10, 10, openRequest(1, 9))
	require.True(t, table.Assign(20, 10, []string{"b"}, 10))
	require.True(t, session.MayUseIsolated("a", 19), "the first set may still be in use")
	require.True(t, session.MayUseIsolated("b", 19))
	require.False(t, session.MayUseIsolated("a", 20))
	require.True(t, table.Assign(30, 10, []string{"c"}, 20))
	require.Len(t, session.Sets, 2, "the set before the acknowledged one is dropped")

	restored := NewTable(1)
	restored.Import(table.Export())
	require.Equal(t, table.Export(), restored.Export())
}

func TestHasStopped(t *testing.T) {
	margin := Margin{Rate: 0.01, Constant: time.Second}
	session := &Session{ID: 10, OpenedAt: 10, Terms: testTerms, Sets: []IsolationSet{{AssignedAt: 10, Targets: []string{"a"}}}}
	liveness := NewLiveness(margin)
	require.True(t, liveness.HasStopped(0, session, "a", 9), "the session was opened after the target was withheld")
	require.False(t, liveness.HasStopped(100*time.Second, session, "a", 20), "an unknown session counts as heard now")
	liveness.RecordHeartbeat(200*time.Second, 10, 19)

	leaseOver := 200*time.Second + margin.Stretch(4*time.Second) + 1
	require.False(t, liveness.HasStopped(leaseOver-2, session, "b", 20))
	require.True(t, liveness.HasStopped(leaseOver, session, "b", 20))
	require.False(t, liveness.HasStopped(leaseOver, session, "a", 20), "the target is in its isolation set")
	isolationOver := 200*time.Second + margin.Stretch(60*time.Second) + 1
	require.False(t, liveness.HasStopped(isolationOver-2, session, "a", 20))
	require.True(t, liveness.HasStopped(isolationOver, session, "a", 20))

	liveness.RecordHeartbeat(201*time.Second, 10, 20)
	require.True(t, liveness.HasStopped(201*time.Second, session, "a", 20), "the session has acknowledged the withholding view")
}

func TestLeaseIsRenewedOnlyWithTheLeadersView(t *testing.T) {
	var lease Lease
	require.Equal(t, LeaseNone, lease.State(0))
	lease.Begin(time.Second, testTerms, 5)
	require.Equal(t, LeaseHeld, lease.State(5*time.Second-1))
	require.Equal(t, LeaseIsolated, lease.State(5*time.Second))
	require.Equal(t, LeaseExpired, lease.State(61*time.Second))

	lease.HeartbeatAnswered(4*time.Second, 7)
	require.Equal(t, LeaseIsolated, lease.State(5*time.Second), "the view is older than the leader's")
	lease.ViewApplied(6)
	require.Equal(t, LeaseIsolated, lease.State(5*time.Second))
	lease.ViewApplied(7)
	require.Equal(t, LeaseHeld, lease.State(5*time.Second))
	lease.End()
	require.Equal(t, LeaseNone, lease.State(5*time.Second))
}

// TestGranterOutlastsHolder checks that, with any delays and any clock drift
// within the margin, the leader never considers a lease or isolation time over
// while the process may still use its targets.
func TestGranterOutlastsHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		margin := DefaultMargin()
		rate := rapid.Float64Range(1-margin.Rate/2, 1+margin.Rate/2).Draw(t, "rate")
		holderClock := func(now time.Duration) time.Duration { return time.Duration(float64(now) * rate) }
		session := &Session{ID: 1, OpenedAt: 1, Terms: testTerms, Sets: []IsolationSet{{AssignedAt: 1, Targets: []string{"a"}}}}
		liveness := NewLiveness(margin)
		var lease Lease
		lease.Begin(0, testTerms, 1)
		liveness.RecordHeartbeat(0, 1, 1)
		now := time.Duration(0)
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(1, int64(70*time.Second)).Draw(t, "duration"))
		})
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			sentAt := now
			now += duration.Draw(t, "request delay")
			liveness.RecordHeartbeat(now, 1, 1)
			if rapid.Bool().Draw(t, "answered") {
				now += duration.Draw(t, "reply delay")
				lease.HeartbeatAnswered(holderClock(sentAt), 1)
			}
			now += duration.Draw(t, "pause")
			state := lease.State(holderClock(now))
			if liveness.LeaseEnded(now, session) {
				require.NotEqual(t, LeaseHeld, state)
			}
			if liveness.IsolationEnded(now, session) {
				require.Equal(t, LeaseExpired, state)
			}
		}
	})
}

func TestChooseIsolationSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		var group []string
		for i := range size {
			group = append(group, fmt.Sprintf("engine-%02d", i))
		}
		union := make(map[string]bool)
		for member := range 50 {
			set := ChooseIsolationSet(fmt.Sprint("gateway-", member), [][]string{group})
			require.NotEmpty(t, set)
			require.True(t, slices.IsSorted(set))
			require.LessOrEqual(t, len(set), max(1, size/2))
			for _, target := range set {
				union[target] = true
			}
		}
		if size > 1 {
			reserved := max(1, size/reservedDivisor)
			require.LessOrEqual(t, len(union), size-reserved, "reserved targets must be in no set")
		}
	})
}
