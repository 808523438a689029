package placement_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

// waitLimit bounds the time for which a test waits for a condition.
const waitLimit = 10 * time.Second

// testSocket is a socket that runs until the end of the test or a call of stop.
type testSocket struct {
	*datagram.Socket
	address string
	stop    func()
}

// listen runs a socket after prepare has set its handlers.
func listen(t *testing.T, address string, prepare func(*datagram.Socket)) *testSocket {
	t.Helper()
	socket := &datagram.Socket{}
	prepare(socket)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- socket.Run(ctx, address) }()
	stopped := false
	stop := func() {
		cancel()
		if !stopped {
			assert.NoError(t, <-done)
		}
		stopped = true
	}
	t.Cleanup(stop)
	return &testSocket{Socket: socket, address: address, stop: stop}
}

// startServer runs a placement server of an incarnation at an address.
func startServer(t *testing.T, address string, incarnation int64) (*placement.Server, *testSocket) {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	directory := relay.NewDirectory(clock, "z", func(string, string) {}, logr.Discard())
	directory.Replace(fleet())
	server := placement.NewServer(directory, clock, incarnation, logr.Discard())
	return server, listen(t, address, server.Serve)
}

// testGateway is the client side of a gateway.
type testGateway struct {
	*placement.Client
	directory *relay.Directory
	placer    *relay.Placer
}

func startGateway(t *testing.T, name string) *testGateway {
	t.Helper()
	began := time.Now()
	directory := relay.NewDirectory(func() time.Duration { return time.Since(began) }, "z", func(string, string) {}, logr.Discard())
	directory.Replace(fleet())
	a := &testGateway{directory: directory}
	listen(t, testnet.Address(t), func(socket *datagram.Socket) {
		a.Client = placement.NewClient(name, 1, directory, socket, logr.Discard())
	})
	a.placer = &relay.Placer{Directory: directory, Remote: a.Remote()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

func newPrefillRequest(own string) relay.PrefillRequest {
	return relay.PrefillRequest{
		Prompt:    &relay.Prompt{Tokens: 9000, Parts: []relay.PromptPart{{ID: own, Tokens: 8000}, {ID: own + "-own", Tokens: 1000}}},
		Objective: 2 * time.Second, TargetTokenGap: time.Second, ObjectiveLeft: 2 * time.Second, Left: 8 * time.Second, Zone: "z",
	}
}

func (a *testGateway) prefill(t *testing.T, own string) *relay.Lease {
	t.Helper()
	lease, err := a.placer.PlacePrefill(context.Background(), "s", newPrefillRequest(own))
	require.NoError(t, err)
	return lease
}

func leaseCountIs(server *placement.Server, count int) func() bool {
	return func() bool { return server.Counts().Leases == count }
}

func TestLeaseIsRequestedAndReleased(t *testing.T) {
	server, socket := startServer(t, testnet.Address(t), 1)
	first, second := startGateway(t, "gateway-1"), startGateway(t, "gateway-2")
	first.SetCoordinator(socket.address)
	second.SetCoordinator(socket.address)
	require.Eventually(t, func() bool {
		lease := first.prefill(t, "probe")
		defer lease.Release()
		return server.Counts().Queries > 0
	}, waitLimit, 10*time.Millisecond)
	require.Eventually(t, leaseCountIs(server, 0), waitLimit, 5*time.Millisecond)
	one, other := first.prefill(t, "x"), second.prefill(t, "y")
	assert.NotEqual(t, one.Replica.ID, other.Replica.ID, "the gateways know nothing of each other's prompts")
	assert.Empty(t, first.directory.Outstanding(), "the coordinator counts the work")
	one.Release()
	other.Release()
	require.Eventually(t, leaseCountIs(server, 0), waitLimit, 5*time.Millisecond)
}

func TestGatewayPlacesLocallyWithoutAnswer(t *testing.T) {
	a := startGateway(t, "gateway")
	a.SetCoordinator(testnet.Address(t))
	lease := a.prefill(t, "x")
	assert.NotNil(t, lease)
	assert.NotEmpty(t, a.directory.Outstanding(), "it counts as locally placed work")
	assert.EqualValues(t, 1, a.Counts().Unanswered)
	next := a.prefill(t, "y")
	assert.EqualValues(t, 1, a.Counts().Suspended, "an unresponsive coordinator is not queried again at once")
	lease.Release()
	next.Release()
}

func TestLeasesOfRestartedCoordinatorCountAsLocalWork(t *testing.T) {
	address := testnet.Address(t)
	server, socket := startServer(t, address, 1)
	a := startGateway(t, "gateway")
	a.SetCoordinator(address)
	var lease *relay.Lease
	require.Eventually(t, func() bool {
		lease = a.prefill(t, "x")
		if server.Counts().Leases == 1 {
			return true
		}
		lease.Release()
		return false
	}, waitLimit, 10*time.Millisecond)
	socket.stop()
	again, _ := startServer(t, address, 2)
	require.Eventually(t, func() bool { return len(a.directory.Outstanding()) == 1 }, waitLimit, 20*time.Millisecond,
		"leases that the coordinator has lost count as locally placed work")
	assert.Zero(t, again.Counts().Leases)
	lease.Release()
	assert.Empty(t, a.directory.Outstanding())
}

func TestLeaseOnUnknownReplicaIsReturned(t *testing.T) {
	server, socket := startServer(t, testnet.Address(t), 1)
	a := startGateway(t, "gateway")
	a.directory.Replace([]region.Replica{replica("g", region.StageDecode), replica("c", region.StagePrefill)})
	a.SetCoordinator(socket.address)
	require.Eventually(t, func() bool {
		lease := a.prefill(t, "x")
		defer lease.Release()
		assert.Contains(t, []string{"c", "g"}, lease.Replica.ID)
		return server.Counts().Queries > 0
	}, waitLimit, 10*time.Millisecond)
	require.Eventually(t, leaseCountIs(server, 0), waitLimit, 5*time.Millisecond)
}

// The gateway knows that replicas have restarted, and the coordinator does not know it yet: the
// leases that it grants are for processes that have ended.
func TestLeaseOnEndedIncarnationIsReturned(t *testing.T) {
	server, socket := startServer(t, testnet.Address(t), 1)
	a := startGateway(t, "gateway")
	restarted := fleet()
	for index := range restarted {
		restarted[index].Born = 9
	}
	a.directory.Replace(restarted)
	a.SetCoordinator(socket.address)
	require.Eventually(t, func() bool {
		lease := a.prefill(t, "x")
		defer lease.Release()
		assert.EqualValues(t, 9, lease.Replica.Born)
		return server.Counts().Queries > 0
	}, waitLimit, 10*time.Millisecond)
	require.Eventually(t, leaseCountIs(server, 0), waitLimit, 5*time.Millisecond)
}

func TestAnswersOfOlderIncarnationsAreIgnored(t *testing.T) {
	a := startGateway(t, "gateway")
	serveAnswers := func(incarnation int64, address string) *testSocket {
		return listen(t, address, func(opened *datagram.Socket) {
			opened.Handle(datagram.KindPlacement, func(from netip.AddrPort, payload []byte) error {
				var message region.PlacementMessage
				_, err := message.UnmarshalMsg(payload)
				if err != nil || message.Question == nil {
					return err
				}
				answer := &region.PlacementAnswer{Lease: message.Question.Lease, Outcome: region.PlacementGranted, Replica: "b"}
				for _, sender := range []int64{incarnation, incarnation - 1} {
					opened.Send(datagram.KindPlacementReply, &region.PlacementReply{Life: sender, Answer: answer}, from)
				}
				return nil
			})
		})
	}
	known := serveAnswers(5, testnet.Address(t))
	a.SetCoordinator(known.address)
	require.Eventually(t, func() bool {
		lease := a.prefill(t, "x")
		defer lease.Release()
		return a.Counts().Queries > a.Counts().Unanswered
	}, waitLimit, 10*time.Millisecond)
	lease := a.prefill(t, "x")
	require.Equal(t, "b", lease.Replica.ID)
	assert.Empty(t, a.directory.Outstanding(), "the older incarnation's answer has not made the gateway drop the lease")
	lease.Release()
}
