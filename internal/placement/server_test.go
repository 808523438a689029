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

// testServer is a server with a clock that tests set.
type testServer struct {
	*placement.Server
	directory *relay.Directory
	now       time.Duration
	sequences map[string]uint64
}

func newTestServer(replicas ...region.Replica) *testServer {
	s := &testServer{sequences: map[string]uint64{}}
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

func newPrefillQuery(lease uint64, part string) *region.PlacementQuery {
	return &region.PlacementQuery{
		Lease: lease, Kind: region.PlacePrefill, Service: "s", Zone: "z",
		Tokens: 9000, Parts: []region.PlacedPart{{ID: part, Tokens: 8000}, {ID: part + "-own", Tokens: 1000}},
		ObjectiveMicros: 1e6, AimLeftMicros: 1e6, LeftMicros: 4e6, GapMicros: 1e5,
	}
}

// send sends a message of a gateway, in its first incarnation unless the message has one.
func (s *testServer) send(gateway string, message region.PlacementMessage) *region.PlacementReply {
	s.sequences[gateway]++
	message.Gateway, message.Sequence = gateway, s.sequences[gateway]
	if message.Life == 0 {
		message.Life = 1
	}
	return s.HandleMessage(&message)
}

func (s *testServer) query(t *testing.T, gateway string, query *region.PlacementQuery) *region.PlacementAnswer {
	t.Helper()
	reply := s.send(gateway, region.PlacementMessage{Question: query})
	require.NotNil(t, reply)
	require.NotNil(t, reply.Answer)
	require.Equal(t, query.Lease, reply.Answer.Lease)
	return reply.Answer
}

func TestPromptsOfDifferentGatewaysAreSpread(t *testing.T) {
	s := newTestServer(fleet()...)
	first := s.query(t, "gateway-1", newPrefillQuery(1, "x"))
	second := s.query(t, "gateway-2", newPrefillQuery(1, "y"))
	assert.ElementsMatch(t, []string{"a", "b"}, []string{first.Replica, second.Replica})
	assert.Equal(t, 2, s.Counts().Leases)
}

func TestCachedPromptOfAnotherGatewayIsReused(t *testing.T) {
	s := newTestServer(fleet()...)
	first := s.query(t, "gateway-1", newPrefillQuery(1, "shared"))
	s.now += 300 * time.Millisecond
	s.send("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeasePrefilled}, {Lease: 1, Kind: region.LeaseCached}, {Lease: 1, Kind: region.LeaseReleased},
	}})
	query := newPrefillQuery(1, "shared")
	query.Parts[1].ID = "another"
	second := s.query(t, "gateway-2", query)
	assert.Equal(t, first.Replica, second.Replica)
	assert.Equal(t, 1000, second.Missing)
}

func TestRepeatedQueryGetsSameLease(t *testing.T) {
	s := newTestServer(fleet()...)
	first := s.query(t, "gateway", newPrefillQuery(1, "x"))
	assert.Equal(t, first, s.query(t, "gateway", newPrefillQuery(1, "x")))
	assert.Equal(t, 1, s.Counts().Leases)
}

func TestFullMessageEndsUnlistedLeases(t *testing.T) {
	s := newTestServer(fleet()...)
	s.query(t, "gateway", newPrefillQuery(1, "x"))
	s.query(t, "gateway", newPrefillQuery(2, "y"))
	reply := s.send("gateway", region.PlacementMessage{Whole: true, Open: []uint64{2}})
	require.NotNil(t, reply, "a full message is answered, so that a restart is detected")
	assert.EqualValues(t, 1, reply.Life)
	assert.Equal(t, 1, s.Counts().Leases)
}

func TestQueryOvertakenByFullMessageIsIgnored(t *testing.T) {
	s := newTestServer(fleet()...)
	s.sequences["gateway"] = 5
	s.send("gateway", region.PlacementMessage{Whole: true})
	late := region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: 3, Question: newPrefillQuery(1, "x")}
	assert.Nil(t, s.HandleMessage(&late), "the gateway has abandoned the query")
	assert.Zero(t, s.Counts().Leases)
}

func TestLeasesOfRestartedGatewayEnd(t *testing.T) {
	s := newTestServer(fleet()...)
	s.query(t, "gateway", newPrefillQuery(1, "x"))
	s.send("gateway", region.PlacementMessage{Life: 2, Question: newPrefillQuery(1, "y")})
	assert.Equal(t, 1, s.Counts().Leases)
	old := region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: 99, Question: newPrefillQuery(7, "x")}
	assert.Nil(t, s.HandleMessage(&old), "queries of an older incarnation are ignored")
	assert.Equal(t, 1, s.Counts().Leases)
}

// The leases of an incarnation that has ended must not count for the next one: the new process
// appeared busy until the gateways' leases of the old one had expired.
func TestLeaseOfEndedIncarnationDoesNotCountForNext(t *testing.T) {
	s := newTestServer(fleet()...)
	first := s.query(t, "gateway-1", newPrefillQuery(1, "x"))
	restarted := fleet()
	for index := range restarted {
		if restarted[index].ID == first.Replica {
			restarted[index].Born = 9
		}
	}
	s.directory.Replace(restarted)
	// Each prompt has a prefix of its own: a second prompt with the prefix of the first would be
	// placed equally well behind it.
	for lease, prefix := range []string{"y", "z"} {
		answer := s.query(t, "gateway-2", newPrefillQuery(uint64(lease+1), prefix))
		assert.Zero(t, answer.WaitMicros, "both prefill replicas are free, as far as is known")
	}
	s.send("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{{Lease: 1, Kind: region.LeaseReleased}}})
	assert.Len(t, s.directory.Outstanding(), 2)
}

func TestLeasesOfUnresponsiveGatewayEnd(t *testing.T) {
	s := newTestServer(fleet()...)
	s.query(t, "gateway", newPrefillQuery(1, "x"))
	s.now += 2 * time.Second
	s.Expire()
	require.Equal(t, 1, s.Counts().Leases)
	s.now += 2 * time.Second
	s.Expire()
	assert.Zero(t, s.Counts().Leases)
	assert.EqualValues(t, 1, s.Counts().Expired)
}

func TestLeaseEndsWithRequestDeadline(t *testing.T) {
	s := newTestServer(fleet()...)
	s.query(t, "gateway", newPrefillQuery(1, "x"))
	for range 6 {
		s.now += time.Second
		s.send("gateway", region.PlacementMessage{Whole: true, Open: []uint64{1}})
	}
	s.Expire()
	assert.Zero(t, s.Counts().Leases, "although the gateway still reports it as open")
}

func TestLocallyPlacedWorkCounts(t *testing.T) {
	s := newTestServer(fleet()...)
	s.send("gateway-1", region.PlacementMessage{Whole: true, Work: []region.OutstandingWork{
		{Replica: "a", Requests: 2, InTimeMicros: 800_000},
	}})
	assert.Equal(t, "b", s.query(t, "gateway-2", newPrefillQuery(1, "x")).Replica)
	s.now += 100 * time.Millisecond
	s.send("gateway-1", region.PlacementMessage{Whole: true, Work: []region.OutstandingWork{
		{Replica: "b", Requests: 9, InTimeMicros: 9_000_000},
	}})
	assert.Equal(t, "a", s.query(t, "gateway-2", newPrefillQuery(2, "y")).Replica, "a newer report replaces an older one")
}

func TestExcludedReplicaIsNotChosen(t *testing.T) {
	s := newTestServer(fleet()...)
	query := newPrefillQuery(1, "x")
	query.Excluded = []string{"a", "unknown"}
	assert.Equal(t, "b", s.query(t, "gateway", query).Replica)
	nowhere := newPrefillQuery(2, "x")
	nowhere.Excluded = []string{"a", "b", "g"}
	assert.Equal(t, region.PlacementNoReplica, s.query(t, "gateway", nowhere).Outcome)
}

func TestUnreachableReplicaIsAvoided(t *testing.T) {
	s := newTestServer(fleet()...)
	first := s.query(t, "gateway", newPrefillQuery(1, "x"))
	s.send("gateway", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseUnreachable}, {Lease: 1, Kind: region.LeaseReleased},
	}})
	for lease := uint64(2); lease < 6; lease++ {
		assert.NotEqual(t, first.Replica, s.query(t, "gateway", newPrefillQuery(lease, "x")).Replica)
	}
}

// A replica that requests a backoff from one gateway is about to request it from others.
func TestBackoffRequestedOfOneGatewayAppliesToAll(t *testing.T) {
	s := newTestServer(fleet()...)
	first := s.query(t, "gateway-1", newPrefillQuery(1, "x"))
	s.send("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseRejected, Micros: 3e6}, {Lease: 1, Kind: region.LeaseReleased},
	}})
	for lease := range uint64(3) {
		s.now += 500 * time.Millisecond
		assert.NotEqual(t, first.Replica, s.query(t, "gateway-2", newPrefillQuery(lease+1, "y")).Replica)
	}
	inBackoff := s.directory.ReplicasInBackoff()
	require.Len(t, inBackoff, 1)
	assert.Equal(t, first.Replica, inBackoff[0].Replica)
	assert.InDelta(t, 1500, inBackoff[0].LeftMillis, 1)
}

func TestIdleTimeOfLeasedReplicaIsReported(t *testing.T) {
	s := newTestServer(fleet()...)
	s.query(t, "gateway", newPrefillQuery(1, "x"))
	s.now += 700 * time.Millisecond
	answer := s.query(t, "gateway", &region.PlacementQuery{Lease: 1, Kind: region.QueryIdle})
	assert.EqualValues(t, 700_000, answer.IdleMicros)
	unknown := s.query(t, "gateway", &region.PlacementQuery{Lease: 9, Kind: region.QueryIdle})
	assert.Equal(t, region.PlacementNoReplica, unknown.Outcome)
}

func TestExtremeValuesAreTolerated(t *testing.T) {
	s := newTestServer(fleet()...)
	extreme := newPrefillQuery(1, "x")
	extreme.Tokens, extreme.Parts[0].Tokens = math.MinInt64, math.MaxInt64
	extreme.ObjectiveMicros, extreme.AimLeftMicros, extreme.LeftMicros = math.MaxInt64, math.MinInt64, math.MaxInt64
	s.query(t, "gateway-1", extreme)
	huge := newPrefillQuery(2, "y")
	huge.Tokens = math.MaxInt64
	s.query(t, "gateway-1", huge)
	s.send("gateway-1", region.PlacementMessage{Whole: true, Open: []uint64{1, 2}, Work: []region.OutstandingWork{
		{Replica: "nowhere", Requests: -5, InTimeMicros: math.MinInt64}, {Replica: "a", Requests: math.MaxInt64, LateMicros: math.MaxInt64},
	}})
	s.send("gateway-1", region.PlacementMessage{Events: []region.LeaseEvent{
		{Lease: 1, Kind: region.LeaseReleased}, {Lease: 2, Kind: region.LeaseReleased}, {Lease: 2, Kind: 99},
	}})
	s.now += 5 * time.Second
	s.Expire()
	answer := s.query(t, "gateway-2", newPrefillQuery(1, "z"))
	assert.Equal(t, region.PlacementGranted, answer.Outcome, "other gateways are served as before")
	assert.False(t, answer.Late)
}

func TestLeasesOfOneGatewayAreBounded(t *testing.T) {
	s := newTestServer(fleet()...)
	answered := 0
	for lease := range uint64(5000) {
		query := newPrefillQuery(lease+1, "x")
		query.Kind = region.PlaceDecode
		if s.send("greedy", region.PlacementMessage{Question: query}) != nil {
			answered++
		}
	}
	assert.Equal(t, 4096, answered)
	s.now += 6 * time.Second
	s.Expire()
	assert.Equal(t, region.PlacementGranted, s.query(t, "modest", newPrefillQuery(1, "x")).Outcome)
	assert.Equal(t, 1, s.Counts().Leases)
}
