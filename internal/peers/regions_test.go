package peers

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// conditionTimeout bounds each wait for a condition that has to come about.
const conditionTimeout = 10 * time.Second

var twoRegions = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}}

// process is a process that places work, with the messages that it has received.
type process struct {
	*Peers
	directory *relay.Directory
	socket    *datagram.Socket
	address   netip.AddrPort
	sender    sender
	messages  chan region.Outstanding
}

// newProcess returns a process that listens until the end of the test.
func newProcess(t *testing.T, zone string, regions topology.Map) *process {
	t.Helper()
	started := time.Now()
	p := &process{
		directory: relay.NewDirectory(func() time.Duration { return time.Since(started) }, zone, func(string, string) {}, logr.Discard()),
		socket:    &datagram.Socket{},
		address:   netip.MustParseAddrPort(testnet.Address(t)),
		messages:  make(chan region.Outstanding, 4096),
	}
	p.directory.Replace([]region.Replica{{ID: "r", Service: "s", Zone: "north-a", Slots: 64, Stage: region.StageDecode}})
	p.Peers = New(Options{
		Name: zone, Address: p.address.String(), Incarnation: started.UnixNano(), Zone: zone, Topology: regions,
		Directory: p.directory, Socket: p.socket,
	})
	p.socket.Handle(datagram.KindOutstanding, func(from netip.AddrPort, payload []byte) error {
		// The message is handled before it is passed on, so that a test that awaits it sees its
		// effects.
		err := p.receive(from, payload)
		var message region.Outstanding
		if _, unreadable := message.UnmarshalMsg(payload); unreadable == nil {
			p.messages <- message
		}
		return err
	})
	p.sender = sender{peers: p.Peers, lastStep: started}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.socket.Run(ctx, p.address.String()) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	require.Eventually(t, func() bool {
		return p.socket.Send(datagram.KindPlacementReply, &region.Outstanding{}, p.address) > 0
	}, conditionTimeout, time.Millisecond)
	return p
}

// introduce makes the processes' addresses known to each other.
func introduce(processes ...*process) {
	var addresses []string
	for _, each := range processes {
		addresses = append(addresses, each.address.String())
	}
	for _, each := range processes {
		each.SetAddresses(1, addresses)
	}
}

// awaitMessage returns the next message from the process of a zone.
func (p *process) awaitMessage(t *testing.T, zone string) region.Outstanding {
	t.Helper()
	for {
		select {
		case message := <-p.messages:
			if message.Gateway == zone {
				return message
			}
		case <-time.After(conditionTimeout):
			require.Fail(t, "no message from "+zone)
		}
	}
}

func TestPeersInTheRegionReceiveChangesAndOtherRegionsReceiveSummaries(t *testing.T) {
	north, near, far := newProcess(t, "north-a", twoRegions), newProcess(t, "north-b", twoRegions), newProcess(t, "south-a", twoRegions)
	introduce(north, near, far)
	now := time.Now()
	near.sender.step(now)
	north.awaitMessage(t, "north-b")
	for range 200 {
		now = now.Add(sendPoll)
		lease := north.directory.PickAny("s", relay.Wanted{})
		north.sender.step(now)
		lease.Release()
		now = now.Add(sendPoll)
		north.sender.step(now)
	}
	counts := north.Counts()
	assert.Positive(t, counts.OwnRegion)
	seconds := (400 * sendPoll).Seconds()
	assert.Less(t, float64(counts.OtherRegions), DefaultOtherRegionsRate*(seconds+1))
	message := far.awaitMessage(t, "north-a")
	assert.True(t, message.Whole)
	assert.Empty(t, message.Unreachable)
	received := 1
	for len(far.messages) > 0 || received < 2 {
		far.awaitMessage(t, "north-a")
		received++
	}
	assert.LessOrEqual(t, received, int(seconds/summaryInterval.Seconds())+1)
	assert.GreaterOrEqual(t, far.directory.RegionReportAge("north"), time.Duration(0))
	assert.Negative(t, near.directory.RegionReportAge("north"), "a process of the region receives changes, not summaries")
}

// Guards against a region without work being taken for one that is unreachable.
func TestAnIdleRegionStillReports(t *testing.T) {
	north, far := newProcess(t, "north-a", twoRegions), newProcess(t, "south-a", twoRegions)
	introduce(north, far)
	north.sender.step(time.Now())
	assert.Empty(t, far.awaitMessage(t, "north-a").Replicas)
	assert.Eventually(t, func() bool { return far.directory.RegionReportAge("north") >= 0 }, conditionTimeout, time.Millisecond)
}

// Guards against a delayed message of a process's earlier incarnation overwriting what is known
// from its restarted process.
func TestAMessageOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	far := newProcess(t, "south-a", twoRegions)
	now := time.Now()
	from := netip.MustParseAddrPort("127.0.0.9:9")
	_, newer := far.recordMessage(from, &region.Outstanding{Gateway: "north-a", Life: 2, Sequence: 1, WallNanos: 1}, now)
	assert.True(t, newer)
	_, newer = far.recordMessage(from, &region.Outstanding{Gateway: "north-a", Life: 1, Sequence: 99, WallNanos: 1}, now)
	assert.False(t, newer)
	assert.Empty(t, far.zones, "only the zones of peers are recorded")
}

func TestNoSummariesAreSentWithinOneRegion(t *testing.T) {
	one := topology.Map{Regions: map[string]string{"north-a": "one", "south-a": "one"}}
	a, b := newProcess(t, "north-a", one), newProcess(t, "south-a", one)
	introduce(a, b)
	lease := a.directory.PickAny("s", relay.Wanted{})
	defer lease.Release()
	a.sender.step(time.Now())
	message := b.awaitMessage(t, "north-a")
	assert.Empty(t, message.Zone)
	assert.Zero(t, message.WallNanos)
	assert.Zero(t, a.Counts().OtherRegions)
	assert.Positive(t, a.Counts().OwnRegion)
}

// Guards against prompts that leave a region being prefilled in full at replicas that have cached
// their prefix, because the region had received no report of the prefix.
func TestACachedPrefixIsReportedToOtherRegionsOnce(t *testing.T) {
	north, far := newProcess(t, "north-a", twoRegions), newProcess(t, "south-a", twoRegions)
	introduce(north, far)
	prompt := &relay.Prompt{Tokens: 1200, Parts: []relay.PromptPart{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 200}}}
	request := relay.PrefillRequest{Prompt: prompt, Objective: time.Second, ObjectiveLeft: time.Second, Left: conditionTimeout}
	now := time.Now()
	var received []region.PlacedPrompt
	for range 4 {
		now = now.Add(unsharedInterval)
		lease, err := north.directory.PlacePrefill("s", request)
		require.NoError(t, err)
		north.sender.step(now)
		received = append(received, far.awaitMessage(t, "north-a").Prompts...)
		lease.Release()
	}
	var prefixes [][]region.PlacedPart
	unshared := 0
	for _, each := range received {
		if each.Parts[0].ID == "shared" {
			prefixes = append(prefixes, each.Parts)
			continue
		}
		unshared += each.Parts[0].Tokens
	}
	assert.Equal(t, [][]region.PlacedPart{{{ID: "shared", Tokens: 1000}}}, prefixes)
	assert.Equal(t, 4*200, unshared, "the tokens that fill a replica's cache are sent as a sum")
}

// A replica that rejects one process's requests is about to reject those of others, too.
func TestARejectingReplicaIsAvoidedByPeers(t *testing.T) {
	first, second := newProcess(t, "north-a", topology.Map{}), newProcess(t, "north-a", topology.Map{})
	introduce(first, second)
	list := []region.Replica{{ID: "away", Service: "s", Zone: "north-a", Slots: 64}, {ID: "free", Service: "s", Zone: "north-a", Slots: 64}}
	first.directory.Replace(list)
	second.directory.Replace(list)
	lease := first.directory.PickAny("s", relay.Wanted{})
	other := "free"
	if lease.Replica.ID == other {
		other = "away"
	}
	lease.Refused(time.Minute)
	first.sender.step(time.Now())
	assert.Eventually(t, func() bool {
		for range 20 {
			chosen := second.directory.PickAny("s", relay.Wanted{})
			chosen.Release()
			if chosen.Replica.ID != other {
				return false
			}
		}
		return true
	}, conditionTimeout, time.Millisecond)
}
