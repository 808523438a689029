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

// patience is how long a test waits for what has to happen.
const patience = 10 * time.Second

// listening is a socket that runs until the end of the test, or until stop.
type listening struct {
	*datagram.Socket
	address string
	stop    func()
}

// listen runs a socket once its handlers are set.
func listen(t *testing.T, address string, prepare func(*datagram.Socket)) *listening {
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
	return &listening{Socket: socket, address: address, stop: stop}
}

// startServer runs a placement server of a life at an address.
func startServer(t *testing.T, address string, life int64) (*placement.Server, *listening) {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	directory := relay.NewDirectory(clock, "z", func(string, string) {}, logr.Discard())
	directory.Replace(fleet())
	server := placement.NewServer(directory, clock, life, logr.Discard())
	return server, listen(t, address, server.Serve)
}

// asker is a gateway's side.
type asker struct {
	*placement.Client
	directory *relay.Directory
	placer    *relay.Placer
}

func startClient(t *testing.T, name string) *asker {
	t.Helper()
	began := time.Now()
	directory := relay.NewDirectory(func() time.Duration { return time.Since(began) }, "z", func(string, string) {}, logr.Discard())
	directory.Replace(fleet())
	a := &asker{directory: directory}
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

func readRequest(own string) relay.ReadRequest {
	return relay.ReadRequest{
		Prompt:    &relay.Prompt{Tokens: 9000, Parts: []relay.PromptPart{{ID: own, Tokens: 8000}, {ID: own + "-own", Tokens: 1000}}},
		Objective: 2 * time.Second, TargetGap: time.Second, AimLeft: 2 * time.Second, Left: 8 * time.Second, Zone: "z",
	}
}

func (a *asker) read(t *testing.T, own string) *relay.Lease {
	t.Helper()
	lease, err := a.placer.Reading(context.Background(), "s", readRequest(own))
	require.NoError(t, err)
	return lease
}

func leases(server *placement.Server, count int) func() bool {
	return func() bool { return server.Counts().Leases == count }
}

func TestALeaseIsAskedForAndItsEndIsTold(t *testing.T) {
	server, socket := startServer(t, testnet.Address(t), 1)
	first, second := startClient(t, "gateway-1"), startClient(t, "gateway-2")
	first.SetCoordinator(socket.address)
	second.SetCoordinator(socket.address)
	require.Eventually(t, func() bool {
		lease := first.read(t, "probe")
		defer lease.Release()
		return server.Counts().Questions > 0
	}, patience, 10*time.Millisecond)
	require.Eventually(t, leases(server, 0), patience, 5*time.Millisecond)
	one, other := first.read(t, "x"), second.read(t, "y")
	assert.NotEqual(t, one.Replica.ID, other.Replica.ID, "neither knows of the other")
	assert.Empty(t, first.directory.Outstanding(), "the coordinator counts it")
	one.Release()
	other.Release()
	require.Eventually(t, leases(server, 0), patience, 5*time.Millisecond)
}

func TestWithoutAnAnswerAGatewayChoosesByItself(t *testing.T) {
	a := startClient(t, "gateway")
	a.SetCoordinator(testnet.Address(t))
	lease := a.read(t, "x")
	assert.NotNil(t, lease)
	assert.NotEmpty(t, a.directory.Outstanding(), "that is its own work")
	assert.EqualValues(t, 1, a.Counts().Unanswered)
	next := a.read(t, "y")
	assert.EqualValues(t, 1, a.Counts().Suspended, "a silent coordinator is not asked at once again")
	lease.Release()
	next.Release()
}

func TestARestartedCoordinatorIsToldOfOpenLeases(t *testing.T) {
	address := testnet.Address(t)
	server, socket := startServer(t, address, 1)
	a := startClient(t, "gateway")
	a.SetCoordinator(address)
	var lease *relay.Lease
	require.Eventually(t, func() bool {
		lease = a.read(t, "x")
		if server.Counts().Leases == 1 {
			return true
		}
		lease.Release()
		return false
	}, patience, 10*time.Millisecond)
	socket.stop()
	again, _ := startServer(t, address, 2)
	require.Eventually(t, func() bool { return len(a.directory.Outstanding()) == 1 }, patience, 20*time.Millisecond,
		"what the coordinator has forgotten counts as the gateway's own work")
	assert.Zero(t, again.Counts().Leases)
	lease.Release()
	assert.Empty(t, a.directory.Outstanding())
}

func TestALeaseOnAReplicaThatTheGatewayDoesNotKnowIsGivenBack(t *testing.T) {
	server, socket := startServer(t, testnet.Address(t), 1)
	a := startClient(t, "gateway")
	a.directory.Replace([]region.Replica{replica("g", region.StageDecode), replica("c", region.StagePrefill)})
	a.SetCoordinator(socket.address)
	require.Eventually(t, func() bool {
		lease := a.read(t, "x")
		defer lease.Release()
		assert.Contains(t, []string{"c", "g"}, lease.Replica.ID)
		return server.Counts().Questions > 0
	}, patience, 10*time.Millisecond)
	require.Eventually(t, leases(server, 0), patience, 5*time.Millisecond)
}

// TestALeaseOnALifeThatHasEndedIsGivenBack has a gateway know of replicas that have started again, and
// a coordinator that does not yet: what it grants is meant for processes that have ended.
func TestALeaseOnALifeThatHasEndedIsGivenBack(t *testing.T) {
	server, socket := startServer(t, testnet.Address(t), 1)
	a := startClient(t, "gateway")
	restarted := fleet()
	for index := range restarted {
		restarted[index].Born = 9
	}
	a.directory.Replace(restarted)
	a.SetCoordinator(socket.address)
	require.Eventually(t, func() bool {
		lease := a.read(t, "x")
		defer lease.Release()
		assert.EqualValues(t, 9, lease.Replica.Born)
		return server.Counts().Questions > 0
	}, patience, 10*time.Millisecond)
	require.Eventually(t, leases(server, 0), patience, 5*time.Millisecond)
}

func TestAnswersOfStrangersAndOlderLivesCountForNothing(t *testing.T) {
	a := startClient(t, "gateway")
	answering := func(life int64, address string) *listening {
		return listen(t, address, func(opened *datagram.Socket) {
			opened.Handle(datagram.KindPlacement, func(from netip.AddrPort, payload []byte) error {
				var message region.PlacementMessage
				_, err := message.UnmarshalMsg(payload)
				if err != nil || message.Question == nil {
					return err
				}
				answer := &region.PlacementAnswer{Lease: message.Question.Lease, Outcome: region.PlacementGranted, Replica: "b"}
				for _, told := range []int64{life, life - 1} {
					opened.Send(datagram.KindPlacementReply, &region.PlacementReply{Life: told, Answer: answer}, from)
				}
				return nil
			})
		})
	}
	known := answering(5, testnet.Address(t))
	a.SetCoordinator(known.address)
	require.Eventually(t, func() bool {
		lease := a.read(t, "x")
		defer lease.Release()
		return a.Counts().Asked > a.Counts().Unanswered
	}, patience, 10*time.Millisecond)
	lease := a.read(t, "x")
	require.Equal(t, "b", lease.Replica.ID)
	assert.Empty(t, a.directory.Outstanding(), "the older life's answer has not made it forget the lease")
	lease.Release()
}
