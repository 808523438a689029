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

// patience is how long a test waits for what has to happen.
const patience = 10 * time.Second

var places = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}}

// process is one that places work, with the words that came to it.
type process struct {
	*Peers
	directory *relay.Directory
	socket    *datagram.Socket
	address   netip.AddrPort
	told      teller
	words     chan region.Outstanding
}

// newProcess returns a process that listens until the end of the test.
func newProcess(t *testing.T, zone string, regions topology.Map) *process {
	t.Helper()
	started := time.Now()
	p := &process{
		directory: relay.NewDirectory(func() time.Duration { return time.Since(started) }, zone, func(string, string) {}, logr.Discard()),
		socket:    &datagram.Socket{},
		address:   netip.MustParseAddrPort(testnet.Address(t)),
		words:     make(chan region.Outstanding, 4096),
	}
	p.directory.Replace([]region.Replica{{ID: "r", Service: "s", Zone: "north-a", Slots: 64, Stage: region.StageDecode}})
	p.Peers = New(Options{
		Name: zone, Address: p.address.String(), Life: started.UnixNano(), Zone: zone, Topology: regions,
		Directory: p.directory, Socket: p.socket,
	})
	p.socket.Handle(datagram.KindOutstanding, func(from netip.AddrPort, payload []byte) error {
		// Who awaits a word goes on once it has been taken in.
		err := p.receive(from, payload)
		var word region.Outstanding
		if _, unreadable := word.UnmarshalMsg(payload); unreadable == nil {
			p.words <- word
		}
		return err
	})
	p.told = teller{peers: p.Peers, last: started}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.socket.Run(ctx, p.address.String()) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	require.Eventually(t, func() bool {
		return p.socket.Send(datagram.KindPlacementReply, &region.Outstanding{}, p.address) > 0
	}, patience, time.Millisecond)
	return p
}

// know has processes know each other.
func know(processes ...*process) {
	var addresses []string
	for _, each := range processes {
		addresses = append(addresses, each.address.String())
	}
	for _, each := range processes {
		each.Take(1, addresses)
	}
}

// await returns the next word of a zone.
func (p *process) await(t *testing.T, zone string) region.Outstanding {
	t.Helper()
	for {
		select {
		case word := <-p.words:
			if word.Gateway == zone {
				return word
			}
		case <-time.After(patience):
			require.Fail(t, "no word of "+zone)
		}
	}
}

func TestAProcessOfTheRegionIsToldEachChangeAndOneOfAnotherSums(t *testing.T) {
	north, near, far := newProcess(t, "north-a", places), newProcess(t, "north-b", places), newProcess(t, "south-a", places)
	know(north, near, far)
	now := time.Now()
	near.told.step(now)
	north.await(t, "north-b")
	for range 200 {
		now = now.Add(tellPoll)
		lease := north.directory.PickAny("s", relay.Wanted{})
		north.told.step(now)
		lease.Release()
		now = now.Add(tellPoll)
		north.told.step(now)
	}
	counts := north.Counts()
	assert.Positive(t, counts.OwnRegion)
	seconds := (400 * tellPoll).Seconds()
	assert.Less(t, float64(counts.OtherRegions), DefaultOtherRegionsRate*(seconds+1))
	word := far.await(t, "north-a")
	assert.True(t, word.Whole)
	assert.Empty(t, word.Unreachable)
	told := 1
	for len(far.words) > 0 || told < 2 {
		far.await(t, "north-a")
		told++
	}
	assert.LessOrEqual(t, told, int(seconds/sumsInterval.Seconds())+1)
	assert.GreaterOrEqual(t, far.directory.RegionReportAge("north"), time.Duration(0))
	assert.Negative(t, near.directory.RegionReportAge("north"), "a near process is told changes")
}

// Symptom: a region that has no work looks as if it were cut off.
func TestARegionWithoutWorkSaysSo(t *testing.T) {
	north, far := newProcess(t, "north-a", places), newProcess(t, "south-a", places)
	know(north, far)
	north.told.step(time.Now())
	assert.Empty(t, far.await(t, "north-a").Replicas)
	assert.Eventually(t, func() bool { return far.directory.RegionReportAge("north") >= 0 }, patience, time.Millisecond)
}

// Symptom: word of before a cut overrides what is known after it. Sequence: a process begins
// anew; a word of its life before arrives late.
func TestWordOfAnEarlierLifeIsNotTaken(t *testing.T) {
	far := newProcess(t, "south-a", places)
	now := time.Now()
	from := netip.MustParseAddrPort("127.0.0.9:9")
	_, newer := far.note(from, &region.Outstanding{Gateway: "north-a", Life: 2, Sequence: 1, WallNanos: 1}, now)
	assert.True(t, newer)
	_, newer = far.note(from, &region.Outstanding{Gateway: "north-a", Life: 1, Sequence: 99, WallNanos: 1}, now)
	assert.False(t, newer)
	assert.Empty(t, far.zones, "who is no peer is not remembered")
}

func TestWhereThereIsOneRegionNothingIsToldAsSums(t *testing.T) {
	one := topology.Map{Regions: map[string]string{"north-a": "one", "south-a": "one"}}
	a, b := newProcess(t, "north-a", one), newProcess(t, "south-a", one)
	know(a, b)
	lease := a.directory.PickAny("s", relay.Wanted{})
	defer lease.Release()
	a.told.step(time.Now())
	word := b.await(t, "north-a")
	assert.Empty(t, word.Zone)
	assert.Zero(t, word.WallNanos)
	assert.Zero(t, a.Counts().OtherRegions)
	assert.Positive(t, a.Counts().OwnRegion)
}

// Symptom: prompts that leave a region are read anew at replicas that keep their prefix. Cause:
// the region was not told of the prefix.
func TestOtherRegionsAreToldOnceOfAPrefixThatAReplicaKeeps(t *testing.T) {
	north, far := newProcess(t, "north-a", places), newProcess(t, "south-a", places)
	know(north, far)
	prompt := &relay.Prompt{Tokens: 1200, Parts: []relay.PromptPart{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 200}}}
	request := relay.ReadRequest{Prompt: prompt, Objective: time.Second, AimLeft: time.Second, Left: patience}
	now := time.Now()
	var told []region.PlacedPrompt
	for range 4 {
		now = now.Add(unsharedInterval)
		lease, err := north.directory.PlacePrefill("s", request)
		require.NoError(t, err)
		north.told.step(now)
		told = append(told, far.await(t, "north-a").Prompts...)
		lease.Release()
	}
	var prefixes [][]region.PlacedPart
	unshared := 0
	for _, each := range told {
		if each.Parts[0].ID == "shared" {
			prefixes = append(prefixes, each.Parts)
			continue
		}
		unshared += each.Parts[0].Tokens
	}
	assert.Equal(t, [][]region.PlacedPart{{{ID: "shared", Tokens: 1000}}}, prefixes)
	assert.Equal(t, 4*200, unshared, "what fills a replica's memory is told as a sum")
}

// A replica that turns one process away is about to turn others away, too.
func TestWhoTurnsOneProcessAwayIsAvoidedByItsPeers(t *testing.T) {
	first, second := newProcess(t, "north-a", topology.Map{}), newProcess(t, "north-a", topology.Map{})
	know(first, second)
	list := []region.Replica{{ID: "away", Service: "s", Zone: "north-a", Slots: 64}, {ID: "free", Service: "s", Zone: "north-a", Slots: 64}}
	first.directory.Replace(list)
	second.directory.Replace(list)
	lease := first.directory.PickAny("s", relay.Wanted{})
	other := "free"
	if lease.Replica.ID == other {
		other = "away"
	}
	lease.Refused(time.Minute)
	first.told.step(time.Now())
	assert.Eventually(t, func() bool {
		for range 20 {
			chosen := second.directory.PickAny("s", relay.Wanted{})
			chosen.Release()
			if chosen.Replica.ID != other {
				return false
			}
		}
		return true
	}, patience, time.Millisecond)
}
