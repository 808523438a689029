package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// served is a server on a clock that tests move.
type served struct {
	*placement.Server
	directory *relay.Directory
	now       time.Duration
	sequences map[string]uint64
}

func newServed(replicas ...region.Replica) *served {
	s := &served{sequences: map[string]uint64{}}
	clock := func() time.Duration { return s.now }
	s.directory = relay.NewDirectory(clock, "z", func(string, string) {}, logr.Discard())
	s.directory.Replace(replicas)
	s.Server = placement.NewServer(s.directory, clock, 1, logr.Discard())
	return s
}

func replica(id, stage string) region.Replica {
	return region.Replica{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 4, Stage: stage}
}

func fleet() []region.Replica {
	return []region.Replica{
		replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill),
	}
}

func readQuestion(lease uint64, part string) *region.PlacementQuestion {
	return &region.PlacementQuestion{
		Lease: lease, Kind: region.PlaceRead, Service: "s", Zone: "z",
		Tokens: 9000, Parts: []region.PlacedPart{{ID: part, Tokens: 8000}, {ID: part + "-own", Tokens: 1000}},
		ObjectiveMicros: 1e6, AimLeftMicros: 1e6, LeftMicros: 4e6, GapMicros: 1e5,
	}
}

// tell sends a message of a gateway in its first life.
func (s *served) tell(gateway string, message region.PlacementMessage) *region.PlacementReply {
	s.sequences[gateway]++
	message.Gateway, message.Sequence = gateway, s.sequences[gateway]
	if message.Life == 0 {
		message.Life = 1
	}
	return s.Take(&message)
}

func (s *served) ask(t *testing.T, gateway string, question *region.PlacementQuestion) *region.PlacementAnswer {
	t.Helper()
	reply := s.tell(gateway, region.PlacementMessage{Question: question})
	require.NotNil(t, reply)
	require.NotNil(t, reply.Answer)
	require.Equal(t, question.Lease, reply.Answer.Lease)
	return reply.Answer
}

func TestGatewaysThatKnowNothingOfEachOtherAreSpread(t *testing.T) {
	s := newServed(fleet()...)
	first := s.ask(t, "gateway-1", readQuestion(1, "x"))
	second := s.ask(t, "gateway-2", readQuestion(1, "y"))
	assert.ElementsMatch(t, []string{"a", "b"}, []string{first.Replica, second.Replica})
	assert.Equal(t, 2, s.Counts().Leases)
}

func TestAPromptOfAnotherGatewayIsKnownToBeKept(t *testing.T) {
	s := newServed(fleet()...)
	first := s.ask(t, "gateway-1", readQuestion(1, "shared"))
	s.now += 300 * time.Millisecond
	s.tell("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseRead}, {Lease: 1, Kind: region.LeaseKept}, {Lease: 1, Kind: region.LeaseReleased},
	}})
	question := readQuestion(1, "shared")
	question.Parts[1].ID = "another"
	second := s.ask(t, "gateway-2", question)
	assert.Equal(t, first.Replica, second.Replica)
	assert.Equal(t, 1000, second.Missing)
}

func TestAQuestionThatComesAgainGetsTheSameLease(t *testing.T) {
	s := newServed(fleet()...)
	first := s.ask(t, "gateway", readQuestion(1, "x"))
	assert.Equal(t, first, s.ask(t, "gateway", readQuestion(1, "x")))
	assert.Equal(t, 1, s.Counts().Leases)
}

func TestLostEndsAreMadeUpForByAWholeMessage(t *testing.T) {
	s := newServed(fleet()...)
	s.ask(t, "gateway", readQuestion(1, "x"))
	s.ask(t, "gateway", readQuestion(2, "y"))
	reply := s.tell("gateway", region.PlacementMessage{Whole: true, Open: []uint64{2}})
	require.NotNil(t, reply, "a whole message is answered, so that a restart is noticed")
	assert.EqualValues(t, 1, reply.Life)
	assert.Equal(t, 1, s.Counts().Leases)
}

func TestAQuestionThatAWholeMessageHasOvertakenIsNotAnswered(t *testing.T) {
	s := newServed(fleet()...)
	s.sequences["gateway"] = 5
	s.tell("gateway", region.PlacementMessage{Whole: true})
	late := region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: 3, Question: readQuestion(1, "x")}
	assert.Nil(t, s.Take(&late), "the gateway has given it up")
	assert.Zero(t, s.Counts().Leases)
}

func TestARestartedGatewaysLeasesEnd(t *testing.T) {
	s := newServed(fleet()...)
	s.ask(t, "gateway", readQuestion(1, "x"))
	s.tell("gateway", region.PlacementMessage{Life: 2, Question: readQuestion(1, "y")})
	assert.Equal(t, 1, s.Counts().Leases)
	old := region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: 99, Question: readQuestion(7, "x")}
	assert.Nil(t, s.Take(&old), "an older life asks for nothing")
	assert.Equal(t, 1, s.Counts().Leases)
}

// TestALeaseOfALifeThatHasEndedDoesNotCountForTheNext: the new process passed for busy until the
// gateways' leases of the one before had run out.
func TestALeaseOfALifeThatHasEndedDoesNotCountForTheNext(t *testing.T) {
	s := newServed(fleet()...)
	first := s.ask(t, "gateway-1", readQuestion(1, "x"))
	restarted := fleet()
	for index := range restarted {
		if restarted[index].ID == first.Replica {
			restarted[index].Born = 9
		}
	}
	s.directory.Replace(restarted)
	// Each has a prefix of its own: a second prompt with the first one's would be as well placed
	// behind it.
	for lease, prefix := range []string{"y", "z"} {
		answer := s.ask(t, "gateway-2", readQuestion(uint64(lease+1), prefix))
		assert.Zero(t, answer.WaitMicros, "both readers are free, as far as is known")
	}
	s.tell("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{{Lease: 1, Kind: region.LeaseReleased}}})
	assert.Len(t, s.directory.Outstanding(), 2)
}

func TestASilentGatewaysLeasesEnd(t *testing.T) {
	s := newServed(fleet()...)
	s.ask(t, "gateway", readQuestion(1, "x"))
	s.now += 2 * time.Second
	s.Expire()
	require.Equal(t, 1, s.Counts().Leases)
	s.now += 2 * time.Second
	s.Expire()
	assert.Zero(t, s.Counts().Leases)
	assert.EqualValues(t, 1, s.Counts().Expired)
}

func TestALeaseEndsWithItsRequestsDeadline(t *testing.T) {
	s := newServed(fleet()...)
	s.ask(t, "gateway", readQuestion(1, "x"))
	for range 6 {
		s.now += time.Second
		s.tell("gateway", region.PlacementMessage{Whole: true, Open: []uint64{1}})
	}
	s.Expire()
	assert.Zero(t, s.Counts().Leases, "whatever the gateway says of it")
}

func TestOwnWorkOfAGatewayCounts(t *testing.T) {
	s := newServed(fleet()...)
	s.tell("gateway-1", region.PlacementMessage{Whole: true, Work: []region.OutstandingWork{
		{Replica: "a", Requests: 2, InTimeMicros: 800_000},
	}})
	assert.Equal(t, "b", s.ask(t, "gateway-2", readQuestion(1, "x")).Replica)
	s.now += 100 * time.Millisecond
	s.tell("gateway-1", region.PlacementMessage{Whole: true, Work: []region.OutstandingWork{
		{Replica: "b", Requests: 9, InTimeMicros: 9_000_000},
	}})
	assert.Equal(t, "a", s.ask(t, "gateway-2", readQuestion(2, "y")).Replica, "newer work replaces older")
}

func TestAReplicaThatAGatewayExcludesIsNotChosen(t *testing.T) {
	s := newServed(fleet()...)
	question := readQuestion(1, "x")
	question.Excluded = []string{"a", "unknown"}
	assert.Equal(t, "b", s.ask(t, "gateway", question).Replica)
	nowhere := readQuestion(2, "x")
	nowhere.Excluded = []string{"a", "b", "g"}
	assert.Equal(t, region.PlacementNoReplica, s.ask(t, "gateway", nowhere).Outcome)
}

func TestWhatHappensAtAReplicaIsLearned(t *testing.T) {
	s := newServed(fleet()...)
	first := s.ask(t, "gateway", readQuestion(1, "x"))
	s.tell("gateway", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseUnreachable}, {Lease: 1, Kind: region.LeaseReleased},
	}})
	for lease := uint64(2); lease < 6; lease++ {
		assert.NotEqual(t, first.Replica, s.ask(t, "gateway", readQuestion(lease, "x")).Replica)
	}
}

// A replica that asks one gateway for rest is about to ask others.
func TestAReplicaThatAsksAGatewayForRestIsAvoidedForAll(t *testing.T) {
	s := newServed(fleet()...)
	first := s.ask(t, "gateway-1", readQuestion(1, "x"))
	s.tell("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseFull, Micros: 3e6}, {Lease: 1, Kind: region.LeaseReleased},
	}})
	for lease := range uint64(3) {
		s.now += 500 * time.Millisecond
		assert.NotEqual(t, first.Replica, s.ask(t, "gateway-2", readQuestion(lease+1, "y")).Replica)
	}
	resting := s.directory.Resting()
	require.Len(t, resting, 1)
	assert.Equal(t, first.Replica, resting[0].Replica)
	assert.InDelta(t, 1500, resting[0].LeftMillis, 1)
}

func TestTheIdleTimeOfALeasesReplicaIsTold(t *testing.T) {
	s := newServed(fleet()...)
	s.ask(t, "gateway", readQuestion(1, "x"))
	s.now += 700 * time.Millisecond
	answer := s.ask(t, "gateway", &region.PlacementQuestion{Lease: 1, Kind: region.AskIdle})
	assert.EqualValues(t, 700_000, answer.IdleMicros)
	unknown := s.ask(t, "gateway", &region.PlacementQuestion{Lease: 9, Kind: region.AskIdle})
	assert.Equal(t, region.PlacementNoReplica, unknown.Outcome)
}

func TestAbsurdQuestionsAreBorne(t *testing.T) {
	s := newServed(fleet()...)
	absurd := readQuestion(1, "x")
	absurd.Tokens, absurd.Parts[0].Tokens = math.MinInt64, math.MaxInt64
	absurd.ObjectiveMicros, absurd.AimLeftMicros, absurd.LeftMicros = math.MaxInt64, math.MinInt64, math.MaxInt64
	s.ask(t, "gateway-1", absurd)
	huge := readQuestion(2, "y")
	huge.Tokens = math.MaxInt64
	s.ask(t, "gateway-1", huge)
	s.tell("gateway-1", region.PlacementMessage{Whole: true, Open: []uint64{1, 2}, Work: []region.OutstandingWork{
		{Replica: "nowhere", Requests: -5, InTimeMicros: math.MinInt64}, {Replica: "a", Requests: math.MaxInt64, LateMicros: math.MaxInt64},
	}})
	s.tell("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseReleased}, {Lease: 2, Kind: region.LeaseReleased}, {Lease: 2, Kind: 99},
	}})
	s.now += 5 * time.Second
	s.Expire()
	answer := s.ask(t, "gateway-2", readQuestion(1, "z"))
	assert.Equal(t, region.PlacementGranted, answer.Outcome, "others are served as before")
	assert.False(t, answer.Late)
}

func TestAGatewayThatNeverEndsItsLeasesIsBounded(t *testing.T) {
	s := newServed(fleet()...)
	answered := 0
	for lease := range uint64(5000) {
		question := readQuestion(lease+1, "x")
		question.Kind = region.PlaceGenerate
		if s.tell("greedy", region.PlacementMessage{Question: question}) != nil {
			answered++
		}
	}
	assert.Equal(t, 4096, answered)
	s.now += 6 * time.Second
	s.Expire()
	assert.Equal(t, region.PlacementGranted, s.ask(t, "modest", readQuestion(1, "x")).Outcome)
	assert.Equal(t, 1, s.Counts().Leases)
}
