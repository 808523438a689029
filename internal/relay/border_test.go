package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// threeRegions are two zones of the north, one of the south and one of the west.
var threeRegions = topology.Map{Regions: map[string]string{
	"north-a": "north", "north-b": "north", "south-a": "south", "west-a": "west",
}}

// regional is a directory that knows regions.
type regional struct {
	*directory
	t     *testing.T
	asked int
}

// newRegional returns a directory of three regions with numbers of readers, and a generating
// replica in each zone, whose engines' pace is known.
func newRegional(t *testing.T, readers map[string]int) *regional {
	var replicas []region.Replica
	for _, zone := range []string{"north-a", "north-b", "south-a", "west-a"} {
		for number := range readers[zone] {
			replicas = append(replicas, replicaIn(zone, fmt.Sprint("reader-", number), region.StagePrefill))
		}
		replicas = append(replicas, replicaIn(zone, "generator", region.StageDecode))
	}
	d := newTaught(replicas...)
	d.KnowPlaces(threeRegions)
	d.SetEngine("s", traffic.Engine{LinkBitsPerSecond: 2e10, TokenBytes: 1000})
	return &regional{directory: d, t: t}
}

func replicaIn(zone, name, stage string) region.Replica {
	made := replica(zone+"/"+name, stage)
	made.Zone, made.Slots = zone, 64
	return made
}

// readFor places a prompt of 0.2 s that shares nothing, for a caller in a zone.
func (d *regional) readFor(zone string) *relay.Lease {
	d.asked++
	return d.readPromptFor(zone, prompt(relay.PromptPart{ID: fmt.Sprint("own-", d.asked), Tokens: pace / 5}))
}

func (d *regional) readPromptFor(zone string, read *relay.Prompt) *relay.Lease {
	request := readRequest(read)
	request.Zone = zone
	lease, err := d.PlaceReading("s", request)
	require.NoError(d.t, err)
	return lease
}

func regionOf(lease *relay.Lease) string { return threeRegions.RegionOf(lease.Replica.Zone) }

// burst places prompts for callers in a zone, and counts them by the regions that get them.
func (d *regional) burst(zone string, prompts int) (map[string]int, []*relay.Lease) {
	counts := map[string]int{}
	var leases []*relay.Lease
	for range prompts {
		lease := d.readFor(zone)
		counts[regionOf(lease)]++
		leases = append(leases, lease)
	}
	return counts, leases
}

// end has all prompts read.
func end(leases []*relay.Lease) {
	for _, lease := range leases {
		lease.Release()
	}
}

// Symptom: a third of a calm day's prompts were read in other regions. Sequence: a reader of the own
// region had a little to do, one of another was idle. Cause: another region counted like another
// zone.
func TestAPromptStaysInItsRegionWhileItIsReadInTimeThere(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "north-b": 1, "south-a": 4})
	counts, _ := d.burst("north-a", 3)
	assert.Equal(t, map[string]int{"north": 3}, counts)
}

// A burst meets a region that has lost most of its readers.
func TestOnlyTheExcessOfABurstLeavesARegion(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 4, "west-a": 4})
	counts, leases := d.burst("north-a", 12)
	assert.GreaterOrEqual(t, counts["north"], 2, "its own reader is kept busy")
	assert.GreaterOrEqual(t, counts["south"], 3)
	assert.GreaterOrEqual(t, counts["west"], 3, "not all to one region")
	for _, lease := range leases {
		assert.Less(t, lease.Rank(&traffic.Route{}), relay.LastRank, "and all are read in time")
	}
	end(leases)
	counts, _ = d.burst("north-a", 2)
	assert.Equal(t, map[string]int{"north": 2}, counts, "it ends with its cause")
}

// The clients of one region come to another: what that one can serve stays there.
func TestClientsThatMoveAreServedWhereTheyAre(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 2, "north-b": 2, "south-a": 4})
	counts, leases := d.burst("south-a", 8)
	assert.Equal(t, 8, counts["south"])
	end(leases)
	counts, _ = d.burst("south-a", 20)
	assert.GreaterOrEqual(t, counts["south"], 8)
	assert.Positive(t, counts["north"])
}

func TestASmallRegionSendsOutMoreOfItsBurstThanALargeOne(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 6})
	small, leases := d.burst("north-a", 6)
	end(leases)
	large, _ := d.burst("south-a", 6)
	assert.Less(t, small["north"], 6)
	assert.Equal(t, 6, large["south"])
}

// A region is cut off: its readers take no connection.
func TestARegionThatCanNotBeReachedIsLeftUntilItIsBack(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 2, "south-a": 2})
	for range 2 {
		lost := d.readFor("north-a")
		lost.Unreachable(false)
		lost.Release()
	}
	assert.Equal(t, "south", regionOf(d.readFor("north-a")))
	d.now += 5 * time.Second
	assert.Equal(t, "north", regionOf(d.readFor("north-a")))
}

// A link has become slow: what went over it has shown so.
func TestASlowWayIsNotTakenAndTriedAgainLater(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 2, "west-a": 2})
	full := func() []*relay.Lease {
		_, leases := d.burst("north-a", 2)
		return leases
	}
	// South and west are rated alike at first, and chosen by chance.
	for tries, slow := 0, 0; tries < 8 || slow == 0; tries++ {
		leases := full()
		lease := d.readFor("north-a")
		if regionOf(lease) == "south" {
			// Twice the way, for a prompt that is read apart, leaves no time.
			d.now += 900 * time.Millisecond
			lease.PromptRead()
			slow++
		}
		lease.Release()
		end(leases)
	}
	leases := full()
	for range 3 {
		lease := d.readFor("north-a")
		assert.Equal(t, "west", regionOf(lease))
		lease.Release()
	}
	end(leases)

	d.now += time.Minute
	counts, _ := d.burst("north-a", 8)
	assert.Positive(t, counts["south"], "nothing else would show that it is fast again")
}

func TestARegionWithoutAStageIsServedByTheOthers(t *testing.T) {
	t.Run("no reader", func(t *testing.T) {
		d := newRegional(t, map[string]int{"south-a": 2})
		assert.Equal(t, "south", regionOf(d.readFor("north-a")))
	})
	t.Run("no generator", func(t *testing.T) {
		d := newRegional(t, map[string]int{"south-a": 2})
		d.Replace([]region.Replica{
			replicaIn("north-a", "reader-0", region.StagePrefill), replicaIn("south-a", "generator", region.StageDecode),
		})
		d.readFor("north-a")
		lease := d.PickGenerator("s", relay.Wanted{}, "north-a")
		require.NotNil(t, lease)
		assert.Equal(t, "south", regionOf(lease))
	})
}

// The memory of a prompt takes ten times as long to get to another region.
func TestAPromptIsGeneratedInTheRegionWhereItWasRead(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1})
	var leases []*relay.Lease
	for range 128 {
		lease := d.PickGenerator("s", relay.Wanted{}, "north-a")
		assert.Equal(t, "north", regionOf(lease))
		leases = append(leases, lease)
	}
	assert.NotEqual(t, "north", regionOf(d.PickGenerator("s", relay.Wanted{}, "north-a")), "all slots are taken")
	leases[0].Release()
	assert.Equal(t, "north", regionOf(d.PickGenerator("s", relay.Wanted{}, "north-a")))
}

// Symptom: more than half of a calm day's fetches came from other regions. Cause: a prefix has one
// home among all replicas, and what others keep was taken for twice as far as the own zone.
func TestABeginningIsFetchedFromAnotherRegionOnceAndThenInsideTheOwn(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "north-b": 1, "south-a": 1})
	shared := relay.PromptPart{ID: "shared", Tokens: pace / 5}
	ask := func(zone, own string) *relay.Lease {
		lease := d.readPromptFor(zone, prompt(shared, relay.PromptPart{ID: own, Tokens: 100}))
		d.now += time.Second
		lease.PromptRead()
		lease.PromptKept(prompt(shared))
		lease.Release()
		return lease
	}
	first := ask("south-a", "a")
	assert.Empty(t, first.FetchFrom())
	second := ask("north-a", "b")
	assert.Equal(t, "north", regionOf(second))
	assert.Equal(t, first.Replica.Address, second.FetchFrom(), "a third of the time in which it is read")
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: second.Replica.ID, Requests: 1, InTimeMicros: 800_000}}, true)
	third := ask("north-a", "c")
	assert.NotEqual(t, second.Replica, third.Replica)
	assert.Equal(t, second.Replica.Address, third.FetchFrom())
}

func TestABeginningIsReadAgainIfItIsLongerUnderWay(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 1})
	d.SetEngine("s", traffic.Engine{LinkBitsPerSecond: 1e9, TokenBytes: 1000})
	shared := relay.PromptPart{ID: "shared", Tokens: pace / 5}
	first := d.readPromptFor("south-a", prompt(shared))
	first.PromptKept(prompt(shared))
	first.Release()
	second := d.readPromptFor("north-a", prompt(shared, relay.PromptPart{ID: "own", Tokens: 100}))
	assert.Equal(t, "north", regionOf(second))
	assert.Empty(t, second.FetchFrom())
}

func TestACallStaysInItsRegionWhileASlotIsFreeThere(t *testing.T) {
	d := newDirectory()
	d.KnowPlaces(topology.Map{Regions: map[string]string{"z": "north", "y": "north", "x": "south"}})
	var replicas []region.Replica
	for _, zone := range []string{"z", "y", "x"} {
		each := replica(zone, "")
		each.Zone = zone
		replicas = append(replicas, each)
	}
	d.Replace(replicas)
	var inside []*relay.Lease
	for range 8 {
		inside = append(inside, d.PickAny("s", relay.Wanted{}))
		assert.NotEqual(t, "x", inside[len(inside)-1].Replica.Zone)
	}
	assert.Equal(t, "x", d.PickAny("s", relay.Wanted{}).Replica.Zone)
	end(inside)
	assert.NotEqual(t, "x", d.PickAny("s", relay.Wanted{}).Replica.Zone)
}
