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

// threeRegions has two zones in the north, one in the south and one in the west.
var threeRegions = topology.Map{Regions: map[string]string{
	"north-a": "north", "north-b": "north", "south-a": "south", "west-a": "west",
}}

// regionalDirectory is a directory with regions.
type regionalDirectory struct {
	*directory
	t             *testing.T
	placedPrompts int
}

// newRegional returns a directory of three regions whose prefill rate is known, with a number of prefill
// replicas and one decode replica in each zone.
func newRegional(t *testing.T, prefillReplicas map[string]int) *regionalDirectory {
	var replicas []region.Replica
	for _, zone := range []string{"north-a", "north-b", "south-a", "west-a"} {
		for number := range prefillReplicas[zone] {
			replicas = append(replicas, replicaIn(zone, fmt.Sprint("reader-", number), region.StagePrefill))
		}
		replicas = append(replicas, replicaIn(zone, "generator", region.StageDecode))
	}
	d := newDirectoryWithKnownCosts(replicas...)
	d.SetRegions(threeRegions)
	d.SetEngine("s", traffic.Engine{LinkBitsPerSecond: 2e10, TokenBytes: 1000})
	return &regionalDirectory{directory: d, t: t}
}

func replicaIn(zone, name, stage string) region.Replica {
	made := replica(zone+"/"+name, stage)
	made.Zone, made.Slots = zone, 64
	return made
}

// prefillFor places a prompt with a prefill of 0.2 s and no shared prefix, for a caller in a zone.
func (d *regionalDirectory) prefillFor(zone string) *relay.Lease {
	d.placedPrompts++
	return d.prefillPromptFor(zone, prompt(relay.PromptPart{ID: fmt.Sprint("own-", d.placedPrompts), Tokens: prefillRate / 5}))
}

func (d *regionalDirectory) prefillPromptFor(zone string, read *relay.Prompt) *relay.Lease {
	request := newPrefillRequest(read)
	request.Zone = zone
	lease, err := d.PlacePrefill("s", request)
	require.NoError(d.t, err)
	return lease
}

func regionOf(lease *relay.Lease) string { return threeRegions.RegionOf(lease.Replica.Zone) }

// burst places prompts for callers in a zone, and counts them by the region of their replica.
func (d *regionalDirectory) burst(zone string, prompts int) (map[string]int, []*relay.Lease) {
	counts := map[string]int{}
	var leases []*relay.Lease
	for range prompts {
		lease := d.prefillFor(zone)
		counts[regionOf(lease)]++
		leases = append(leases, lease)
	}
	return counts, leases
}

// releaseAll releases the leases.
func releaseAll(leases []*relay.Lease) {
	for _, lease := range leases {
		lease.Release()
	}
}

// Guards against prefills in other regions without need: when another region counted like another zone, an
// idle replica there got a third of the prompts in normal load, although its own region was only slightly busy.
func TestPromptStaysInRegionWhileOnTime(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "north-b": 1, "south-a": 4})
	counts, _ := d.burst("north-a", 3)
	assert.Equal(t, map[string]int{"north": 3}, counts)
}

// A burst arrives in a region that has lost most of its prefill replicas.
func TestOnlyBurstOverflowLeavesRegion(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 4, "west-a": 4})
	counts, leases := d.burst("north-a", 12)
	assert.GreaterOrEqual(t, counts["north"], 2, "its own prefill replica is used")
	assert.GreaterOrEqual(t, counts["south"], 3)
	assert.GreaterOrEqual(t, counts["west"], 3, "the overflow is spread over regions")
	for _, lease := range leases {
		assert.Less(t, lease.Rank(&traffic.Route{}), relay.LastRank, "all are prefilled in time")
	}
	releaseAll(leases)
	counts, _ = d.burst("north-a", 2)
	assert.Equal(t, map[string]int{"north": 2}, counts, "no overflow after the burst")
}

// The clients of one region move to another: what that region can serve stays there.
func TestClientsMovedToAnotherRegionAreServedThere(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 2, "north-b": 2, "south-a": 4})
	counts, leases := d.burst("south-a", 8)
	assert.Equal(t, 8, counts["south"])
	releaseAll(leases)
	counts, _ = d.burst("south-a", 20)
	assert.GreaterOrEqual(t, counts["south"], 8)
	assert.Positive(t, counts["north"])
}

func TestSmallRegionOverflowsMoreThanLargeOne(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 6})
	small, leases := d.burst("north-a", 6)
	releaseAll(leases)
	large, _ := d.burst("south-a", 6)
	assert.Less(t, small["north"], 6)
	assert.Equal(t, 6, large["south"])
}

// A region is cut off: its prefill replicas accept no connections.
func TestUnreachableRegionIsAvoidedUntilItRecovers(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 2, "south-a": 2})
	for range 2 {
		lost := d.prefillFor("north-a")
		lost.Unreachable(false)
		lost.Release()
	}
	assert.Equal(t, "south", regionOf(d.prefillFor("north-a")))
	d.now += 5 * time.Second
	assert.Equal(t, "north", regionOf(d.prefillFor("north-a")))
}

// A link has become slow, as the requests that used it have shown.
func TestSlowPathIsAvoidedAndRetriedLater(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 2, "west-a": 2})
	full := func() []*relay.Lease {
		_, leases := d.burst("north-a", 2)
		return leases
	}
	// South and west have the same score at first, and are chosen at random.
	for tries, slow := 0, 0; tries < 8 || slow == 0; tries++ {
		leases := full()
		lease := d.prefillFor("north-a")
		if regionOf(lease) == "south" {
			// A prompt with a separate prefill crosses twice, which leaves no time.
			d.now += 900 * time.Millisecond
			lease.PrefillDone()
			slow++
		}
		lease.Release()
		releaseAll(leases)
	}
	leases := full()
	for range 3 {
		lease := d.prefillFor("north-a")
		assert.Equal(t, "west", regionOf(lease))
		lease.Release()
	}
	releaseAll(leases)

	d.now += time.Minute
	counts, _ := d.burst("north-a", 8)
	assert.Positive(t, counts["south"], "only another request can show that the path has recovered")
}

func TestRegionWithoutStageUsesOtherRegions(t *testing.T) {
	t.Run("no prefill replica", func(t *testing.T) {
		d := newRegional(t, map[string]int{"south-a": 2})
		assert.Equal(t, "south", regionOf(d.prefillFor("north-a")))
	})
	t.Run("no decode replica", func(t *testing.T) {
		d := newRegional(t, map[string]int{"south-a": 2})
		d.Replace([]region.Replica{
			replicaIn("north-a", "reader-0", region.StagePrefill), replicaIn("south-a", "generator", region.StageDecode),
		})
		d.prefillFor("north-a")
		lease := d.PickDecode("s", relay.Wanted{}, "north-a")
		require.NotNil(t, lease)
		assert.Equal(t, "south", regionOf(lease))
	})
}

// Transferring a KV cache to another region takes ten times as long.
func TestDecodeStaysInRegionOfPrefill(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1})
	var leases []*relay.Lease
	for range 128 {
		lease := d.PickDecode("s", relay.Wanted{}, "north-a")
		assert.Equal(t, "north", regionOf(lease))
		leases = append(leases, lease)
	}
	assert.NotEqual(t, "north", regionOf(d.PickDecode("s", relay.Wanted{}, "north-a")), "all slots are taken")
	leases[0].Release()
	assert.Equal(t, "north", regionOf(d.PickDecode("s", relay.Wanted{}, "north-a")))
}

// Guards against fetches from other regions: more than half of the fetches in normal load crossed regions
// when a prefix had one preferred replica among all regions, and another region counted as only twice as
// far as the own zone.
func TestPrefixIsFetchedAcrossRegionsOnce(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "north-b": 1, "south-a": 1})
	shared := relay.PromptPart{ID: "shared", Tokens: prefillRate / 5}
	ask := func(zone, own string) *relay.Lease {
		lease := d.prefillPromptFor(zone, prompt(shared, relay.PromptPart{ID: own, Tokens: 100}))
		d.now += time.Second
		lease.PrefillDone()
		lease.PromptCached(prompt(shared))
		lease.Release()
		return lease
	}
	first := ask("south-a", "a")
	assert.Empty(t, first.FetchFrom())
	second := ask("north-a", "b")
	assert.Equal(t, "north", regionOf(second))
	assert.Equal(t, first.Replica.Address, second.FetchFrom(), "the transfer takes a third of the prefill time")
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: second.Replica.ID, Requests: 1, InTimeMicros: 800_000}}, true)
	third := ask("north-a", "c")
	assert.NotEqual(t, second.Replica, third.Replica)
	assert.Equal(t, second.Replica.Address, third.FetchFrom())
}

func TestPrefixIsRecomputedIfTransferIsSlower(t *testing.T) {
	d := newRegional(t, map[string]int{"north-a": 1, "south-a": 1})
	d.SetEngine("s", traffic.Engine{LinkBitsPerSecond: 1e9, TokenBytes: 1000})
	shared := relay.PromptPart{ID: "shared", Tokens: prefillRate / 5}
	first := d.prefillPromptFor("south-a", prompt(shared))
	first.PromptCached(prompt(shared))
	first.Release()
	second := d.prefillPromptFor("north-a", prompt(shared, relay.PromptPart{ID: "own", Tokens: 100}))
	assert.Equal(t, "north", regionOf(second))
	assert.Empty(t, second.FetchFrom())
}

func TestCallStaysInRegionWhileSlotIsFree(t *testing.T) {
	d := newDirectory()
	d.SetRegions(topology.Map{Regions: map[string]string{"z": "north", "y": "north", "x": "south"}})
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
	releaseAll(inside)
	assert.NotEqual(t, "x", d.PickAny("s", relay.Wanted{}).Replica.Zone)
}
