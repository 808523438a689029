package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// prefillRate is that of the engines, in tokens per second.
const prefillRate = 40_000

// newDirectoryWithKnownCosts returns a directory that has learned its engines' prefill rate.
func newDirectoryWithKnownCosts(replicas ...region.Replica) *directory {
	d := newDirectory(replicas...)
	d.learnPrefillRate(prefillRate)
	return d
}

// ownPrompt returns a prompt that shares no prefix with others.
func ownPrompt(tokens int) *relay.Prompt {
	return prompt(relay.PromptPart{ID: fmt.Sprintf("own-%d", tokens), Tokens: tokens})
}

// reportPeerWork reports from a peer that a replica has prefill work for a time.
func (d *directory) reportPeerWork(replica string, reading time.Duration) {
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: replica, Requests: 1, InTimeMicros: reading.Microseconds()}}, true)
}

func TestPromptBeyondObjectiveBecomesLate(t *testing.T) {
	d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	inTime := d.placePrefill(ownPrompt(20_000))
	assert.Zero(t, inTime.Rank(&traffic.Route{}))
	late := d.placePrefill(ownPrompt(20_001))
	assert.Equal(t, relay.LastRank, late.Rank(&traffic.Route{}), "0.5 s of prefill behind another 0.5 s, with an objective of 1 s")
	next := d.placePrefill(ownPrompt(4000))
	assert.Zero(t, next.Rank(&traffic.Route{}), "late prompts are prefilled after all others")
	inTime.Release()
	late.Release()
	next.Release()
	again := d.placePrefill(ownPrompt(20_002))
	assert.Zero(t, again.Rank(&traffic.Route{}))
	assert.Equal(t, 3, d.placePrefill(ownPrompt(10)).Rank(&traffic.Route{Priority: 3}))
}

// A prefill replica completes what it has started: an on-time prompt that arrives behind a late one waits
// for it.
func TestOnTimePromptAvoidsReplicaWithStartedLatePrefill(t *testing.T) {
	d := newDirectoryWithKnownCosts(replica("a", region.StagePrefill), replica("b", region.StagePrefill), replica("g", region.StageDecode))
	late := d.placePrefill(ownPrompt(80_000))
	require.Equal(t, relay.LastRank, late.Rank(&traffic.Route{}), "2 s of prefill, with an objective of 1 s")
	for number := range 8 {
		short := d.placePrefill(prompt(relay.PromptPart{ID: fmt.Sprint("short-", number), Tokens: 400}))
		assert.NotEqual(t, late.Replica, short.Replica)
		short.Release()
	}
	late.Release()

	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 1, LateMicros: 2_000_000}}, true)
	assert.Equal(t, "b", d.placePrefill(ownPrompt(500)).Replica.ID, "a peer has reported a late prompt")
}

func TestLatePromptIsRefusedWithoutCapacity(t *testing.T) {
	request := newPrefillRequest(ownPrompt(20_000))
	t.Run("the caller will have given up", func(t *testing.T) {
		d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
		d.reportPeerWork("r", 12*time.Second)
		_, err := d.PlacePrefill("s", request)
		require.Error(t, err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(failure.Wrap(err, failure.BackEndRefused)).Ran)
	})
	t.Run("half of the slots are in use", func(t *testing.T) {
		d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
		d.reportPeerWork("r", 2*time.Second)
		_, err := d.PlacePrefill("s", request)
		require.NoError(t, err, "1 of 4 slots is in use")
		_, err = d.PlacePrefill("s", request)
		assert.Error(t, err)
	})
}

func TestEngineCostsAreSharedWithPeers(t *testing.T) {
	taught := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	costs := taught.Costs()
	require.Len(t, costs, 1)
	d := newDirectory(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	assert.Empty(t, d.Costs())
	d.MergeCosts(append(costs, region.EngineCost{Service: "unknown", Samples: 5, Token: 1}))
	late := newPrefillRequest(ownPrompt(2 * prefillRate))
	lease, err := d.PlacePrefill("s", late)
	require.NoError(t, err)
	assert.Equal(t, relay.LastRank, lease.Rank(&traffic.Route{}), "2 s of prefill, with an objective of 1 s")
	assert.Empty(t, d.Costs(), "costs from peers are not reported again")
}

func TestDecodeReplicaPrefillsOnlyWithinItsGapBudget(t *testing.T) {
	prompts := 0
	placedOn := func(d *directory, tokens int, gap time.Duration) string {
		prompts++
		request := newPrefillRequest(prompt(relay.PromptPart{ID: fmt.Sprintf("short-%d", prompts), Tokens: tokens}))
		request.TargetTokenGap = gap
		lease, err := d.PlacePrefill("s", request)
		require.NoError(t, err)
		defer lease.Release()
		return lease.Replica.ID
	}
	d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	d.reportPeerWork("r", 300*time.Millisecond)
	assert.Equal(t, "g", placedOn(d, 200, 150*time.Millisecond), "the prefill replica is busy")
	assert.Equal(t, "r", placedOn(d, 200, 10*time.Millisecond), "the prefill would exceed the inter-token gap")

	assert.Equal(t, "r", placedOn(d, 2000, 150*time.Millisecond), "the prompt is too long")

	stream := d.PickDecode("s", relay.Wanted{}, "z")
	stream.StreamBegun("route", false)
	d.now += 140 * time.Millisecond
	stream.StreamContinued()
	d.reportPeerWork("r", 300*time.Millisecond)
	assert.Equal(t, "r", placedOn(d, 200, 150*time.Millisecond), "its streams already have long gaps")
	d.now += 5 * time.Second
	d.reportPeerWork("r", 300*time.Millisecond)
	assert.Equal(t, "g", placedOn(d, 200, 150*time.Millisecond), "the long gap is no longer recent")
	d.reportPeerWork("r", 0)
	assert.Equal(t, "r", placedOn(d, 200, 150*time.Millisecond), "the prefill replica is idle")
}

// Work that other gateways have placed at decode replicas, and not yet reported, shows in how long prefills
// take there.
func TestPromptsAvoidDecodeReplicasSlowerThanEstimated(t *testing.T) {
	place := func(d *directory) *relay.Lease {
		request := newPrefillRequest(ownPrompt(200))
		request.TargetTokenGap = 150 * time.Millisecond
		d.reportPeerWork("r", 300*time.Millisecond)
		lease, err := d.PlacePrefill("s", request)
		require.NoError(t, err)
		return lease
	}
	for _, off := range []bool{false, true} {
		d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
		d.Disable(mechanism.Set{mechanism.Excess: off})
		slow := place(d)
		require.Equal(t, "g", slow.Replica.ID)
		d.now += 800 * time.Millisecond
		slow.PrefillDone()
		slow.Release()
		next := place(d)
		assert.Equal(t, off, next.Replica.ID == "g")
	}
}

func TestPrefixTransferTimeDependsOnLinkBandwidth(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 8000}
	for _, test := range []struct {
		link  float64
		fetch string
	}{
		{0, "b:1"},
		{1e12, "b:1"},
		{1e8, ""},
	} {
		d := newDirectoryWithKnownCosts(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
		d.SetEngine("s", traffic.Engine{TokenBytes: 1000, LinkBitsPerSecond: test.link})
		d.AddCached(region.Incarnation{ID: "b"}, []relay.PromptPart{shared})
		d.reportPeerWork("b", 900*time.Millisecond)
		lease := d.placePrefill(prompt(shared, relay.PromptPart{ID: "own", Tokens: 100}))
		require.Equal(t, "a", lease.Replica.ID)
		if test.fetch != "" {
			assert.Equal(t, test.fetch, lease.FetchFrom())
		}
	}
}

func TestStreamsAreSpreadOverDecodeReplicas(t *testing.T) {
	d := newDirectory(replica("a", region.StageDecode), replica("b", region.StageDecode), replica("c", region.StageDecode))
	counts := map[string]int{}
	for taken := 1; taken <= 6; taken++ {
		counts[d.PickDecode("s", relay.Wanted{}, "z").Replica.ID]++
		if taken%3 == 0 {
			assert.Equal(t, map[string]int{"a": taken / 3, "b": taken / 3, "c": taken / 3}, counts)
		}
	}
}

func TestDemandForecastsStreamsFromTheirRateAndDuration(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode))
	d.SetEngine("s", traffic.Engine{SwitchTime: 3 * time.Second})
	var running []*relay.Lease
	// Ten streams per second, each for two seconds.
	for step := range 100 {
		d.now = time.Duration(step) * 100 * time.Millisecond
		lease := d.PickDecode("s", relay.Wanted{}, "z")
		lease.StreamBegun("long", false)
		running = append(running, lease)
		if len(running) > 20 {
			running[0].Release()
			running = running[1:]
		}
	}
	demand := d.Demand(topology.Map{})[0]
	assert.InDelta(t, 20, demand.Generating, 1)
	assert.InDelta(t, 20, demand.Expected, 4)
	// No more streams arrive, and half have ended: in three seconds nearly all will have.
	for _, lease := range running[:10] {
		lease.Release()
	}
	d.now += 2 * time.Second
	assert.Less(t, d.Demand(topology.Map{})[0].Expected, 12.0)
}

// Guards against learning costs from cached prompts: after a restart of all processes, replicas still have
// prompts cached that the processes count as uncached, and answer them at once. When costs were learned
// from these, prefills looked eight times as fast as they are, and a tenth of the callers had no answer for
// six seconds.
func TestNoPrefillRateIsLearnedWhileCacheIsUnknown(t *testing.T) {
	d := newDirectory(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	prefill := func(id string) {
		lease := d.placePrefill(prompt(relay.PromptPart{ID: "shared-" + id, Tokens: 8000}, relay.PromptPart{ID: "own-" + id, Tokens: 400}))
		d.now += 10 * time.Millisecond
		lease.PrefillDone()
		lease.Release()
	}
	for number := range 5 {
		prefill(fmt.Sprint(number))
	}
	assert.Empty(t, d.Costs())
	d.AddCached(region.Incarnation{ID: "r"}, nil)
	for number := range 5 {
		prefill(fmt.Sprint("kept-", number))
	}
	assert.NotEmpty(t, d.Costs(), "the content of its cache is known now")
}
