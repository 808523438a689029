package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/wire"
)

// TestAGatewayWithoutALeaseQueriesItsTargets checks that an isolated gateway
// queries each target that it may use, and no other, once a second.
func TestAGatewayWithoutALeaseQueriesItsTargets(t *testing.T) {
	s := newSession()
	require.Empty(t, s.TargetsToQuery(time.Second))
	openSession(t, s, fullView(1, 10))
	require.Empty(t, s.TargetsToQuery(time.Second), "the lease is valid")
	wanted := []Target{{ID: "in-set"}, {ID: "printer", IsBackEnd: true}}
	require.Equal(t, wanted, s.TargetsToQuery(3*time.Second), "the lease ends soon")
	require.Empty(t, s.TargetsToQuery(3500*time.Millisecond))
	require.Equal(t, wanted, s.TargetsToQuery(5*time.Second))
	require.Empty(t, s.TargetsToQuery(60*time.Second), "the isolation time is over")
}

// TestAnIsolatedGatewaySendsNothingToALeavingTarget guards against new work for
// a leaving target from a gateway that resumes after a long pause: its view is
// older than the target's announcement.
func TestAnIsolatedGatewaySendsNothingToALeavingTarget(t *testing.T) {
	s := newSession()
	openSession(t, s, fullView(1, 10))
	printer := Target{ID: "printer", IsBackEnd: true}
	_, reason := s.MayDispatchBackEnd(20*time.Second, "printer")
	require.Equal(t, ReasonUnconfirmed, reason)
	s.RecordConfirmation(20*time.Second, printer, false)
	_, reason = s.MayDispatchBackEnd(20*time.Second, "printer")
	require.Equal(t, ReasonUnconfirmed, reason)
	s.RecordConfirmation(21*time.Second, printer, true)
	s.RecordConfirmation(20*time.Second, printer, false)
	permitted, _ := s.MayDispatchBackEnd(22*time.Second, "printer")
	require.True(t, permitted, "a late answer to an earlier query is ignored")
}

// TestATargetUnheardByTheLeaderIsQueried covers a leader that can't reach a
// target which the gateway can reach.
func TestATargetUnheardByTheLeaderIsQueried(t *testing.T) {
	s := newSession()
	openSession(t, s, fullView(1, 10))
	heartbeat := s.Tick(time.Second)[0]
	s.HeartbeatAnswered(time.Second, heartbeat.Number, &wire.HeartbeatReply{Known: true, Revision: 10, Unheard: []string{"printer", "out-of-set"}})
	_, reason := s.MayDispatchBackEnd(time.Second, "printer")
	require.Equal(t, ReasonUnconfirmed, reason)
	_, reason = s.MayDispatch(time.Second, "out-of-set")
	require.Equal(t, ReasonUnconfirmed, reason)
	_, reason = s.MayDispatch(time.Second, "in-set")
	require.Equal(t, ReasonNone, reason)
	wanted := []Target{{ID: "out-of-set"}, {ID: "printer", IsBackEnd: true}}
	require.Equal(t, wanted, s.TargetsToQuery(time.Second))
	s.RecordConfirmation(time.Second, wanted[1], true)
	permitted, _ := s.MayDispatchBackEnd(time.Second, "printer")
	require.True(t, permitted)
	heartbeat = s.Tick(2 * time.Second)[0]
	s.HeartbeatAnswered(2*time.Second, heartbeat.Number, &wire.HeartbeatReply{Known: true, Revision: 10})
	_, reason = s.MayDispatch(2*time.Second, "out-of-set")
	require.Equal(t, ReasonNone, reason)
}
