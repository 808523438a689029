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

const pace = 40_000

// newTaught returns a directory that has learned its engines' pace.
func newTaught(replicas ...region.Replica) *directory {
	d := newDirectory(replicas...)
	d.teach(pace)
	return d
}

// ownPrompt shares nothing with others.
func ownPrompt(tokens int) *relay.Prompt {
	return prompt(relay.PromptPart{ID: fmt.Sprintf("own-%d", tokens), Tokens: tokens})
}

// busy says that a peer keeps a replica reading for a time.
func (d *directory) busy(replica string, reading time.Duration) {
	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: replica, Requests: 1, InTimeMicros: reading.Microseconds()}}, true)
}

func TestAPromptThatCanNotBeReadInTimeBecomesALateOne(t *testing.T) {
	d := newTaught(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	inTime := d.read(ownPrompt(20_000))
	assert.Zero(t, inTime.Rank(&traffic.Route{}))
	late := d.read(ownPrompt(20_001))
	assert.Equal(t, relay.LastRank, late.Rank(&traffic.Route{}), "half a second behind another half, of one")
	next := d.read(ownPrompt(4000))
	assert.Zero(t, next.Rank(&traffic.Route{}), "what is late is read after all others")
	inTime.Release()
	late.Release()
	next.Release()
	again := d.read(ownPrompt(20_002))
	assert.Zero(t, again.Rank(&traffic.Route{}))
	assert.Equal(t, 3, d.read(ownPrompt(10)).Rank(&traffic.Route{Priority: 3}))
}

// A reader ends what it has begun: a prompt in time that comes behind a late one waits for it.
func TestAPromptInTimeIsNotPlacedBehindALateOneThatHasBegun(t *testing.T) {
	d := newTaught(replica("a", region.StagePrefill), replica("b", region.StagePrefill), replica("g", region.StageDecode))
	late := d.read(ownPrompt(80_000))
	require.Equal(t, relay.LastRank, late.Rank(&traffic.Route{}), "two seconds of work, of one")
	for number := range 8 {
		short := d.read(prompt(relay.PromptPart{ID: fmt.Sprint("short-", number), Tokens: 400}))
		assert.NotEqual(t, late.Replica, short.Replica)
		short.Release()
	}
	late.Release()

	d.TakeOutstanding("peer", []region.OutstandingWork{{Replica: "a", Requests: 1, LateMicros: 2_000_000}}, true)
	assert.Equal(t, "b", d.read(ownPrompt(500)).Replica.ID, "a peer has told of one")
}

func TestALatePromptIsRefusedWhereThereIsNoRoom(t *testing.T) {
	request := readRequest(ownPrompt(20_000))
	t.Run("its caller will have left", func(t *testing.T) {
		d := newTaught(replica("r", region.StagePrefill), replica("g", region.StageDecode))
		d.busy("r", 12*time.Second)
		_, err := d.PlaceReading("s", request)
		require.Error(t, err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(failure.Wrap(err, failure.BackEndRefused)).Ran)
	})
	t.Run("half of the slots are taken", func(t *testing.T) {
		d := newTaught(replica("r", region.StagePrefill), replica("g", region.StageDecode))
		d.busy("r", 2*time.Second)
		_, err := d.PlaceReading("s", request)
		require.NoError(t, err, "1 of 4 is taken")
		_, err = d.PlaceReading("s", request)
		assert.Error(t, err)
	})
}

func TestTheEnginesTimesAreToldToPeers(t *testing.T) {
	taught := newTaught(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	costs := taught.Costs()
	require.Len(t, costs, 1)
	d := newDirectory(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	assert.Empty(t, d.Costs())
	d.TakeCosts(append(costs, region.EngineCost{Service: "unknown", Samples: 5, Token: 1}))
	late := readRequest(ownPrompt(2 * pace))
	lease, err := d.PlaceReading("s", late)
	require.NoError(t, err)
	assert.Equal(t, relay.LastRank, lease.Rank(&traffic.Route{}), "two seconds of work, of one")
	assert.Empty(t, d.Costs(), "what was heard is not told again")
}

func TestAGeneratorReadsAPromptOnlyIfItsStreamsHardlyNotice(t *testing.T) {
	asked := 0
	read := func(d *directory, tokens int, gap time.Duration) string {
		asked++
		request := readRequest(prompt(relay.PromptPart{ID: fmt.Sprintf("short-%d", asked), Tokens: tokens}))
		request.TargetGap = gap
		lease, err := d.PlaceReading("s", request)
		require.NoError(t, err)
		defer lease.Release()
		return lease.Replica.ID
	}
	d := newTaught(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	d.busy("r", 300*time.Millisecond)
	assert.Equal(t, "g", read(d, 200, 150*time.Millisecond), "the reader is busy")
	assert.Equal(t, "r", read(d, 200, 10*time.Millisecond), "a piece would hold streams up for too long")

	assert.Equal(t, "r", read(d, 2000, 150*time.Millisecond), "it is too long")

	stream := d.PickGenerator("s", relay.Wanted{}, "z")
	stream.StreamBegun("route", false)
	d.now += 140 * time.Millisecond
	stream.StreamWentOn()
	d.busy("r", 300*time.Millisecond)
	assert.Equal(t, "r", read(d, 200, 150*time.Millisecond), "its streams pause for long already")
	d.now += 5 * time.Second
	d.busy("r", 300*time.Millisecond)
	assert.Equal(t, "g", read(d, 200, 150*time.Millisecond), "that was long ago")
	d.busy("r", 0)
	assert.Equal(t, "r", read(d, 200, 150*time.Millisecond), "the reader is idle")
}

// What other gateways have placed at generators, and have not told of, shows in how long
// prompts take there.
func TestPromptsLeaveGeneratorsThatTakeLongerThanExpected(t *testing.T) {
	place := func(d *directory) *relay.Lease {
		request := readRequest(ownPrompt(200))
		request.TargetGap = 150 * time.Millisecond
		d.busy("r", 300*time.Millisecond)
		lease, err := d.PlaceReading("s", request)
		require.NoError(t, err)
		return lease
	}
	for _, off := range []bool{false, true} {
		d := newTaught(replica("r", region.StagePrefill), replica("g", region.StageDecode))
		d.SwitchOff(mechanism.Set{mechanism.Excess: off})
		slow := place(d)
		require.Equal(t, "g", slow.Replica.ID)
		d.now += 800 * time.Millisecond
		slow.PromptRead()
		slow.Release()
		next := place(d)
		assert.Equal(t, off, next.Replica.ID == "g")
	}
}

func TestMovesBetweenReplicasTakeTheirTime(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 8000}
	for _, test := range []struct {
		link  float64
		fetch string
	}{
		{0, "b:1"},
		{1e12, "b:1"},
		{1e8, ""},
	} {
		d := newTaught(replica("g", region.StageDecode), replica("a", region.StagePrefill), replica("b", region.StagePrefill))
		d.SetEngine("s", traffic.Engine{TokenBytes: 1000, LinkBitsPerSecond: test.link})
		d.LearnKept(region.Life{ID: "b"}, []relay.PromptPart{shared})
		d.busy("b", 900*time.Millisecond)
		lease := d.read(prompt(shared, relay.PromptPart{ID: "own", Tokens: 100}))
		require.Equal(t, "a", lease.Replica.ID)
		if test.fetch != "" {
			assert.Equal(t, test.fetch, lease.FetchFrom())
		}
	}
}

func TestStreamsAreSpreadOverTheGenerators(t *testing.T) {
	d := newDirectory(replica("a", region.StageDecode), replica("b", region.StageDecode), replica("c", region.StageDecode))
	counts := map[string]int{}
	for taken := 1; taken <= 6; taken++ {
		counts[d.PickGenerator("s", relay.Wanted{}, "z").Replica.ID]++
		if taken%3 == 0 {
			assert.Equal(t, map[string]int{"a": taken / 3, "b": taken / 3, "c": taken / 3}, counts)
		}
	}
}

func TestDemandForecastsStreamsFromTheirRateAndDuration(t *testing.T) {
	d := newDirectory(replica("g", region.StageDecode))
	d.SetEngine("s", traffic.Engine{SwitchTime: 3 * time.Second})
	var running []*relay.Lease
	// Ten streams a second, each for two seconds.
	for step := range 100 {
		d.now = time.Duration(step) * 100 * time.Millisecond
		lease := d.PickGenerator("s", relay.Wanted{}, "z")
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
	// No more come, and half have ended: in three seconds nearly all will have.
	for _, lease := range running[:10] {
		lease.Release()
	}
	d.now += 2 * time.Second
	assert.Less(t, d.Demand(topology.Map{})[0].Expected, 12.0)
}

// Symptom: after all processes had been restarted, prompts were expected to be read eight times as
// fast as they are, and a tenth of the callers had no answer for six seconds. Sequence: the replicas
// keep prompts from before, the processes don't know of them, prompts that count as wholly missing
// are answered at once. Cause: the engines' pace was learned from them.
func TestNoPaceIsLearnedFromWhatReplicasMayKeepFromBefore(t *testing.T) {
	d := newDirectory(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	read := func(id string) {
		lease := d.read(prompt(relay.PromptPart{ID: "shared-" + id, Tokens: 8000}, relay.PromptPart{ID: "own-" + id, Tokens: 400}))
		d.now += 10 * time.Millisecond
		lease.PromptRead()
		lease.Release()
	}
	for number := range 5 {
		read(fmt.Sprint(number))
	}
	assert.Empty(t, d.Costs())
	d.LearnKept(region.Life{ID: "r"}, nil)
	for number := range 5 {
		read(fmt.Sprint("kept-", number))
	}
	assert.NotEmpty(t, d.Costs(), "what it keeps is known now")
}
