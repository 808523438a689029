package session

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

var testTerms = wire.Terms{HeartbeatMillis: 1000, LeaseMillis: 4000, IsolationMillis: 60_000}

func newSession() *Session {
	return New(Config{GatewayID: "gateway", Incarnation: 1, Address: "10.0.0.1:1", Random: rand.New(rand.NewPCG(1, 1))})
}

func fullView(generation, revision uint64) wire.View {
	return wire.View{
		Generation: generation,
		Revision:   revision,
		Full:       true,
		Config:     &dynamic.Snapshot{Revision: 5},
		Engines: []wire.EngineView{
			{ID: "in-set", Dispatchable: true},
			{ID: "out-of-set", Dispatchable: true},
			{ID: "withheld"},
		},
		BackEnds:     []wire.BackEndView{{ID: "printer", Dispatchable: true}},
		GatewayCount: 1,
		Isolation:    &wire.IsolationView{SessionID: 7, Engines: []string{"in-set"}},
	}
}

// openSession makes both open calls; the second is sent at time 0.
func openSession(t *testing.T, s *Session, view wire.View) {
	first := s.Tick(0)
	require.Len(t, first, 1)
	require.Zero(t, first[0].Open.Ticket)
	s.Opened(0, first[0].Number, &wire.OpenSessionReply{Ticket: 40})
	second := s.Tick(0)
	require.Len(t, second, 1)
	require.Equal(t, uint64(40), second[0].Open.Ticket)
	s.Opened(time.Second, second[0].Number, &wire.OpenSessionReply{SessionID: 7, View: view, Terms: testTerms})
	require.Equal(t, uint64(7), s.ID())
}

func TestMayDispatchOverTime(t *testing.T) {
	s := newSession()
	_, reason := s.MayDispatch(0, "in-set")
	require.Equal(t, ReasonNoSession, reason)
	openSession(t, s, fullView(1, 10))
	for _, target := range []Target{{ID: "in-set"}, {ID: "out-of-set"}, {ID: "printer", IsBackEnd: true}} {
		s.RecordConfirmation(3500*time.Millisecond, target, true)
	}
	cases := []struct {
		now    time.Duration
		engine string
		want   Reason
	}{
		{time.Second, "in-set", ReasonNone},
		{time.Second, "out-of-set", ReasonNone},
		{time.Second, "withheld", ReasonWithheld},
		{time.Second, "elsewhere", ReasonUnknown},
		{4 * time.Second, "in-set", ReasonNone},
		{4 * time.Second, "out-of-set", ReasonIsolated},
		{10 * time.Second, "in-set", ReasonUnconfirmed},
		{60 * time.Second, "in-set", ReasonExpired},
	}
	for _, test := range cases {
		permitted, reason := s.MayDispatch(test.now, test.engine)
		require.Equal(t, test.want, reason, "%+v", test)
		require.Equal(t, test.want == ReasonNone, permitted)
	}
	permitted, _ := s.MayDispatchBackEnd(6*time.Second, "printer")
	require.True(t, permitted)
	_, reason = s.MayDispatchBackEnd(59*time.Second, "printer")
	require.Equal(t, ReasonUnconfirmed, reason)
	s.RecordConfirmation(58*time.Second, Target{ID: "printer", IsBackEnd: true}, true)
	permitted, _ = s.MayDispatchBackEnd(59*time.Second, "printer")
	require.True(t, permitted)
	_, reason = s.MayDispatchBackEnd(60*time.Second, "printer")
	require.Equal(t, ReasonExpired, reason)
}

func TestViewsAreAcknowledgedAtOnce(t *testing.T) {
	s := newSession()
	openSession(t, s, fullView(1, 10))
	calls := s.Tick(time.Second)
	require.Len(t, calls, 2)
	heartbeat, watch := calls[0], calls[1]
	require.Equal(t, uint64(10), heartbeat.Heartbeat.AppliedRevision)
	s.WatchAnswered(1100*time.Millisecond, watch.Number, &wire.WatchReply{View: wire.View{
		Generation: 1, Revision: 12, Engines: []wire.EngineView{{ID: "in-set", ChangedAt: 12}, {ID: "out-of-set", Removed: true}},
	}})
	_, reason := s.MayDispatch(1100*time.Millisecond, "in-set")
	require.Equal(t, ReasonWithheld, reason)
	_, reason = s.MayDispatch(1100*time.Millisecond, "out-of-set")
	require.Equal(t, ReasonUnknown, reason)

	s.HeartbeatAnswered(1200*time.Millisecond, heartbeat.Number, &wire.HeartbeatReply{Known: true, Revision: 12})
	next := s.Tick(1200 * time.Millisecond)
	require.Equal(t, uint64(12), next[0].Heartbeat.AppliedRevision)

	// An older view, such as a late watch reply, changes nothing.
	s.HeartbeatAnswered(1300*time.Millisecond, next[0].Number, &wire.HeartbeatReply{
		Known: true, Revision: 11, View: &wire.View{Generation: 1, Revision: 11, Engines: []wire.EngineView{{ID: "in-set", Dispatchable: true}}},
	})
	_, reason = s.MayDispatch(1300*time.Millisecond, "in-set")
	require.Equal(t, ReasonWithheld, reason)
}

func TestAnEndedSessionStopsDispatchesImmediately(t *testing.T) {
	s := newSession()
	openSession(t, s, fullView(1, 10))
	heartbeat := s.Tick(time.Second)[0]
	s.HeartbeatAnswered(2*time.Second, heartbeat.Number, &wire.HeartbeatReply{})
	_, reason := s.MayDispatch(2*time.Second, "in-set")
	require.Equal(t, ReasonNoSession, reason)
	require.NotNil(t, s.Tick(2 * time.Second)[0].Open)
}

func TestANewGenerationKeepsTheNewestConfiguration(t *testing.T) {
	s := newSession()
	openSession(t, s, fullView(1, 1000))
	heartbeat := s.Tick(time.Second)[0]
	s.HeartbeatAnswered(time.Second, heartbeat.Number, &wire.HeartbeatReply{})
	older := fullView(2, 3)
	older.Config = &dynamic.Snapshot{Revision: 4}
	reopen := s.Tick(time.Second)[0]
	s.Opened(time.Second, reopen.Number, &wire.OpenSessionReply{SessionID: 9, View: older, Terms: testTerms})
	require.Equal(t, uint64(3), s.MergedView().Revision)
	require.Equal(t, uint64(5), s.MergedView().ConfigRevision())
}

func TestUnansweredCallsAreRetried(t *testing.T) {
	s := newSession()
	first := s.Tick(0)[0]
	require.Empty(t, s.Tick(time.Second))
	s.Failed(time.Second, first.Number)
	require.Empty(t, s.Tick(time.Second))
	require.LessOrEqual(t, s.NextTick(), 2*time.Second)
	second := s.Tick(s.NextTick())
	require.Len(t, second, 1)
	again := s.Tick(10 * time.Second)
	require.Len(t, again, 1, "the unanswered call is abandoned after its timeout")
	s.Opened(11*time.Second, second[0].Number, &wire.OpenSessionReply{SessionID: 7, View: fullView(1, 1), Terms: testTerms})
	require.Zero(t, s.ID(), "a reply to an abandoned call is ignored")
}
