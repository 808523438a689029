package relay_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// kindOfWork is a kind of request of a replayed load.
type kindOfWork struct {
	name                string
	rank, tokens        int
	tenant              uint64
	objective, deadline time.Duration
}

// route is a route of the most urgent rank.
var route = traffic.Route{}

var lightWork = kindOfWork{"light", 0, 1200, 0, 500 * time.Millisecond, 6 * time.Second}

var mixedWork = []kindOfWork{
	lightWork,
	{"middle", 1, 5000, 0, 600 * time.Millisecond, 4 * time.Second},
	{"heavy", 2, 11_000, 0, 800 * time.Millisecond, 6 * time.Second},
}

// meanTokens is the mean number of tokens of a prompt, if all kinds are equally frequent.
func meanTokens(kinds []kindOfWork) float64 {
	sum := 0
	for _, kind := range kinds {
		sum += kind.tokens
	}
	return float64(sum) / float64(len(kinds))
}

// replayed is a request of a replayed load.
type replayed struct {
	kindOfWork
	id            int
	first         time.Duration
	tries         int
	lease         *relay.Lease
	effectiveRank int
}

// replay simulates a load on prefill replicas that process one prompt at a time, in order of rank, and counts
// for each kind the requests that are prefilled within their objective.
type replay struct {
	*directory
	waiting   map[string][]*replayed
	reading   map[string]*replayed
	busyUntil map[string]time.Duration
	retries   map[time.Duration][]*replayed
	arrivals  map[string]int
	inTime    map[string]int
	served    map[string]int
	tokens    int
	// late counts the prompts prefilled after their objective, abandoned those whose callers left while they waited.
	late      int
	abandoned int
	// seed is the random seed of the arrivals.
	seed uint64
	// place leases a prefill replica for a request.
	place func(request relay.PrefillRequest) (*relay.Lease, error)
}

const replayStep = time.Millisecond

// play offers a load, as a multiple of the prefill capacity, for a time. It returns the tokens that were prefilled
// within their objective, as a share of what the replicas could have prefilled.
func (r *replay) play(replicas int, load float64, kinds []kindOfWork, length time.Duration) (goodput float64) {
	random := rand.New(rand.NewPCG(r.seed, 2))
	perStep := load * float64(replicas) * prefillRate * replayStep.Seconds() / meanTokens(kinds)
	end, id, good := r.now+length, 0, 0
	for r.now < end {
		for arrivals := perStep; arrivals > 0; arrivals-- {
			if random.Float64() < arrivals {
				id++
				kind := kinds[random.IntN(len(kinds))]
				r.arrivals[kind.name]++
				r.arrive(&replayed{kindOfWork: kind, id: id, first: r.now})
			}
		}
		for _, back := range r.retries[r.now] {
			r.arrive(back)
		}
		delete(r.retries, r.now)
		good += r.step(replicas)
		r.now += replayStep
	}
	return float64(good) / (float64(replicas) * prefillRate * length.Seconds())
}

// arrive places a request, or schedules its only retry.
func (r *replay) arrive(request *replayed) {
	request.tries++
	passed := r.now - request.first
	lease, err := r.place(relay.PrefillRequest{
		Prompt:    prompt(relay.PromptPart{ID: fmt.Sprint("replayed-", request.id), Tokens: request.tokens}),
		Objective: request.objective, ObjectiveLeft: request.objective - passed, Left: request.deadline - passed, Rank: request.rank, Tenant: request.tenant,
	})
	if err != nil {
		back := r.now + 150*time.Millisecond
		if request.tries == 1 {
			r.retries[back] = append(r.retries[back], request)
		}
		return
	}
	request.lease = lease
	request.effectiveRank = lease.Rank(&route)
	if request.effectiveRank != relay.LastRank {
		request.effectiveRank = request.rank
	}
	r.waiting[lease.Replica.ID] = append(r.waiting[lease.Replica.ID], request)
}

// step advances the prefill replicas by one step, and returns the tokens that were prefilled on time.
func (r *replay) step(replicas int) (good int) {
	for number := range replicas {
		id := fmt.Sprint("r", number)
		if done := r.reading[id]; done != nil && r.now >= r.busyUntil[id] {
			done.lease.PrefillDone()
			done.lease.Release()
			delete(r.reading, id)
			r.served[done.name]++
			r.tokens += done.tokens
			if r.now-done.first <= done.objective {
				good += done.tokens
				r.inTime[done.name]++
			} else {
				r.late++
			}
		}
		r.waiting[id] = slices.DeleteFunc(r.waiting[id], func(waits *replayed) bool {
			abandoned := r.now-waits.first > waits.deadline
			if abandoned {
				r.abandoned++
				waits.lease.Release()
			}
			return abandoned
		})
		if r.reading[id] != nil || len(r.waiting[id]) == 0 {
			continue
		}
		next := slices.MinFunc(r.waiting[id], func(a, b *replayed) int {
			return (a.effectiveRank-b.effectiveRank)*1_000_000 + (a.id - b.id)
		})
		r.waiting[id] = slices.DeleteFunc(r.waiting[id], func(each *replayed) bool { return each == next })
		r.reading[id] = next
		r.busyUntil[id] = r.now + time.Duration(next.tokens)*time.Second/prefillRate
	}
	return good
}

func newReplay(replicas int) *replay {
	list := []region.Replica{{ID: "g", Service: "s", Address: "g:1", Zone: "z", Slots: 4000, Stage: region.StageDecode}}
	for number := range replicas {
		list = append(list, region.Replica{
			ID: fmt.Sprint("r", number), Service: "s", Address: fmt.Sprint("r:", number), Zone: "z", Slots: 64, Stage: region.StagePrefill,
		})
	}
	r := &replay{
		seed:      1,
		directory: newDirectoryWithKnownCosts(list...),
		waiting:   map[string][]*replayed{}, reading: map[string]*replayed{}, busyUntil: map[string]time.Duration{},
		retries: map[time.Duration][]*replayed{}, arrivals: map[string]int{}, inTime: map[string]int{}, served: map[string]int{},
	}
	r.place = func(request relay.PrefillRequest) (*relay.Lease, error) { return r.PlacePrefill("s", request) }
	return r
}

// Guards against two faults beyond capacity. Late prompts were accepted if they would be prefilled before their
// callers left, provided that no other prompt arrived. Others did arrive: late prompts took up the replicas' time or
// were abandoned, and on-time prompts had to wait for a late one already started. Light, urgent prompts, which need
// little prefill, were classified as late behind heavy prompts that are processed after them.
func TestGoodputAndLightWorkHoldBeyondCapacity(t *testing.T) {
	const replicas = 12
	most := 0.0
	for _, load := range []float64{1, 1.5, 2, 3} {
		r := newReplay(replicas)
		goodput := r.play(replicas, load, mixedWork, 12*time.Second)
		light := float64(r.inTime["light"]) / float64(r.arrivals["light"])
		t.Logf("load %.1f: goodput %.3f, light %.3f, middle %.3f, heavy %.3f, late %d, abandoned %d", load, goodput, light,
			float64(r.inTime["middle"])/float64(r.arrivals["middle"]), float64(r.inTime["heavy"])/float64(r.arrivals["heavy"]), r.late, r.abandoned)
		most = max(most, goodput)
		assert.Greater(t, goodput, most-0.05, "goodput falls at %.1f of the capacity", load)
		assert.Greater(t, light, 0.9, "light work at %.1f of the capacity", load)
	}
}

// Guards against a light, urgent prompt being classified as late behind heavy prompts, although it is prefilled
// before them.
func TestPromptIsNotLateBecauseOfLaterRanks(t *testing.T) {
	d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	for number := range 8 {
		heavy := newPrefillRequest(prompt(relay.PromptPart{ID: fmt.Sprint("heavy-", number), Tokens: prefillRate / 10}))
		heavy.Rank = 2
		_, err := d.PlacePrefill("s", heavy)
		require.NoError(t, err)
	}
	light := newPrefillRequest(ownPrompt(500))
	light.Objective, light.ObjectiveLeft = 500*time.Millisecond, 500*time.Millisecond
	lease, err := d.PlacePrefill("s", light)
	require.NoError(t, err)
	assert.Zero(t, lease.Rank(&route), "0.8 s of prefill of later ranks, with an objective of 0.5 s")
}

// Guards against late prompts being accepted if they would be prefilled before their callers left, provided that no
// other prompt arrived: others did arrive, and the callers of late ones left.
func TestLatePromptIsRejectedUnderSteadyOnTimeWork(t *testing.T) {
	d := newDirectoryWithKnownCosts(replica("r", region.StagePrefill), replica("g", region.StageDecode))
	late := func() error {
		lease, err := d.PlacePrefill("s", newPrefillRequest(ownPrompt(3*prefillRate/2)))
		if err == nil {
			lease.Release()
		}
		return err
	}
	require.NoError(t, late(), "1.5 s of prefill on an idle replica, with an objective of 1 s")
	next := func(number int) *relay.Lease {
		return d.placePrefill(prompt(relay.PromptPart{ID: fmt.Sprint("in-time-", number), Tokens: prefillRate / 10}))
	}
	reads := next(0)
	for number := range 40 {
		waits := next(number + 1)
		assert.Zero(t, waits.Rank(&route))
		d.now += 100 * time.Millisecond
		reads.PrefillDone()
		reads.Release()
		reads = waits
	}
	assert.Error(t, late())
	reads.Release()
	d.now += 10 * time.Second
	assert.NoError(t, late(), "no more on-time prompts arrive")
}

// Guards against rejecting prompts that no replica can prefill within their objective although some replicas are
// idle: the time that on-time work leaves was computed as if these prompts had to wait for that work.
func TestLatePromptBeginsAtAnIdlePrefillReplica(t *testing.T) {
	list := []region.Replica{replica("g", region.StageDecode)}
	for number := range 8 {
		list = append(list, replica(fmt.Sprint("r", number), region.StagePrefill))
	}
	d := newDirectoryWithKnownCosts(list...)
	keepBusy := func(count int) {
		for number := range 8 {
			reading := 50 * time.Millisecond
			if number >= count {
				reading = 0
			}
			d.TakeOutstanding(fmt.Sprint("peer-", number), []region.OutstandingWork{{
				Replica: fmt.Sprint("r", number), Requests: 1, InTimeMicros: reading.Microseconds(),
			}}, true)
		}
	}
	late := func(id string) error {
		lease, err := d.PlacePrefill("s", newPrefillRequest(prompt(relay.PromptPart{ID: id, Tokens: 2 * prefillRate})))
		if err == nil {
			assert.Equal(t, relay.LastRank, lease.Rank(&route))
		}
		return err
	}
	for range 80 {
		keepBusy(5)
		d.now += 100 * time.Millisecond
		d.placePrefill(prompt(relay.PromptPart{ID: "short", Tokens: 1})).Release()
	}
	require.NoError(t, late("first"), "3 of 8 are idle")
	assert.Error(t, late("second"), "the others are left to on-time prompts")
}

// One tenant sends far more than the others. When rejections and capacity were spread evenly over all requests, the
// other tenants were rejected as often as that one.
func TestHeavyTenantDoesNotDisplaceOthers(t *testing.T) {
	const replicas, others = 12, 6
	var kinds []kindOfWork
	for number := range 60 {
		kind := kindOfWork{"hot", 1, 5000, 1, 600 * time.Millisecond, 4 * time.Second}
		if number < others {
			kind.name, kind.tenant = "others", uint64(number+2)
		}
		kinds = append(kinds, kind)
	}
	r := newReplay(replicas)
	goodput := r.play(replicas, 2, kinds, 12*time.Second)
	share := float64(r.inTime["others"]) / float64(r.arrivals["others"])
	t.Logf("goodput %.3f, others %.3f, hot %.3f", goodput, share, float64(r.inTime["hot"])/float64(r.arrivals["hot"]))
	assert.Greater(t, share, 0.9)
	assert.Greater(t, goodput, 0.85)
}

// sizedWork is work of one rank whose sizes span two decades in 20 steps; the last two steps are the largest tenth. Its
// callers leave after four objectives.
func sizedWork() []kindOfWork {
	kinds := make([]kindOfWork, 20)
	for step := range kinds {
		tokens := int(600 * math.Pow(100, float64(step)/19))
		kinds[step] = kindOfWork{fmt.Sprintf("size-%02d", step), 1, tokens, 0, 600 * time.Millisecond, 2400 * time.Millisecond}
	}
	return kinds
}

// Guards against serving large prompts far less often than others: of the largest tenth of the requests 0.35 were served, of
// all 0.81. When more prompts arrive than the replicas can prefill, those whose prefill alone takes longer than the objective
// are late at every replica, and late prompts are only accepted while hardly any others arrive. So a prompt's size decided
// whether it was served at all, and not only how much time it needs.
func TestLargestPromptsAreServedLikeOthers(t *testing.T) {
	const replicas = 12
	for _, load := range []float64{0.7, 1, 1.5, 3} {
		r := newReplay(replicas)
		goodput := r.play(replicas, load, sizedWork(), 20*time.Second)
		rate, next, largest := r.servedBySize()
		read := float64(r.tokens) / (replicas * prefillRate * 20)
		t.Logf("load %.1f: goodput %.3f, read %.3f, served %.3f, largest tenth %.3f, next fifth %.3f, late %d, abandoned %d", load, goodput, read, rate, largest, next, r.late, r.abandoned)
		assert.Greater(t, largest, rate/2, "the largest tenth at %.1f of the capacity", load)
		assert.Greater(t, next, rate/2, "the fifth below it at %.1f of the capacity", load)
	}
}

// servedBySize returns the shares that were served of all requests of sizedWork, of the fifth below the largest tenth,
// and of that tenth.
func (r *replay) servedBySize() (all, next, largest float64) {
	of := func(from, to int) float64 {
		served, arrived := 0, 0
		for step := from; step < to; step++ {
			name := fmt.Sprintf("size-%02d", step)
			served += r.served[name]
			arrived += r.arrivals[name]
		}
		return float64(served) / float64(arrived)
	}
	return of(0, 20), of(14, 18), of(18, 20)
}
