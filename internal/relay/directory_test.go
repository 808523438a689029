package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// directory is a Directory with a clock that tests advance.
type directory struct {
	*relay.Directory
	now     time.Duration
	dropped []string
}

func newDirectory(replicas ...region.Replica) *directory {
	d := &directory{}
	d.Directory = relay.NewDirectory(func() time.Duration { return d.now }, "z", func(_, instance string) {
		d.dropped = append(d.dropped, instance)
	}, logr.Discard())
	d.Replace(replicas)
	return d
}

func replica(id, stage string) region.Replica {
	return region.Replica{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 4, Stage: stage}
}

// newPrefillRequest is for a prompt whose caller expects an answer within a second.
func newPrefillRequest(prompt *relay.Prompt) relay.PrefillRequest {
	return relay.PrefillRequest{Prompt: prompt, Objective: time.Second, ObjectiveLeft: time.Second, Left: 10 * time.Second}
}

// placePrefill leases the replica that is to prefill a prompt. A decode replica must exist.
func (d *directory) placePrefill(prompt *relay.Prompt) *relay.Lease {
	lease, err := d.PlacePrefill("s", newPrefillRequest(prompt))
	if err != nil {
		panic(err)
	}
	return lease
}

// learnPrefillRate completes prefills at a rate, so that the engines' costs are known.
func (d *directory) learnPrefillRate(tokensPerSecond int) {
	for index, tokens := range []int{1000, 4000, 16_000, 2000, 8000} {
		lease := d.placePrefill(prompt(relay.PromptPart{ID: fmt.Sprintf("taught-%d", index), Tokens: tokens}))
		d.now += time.Duration(tokens) * time.Second / time.Duration(tokensPerSecond)
		lease.PrefillDone()
		lease.Release()
	}
}

func prompt(parts ...relay.PromptPart) *relay.Prompt {
	whole := &relay.Prompt{Parts: parts}
	for _, part := range parts {
		whole.Tokens += part.Tokens
	}
	return whole
}

func TestDrainingSurvivesAnOlderList(t *testing.T) {
	d := newDirectory(replica("a", ""))
	draining := replica("a", "")
	draining.Draining = true
	d.Replace([]region.Replica{draining})
	assert.Nil(t, d.PickAny("s", relay.Wanted{}))
	d.Replace([]region.Replica{replica("a", "")})
	assert.Nil(t, d.PickAny("s", relay.Wanted{}))
}

func TestRemovedReplicaIsDroppedAndItsAddressCanBeReused(t *testing.T) {
	d := newDirectory(replica("a", ""))
	reused := replica("b", "")
	reused.Address = "a:1"
	d.Replace([]region.Replica{reused})
	assert.Equal(t, []string{"a"}, d.dropped)
	assert.Equal(t, "b", d.PickAny("s", relay.Wanted{}).Replica.ID)
}

func TestPeerWorkBreaksTiesBetweenReplicas(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 1, InTimeMicros: 400_000}}, true)
	for range 10 {
		lease := d.placePrefill(prompt(relay.PromptPart{ID: "own", Tokens: 100}))
		assert.Equal(t, "b", lease.Replica.ID)
		lease.Release()
	}
	d.now += time.Minute
	picked := map[string]bool{}
	for range 50 {
		lease := d.placePrefill(prompt(relay.PromptPart{ID: "other", Tokens: 100}))
		picked[lease.Replica.ID] = true
		lease.Release()
	}
	assert.True(t, picked["a"] || picked["b"])
}

func TestPeerUpdatesAreMergedIntoItsLastReport(t *testing.T) {
	d := newDirectory(replica("a", ""), replica("b", ""), replica("c", ""))
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 5}, {Replica: "b", Requests: 5}}, true)
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "b"}, {Replica: "c", Requests: 5}}, false)
	lease := d.PickAny("s", relay.Wanted{})
	assert.Equal(t, "b", lease.Replica.ID, "the work at b has ended, that at a still counts")
	lease.Release()
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "b", Requests: 5}, {Replica: "c", Requests: 5}}, true)
	assert.Equal(t, "a", d.PickAny("s", relay.Wanted{}).Replica.ID, "a complete report replaces the earlier ones")
}

func TestChoiceRecordsItsInputs(t *testing.T) {
	d := newDirectory(replica("a", ""), replica("b", ""), replica("c", ""))
	d.TakeOutstanding("peer", []region.OutstandingWork{
		{Replica: "a", Requests: 2}, {Replica: "b", Requests: 9}, {Replica: "c", Requests: 9},
	}, true)
	d.now += 300 * time.Millisecond
	first := d.PickAny("s", relay.Wanted{})
	require.Equal(t, "a", first.Replica.ID)
	assert.Equal(t, relay.Choice{
		Candidates: 3, InFlight: 2, PeersAge: 300 * time.Millisecond, Occupancy: 0.5, LoadAge: -time.Millisecond,
	}, first.Choice)
	first.Answered(false, &relay.Load{Running: 3, Slots: 4})
	d.now += 100 * time.Millisecond
	again := d.PickAny("s", relay.Wanted{Excluded: []*relay.Replica{d.PickAny("s", relay.Wanted{Excluded: []*relay.Replica{first.Replica}}).Replica}})
	require.Equal(t, "a", again.Replica.ID)
	assert.Equal(t, 2, again.Choice.Candidates)
	assert.Equal(t, 100*time.Millisecond, again.Choice.LoadAge)
}

func TestPromptGoesToReplicaWithCachedPrefix(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill), replica("c", region.StagePrefill))
	shared := relay.PromptPart{ID: "shared", Tokens: 10_000}
	first := d.placePrefill(prompt(shared, relay.PromptPart{ID: "1", Tokens: 500}))
	first.PrefillDone()
	first.Release()
	for _, own := range []string{"2", "3", "4"} {
		next := d.placePrefill(prompt(shared, relay.PromptPart{ID: own, Tokens: 500}))
		assert.Equal(t, first.Replica.ID, next.Replica.ID)
		next.Release()
	}
}

func TestPrefixOfBusyReplicaIsFetched(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	shared := relay.PromptPart{ID: "shared", Tokens: 10_000}
	d.AddCached(region.Incarnation{ID: "a"}, []relay.PromptPart{shared})
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 3, InTimeMicros: 600_000}}, true)
	whole := prompt(shared, relay.PromptPart{ID: "1", Tokens: 500})
	lease := d.placePrefill(whole)
	require.Equal(t, "b", lease.Replica.ID)
	assert.Equal(t, "a:1", lease.FetchFrom())
}

func TestPrefixIsFetchedOnceItsPrefillIsDone(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 10_000}
	d := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	d.TakePlaced([]region.PlacedPrompt{{
		Sequence: 1, Replica: "a", ReadyMillis: 300, Parts: []region.PlacedPart{{ID: shared.ID, Tokens: shared.Tokens}},
	}})
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 3, InTimeMicros: 1_800_000}}, true)
	whole := prompt(shared, relay.PromptPart{ID: "1", Tokens: 500})
	early := d.placePrefill(whole)
	require.Equal(t, "b", early.Replica.ID)
	early.Release()

	receiver := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	placer := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill))
	placer.learnPrefillRate(40_000)
	learned := placer.Placed(0)
	lease := placer.placePrefill(prompt(shared, relay.PromptPart{ID: "2", Tokens: 20_000}))
	require.Equal(t, "a", lease.Replica.ID)
	require.Empty(t, learned, "prompts without a shared prefix are not reported")
	placed := placer.Placed(0)
	require.Len(t, placed, 1)
	assert.Greater(t, placed[0].ReadyMillis, 500, "30,000 tokens take longer")
	placer.now += time.Minute
	assert.Zero(t, placer.Placed(0)[0].ReadyMillis, "its prefill is complete by now")
	receiver.TakePlaced(placer.Placed(0))
	receiver.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 3, InTimeMicros: 1_800_000}}, true)
	next := receiver.placePrefill(whole)
	require.Equal(t, "b", next.Replica.ID)
	assert.Equal(t, "a:1", next.FetchFrom())
}

func TestUnlocatedPrefixIsFetchedFromPreferredReplica(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 10_000}
	idle := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	preferred := idle.placePrefill(prompt(shared, relay.PromptPart{ID: "1", Tokens: 500})).Replica
	busy := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	busy.TakeOutstanding("peer", []region.OutstandingWork{{Replica: preferred.ID, Requests: 3, InTimeMicros: 1_800_000}}, true)
	lease := busy.placePrefill(prompt(shared, relay.PromptPart{ID: "2", Tokens: 500}))
	require.NotEqual(t, preferred.ID, lease.Replica.ID)
	assert.Equal(t, preferred.Address, lease.FetchFrom())
}

func TestPrefixBeyondCacheCapacityIsEvicted(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
	d.SetEngine("s", traffic.Engine{CacheTokens: 15_000})
	d.AddCached(region.Incarnation{ID: "a"}, []relay.PromptPart{{ID: "old", Tokens: 10_000}})
	d.AddCached(region.Incarnation{ID: "a"}, []relay.PromptPart{{ID: "new", Tokens: 10_000}})
	lease := d.placePrefill(prompt(relay.PromptPart{ID: "x", Tokens: 10}))
	lease.Release()
	old := prompt(relay.PromptPart{ID: "old", Tokens: 10_000}, relay.PromptPart{ID: "own", Tokens: 10})
	picked := d.placePrefill(old)
	assert.Empty(t, picked.FetchFrom(), "no replica has it cached any more")
}

func TestReplicaUnreachableByPeerIsAvoided(t *testing.T) {
	d := newDirectory(replica("a", ""), replica("b", ""))
	d.TakeUnreachable([]string{"a", "unknown"})
	for range 20 {
		lease := d.PickAny("s", relay.Wanted{})
		assert.Equal(t, "b", lease.Replica.ID)
		lease.Release()
	}
	only := newDirectory(replica("a", ""))
	only.TakeUnreachable([]string{"a"})
	assert.NotNil(t, only.PickAny("s", relay.Wanted{}), "an avoided replica is better than none")
}

func TestDemandCountsRunningStreamsAndPendingPrefills(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode), replica("r", region.StagePrefill), replica("g", region.StageDecode), replica("x", ""))
	lease := d.PickDecode("s", relay.Wanted{}, "z")
	demand := d.Demand(topology.Map{})
	require.Len(t, demand, 1)
	assert.Zero(t, demand[0].Generating)
	lease.StreamBegun("route", false)
	assert.EqualValues(t, 1, d.Demand(topology.Map{})[0].Generating)
	lease.Release()
	lease.Release()
	assert.Zero(t, d.Demand(topology.Map{})[0].Generating)
	d.placePrefill(prompt(relay.PromptPart{ID: "p", Tokens: 60_000}))
	assert.Positive(t, d.Demand(topology.Map{})[0].Reading)
}

func TestDemandIsReportedPerRegion(t *testing.T) {
	far := replica("far", region.StageDecode)
	far.Zone = "far-zone"
	places := topology.Map{Regions: map[string]string{"z": "own", "far-zone": "other"}}
	d := newDirectory(replica("g", region.StageDecode), far, replica("r", region.StagePrefill))
	for range 6 {
		d.PickDecode("s", relay.Wanted{}, "z").StreamBegun("route", false)
	}
	d.placePrefill(prompt(relay.PromptPart{ID: "p", Tokens: 60_000}))
	demand := d.Demand(places)
	require.Len(t, demand, 2)
	assert.Equal(t, "own", demand[0].Region)
	assert.Equal(t, 1, demand[0].Gateways)
	assert.Positive(t, demand[0].Reading)
	assert.Equal(t, "other", demand[1].Region)
	assert.Zero(t, demand[1].Gateways)
	assert.EqualValues(t, 6, demand[0].Generating+demand[1].Generating)
	assert.Positive(t, demand[1].Generating)
	assert.Len(t, d.Demand(topology.Map{}), 1, "without a region map all zones are one region")
}

// Guards against missing reports counting as no work: when a region is cut off and its reports expire, its
// replicas would look idle, and all other regions would send there when they lack capacity.
func TestRegionReportExpires(t *testing.T) {
	d := newDirectory(replica("a", region.StageDecode))
	assert.Negative(t, d.RegionReportAge("other"))
	d.now = time.Minute
	d.TakeRegionWork("other", "peer", []region.OutstandingWork{{Replica: "a", Requests: 3}}, true, time.Second)
	assert.Equal(t, time.Second, d.RegionReportAge("other"))
	d.now += 1900 * time.Millisecond
	assert.Equal(t, 2900*time.Millisecond, d.RegionReportAge("other"))
	d.now += 100 * time.Millisecond
	assert.Negative(t, d.RegionReportAge("other"))
	d.TakeRegionWork("other", "peer", nil, true, 4*time.Second)
	assert.Negative(t, d.RegionReportAge("other"), "a report that arrives too late is ignored")
}
