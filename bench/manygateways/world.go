package manygateways

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/bench/virtualtime"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Options describe a run.
type Options struct {
	Gateways int
	// Coordinators is the number of coordinators that place requests; with 0, gateways place them themselves.
	Coordinators int
	Seed         uint64
	// Silence is when the first coordinator stops answering for silenceTime; 0 for never.
	Silence time.Duration
}

// Result counts the requests of a run.
type Result struct {
	Options
	Asked, InTime, Late, Refused, Failed int
	// Busiest is the busy time of the busiest prefill replica, as a multiple of the mean.
	Busiest float64
	// Events is a hash of all events of requests, with time and replica: equal for equal options.
	Events uint64
}

// Goodput returns the share of the requests that were answered within their objective.
func (r Result) Goodput() float64 { return float64(r.InTime) / float64(max(r.Asked, 1)) }

// The load consists of prompts of which eight in nine tokens are shared, so that it matters where they are placed. The
// prefill replicas are busy for half of the time if each shared prefix is prefilled once and stays cached.
const (
	service         = "model"
	prefillReplicas = 24
	decodeReplicas  = 8
	slots           = 64
	cacheTokens     = 400_000
	sharedPrefixes  = 400
	sharedTokens    = 8000
	ownTokens       = 1000
	tokensPerS      = 37_000
	requestsPerS    = 280
	runTime         = 20 * time.Second
	objective       = time.Second
	callerWait      = 4 * time.Second
	targetGap       = 300 * time.Millisecond
	transferTime    = 5 * time.Millisecond
	firstEventTime  = 10 * time.Millisecond
	streamTime      = 100 * time.Millisecond
	silenceTime     = 3 * time.Second
)

// firstProcessStream separates the random streams of the processes from those of the load.
const firstProcessStream = 1 << 32

// world is the state of one run.
type world struct {
	options Options
	queue   virtualtime.Queue
	now     time.Duration
	// random draws the load, and spread the gateways that receive it, so that the load does not depend on the number
	// of gateways.
	random *rand.Rand
	spread *rand.Rand
	events *xxhash.Digest
	// processes counts the processes that place requests; each has a random stream of its own.
	processes    uint64
	replicas     []region.Replica
	prefillers   map[string]*prefillReplica
	gateways     []*gateway
	coordinators []*coordinator
	result       Result
}

// gateway models a gateway.
type gateway struct {
	placing
	placer *relay.Placer
}

// Run simulates the load.
func Run(options Options) Result {
	w := &world{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		spread:     rand.New(rand.NewPCG(options.Seed, 1)),
		events:     xxhash.New(),
		prefillers: map[string]*prefillReplica{},
		result:     Result{Options: options},
	}
	w.build()
	w.queue.Add(0, w.arrive)
	w.queue.Add(0, w.exchangeReports)
	for {
		next, found := w.queue.Take(runTime + callerWait)
		if !found {
			break
		}
		w.now = next.At
		next.Run()
	}
	w.result.Busiest = w.busiest()
	w.result.Events = w.events.Sum64()
	return w.result
}

func (w *world) build() {
	for number := range prefillReplicas {
		id := fmt.Sprint("reader-", number)
		w.replicas = append(w.replicas, region.Replica{ID: id, Service: service, Address: id, Zone: "zone", Slots: slots, Stage: region.StagePrefill})
		w.prefillers[id] = &prefillReplica{world: w, cache: prefixCache{tokens: map[string]int{}}}
	}
	for number := range decodeReplicas {
		id := fmt.Sprint("generator-", number)
		w.replicas = append(w.replicas, region.Replica{ID: id, Service: service, Address: id, Zone: "zone", Slots: slots, Stage: region.StageDecode})
	}
	for number := range w.options.Coordinators {
		w.coordinators = append(w.coordinators, newCoordinator(w, number))
	}
	for number := range w.options.Gateways {
		created := &gateway{placing: w.newPlacing(fmt.Sprint("gateway-", number))}
		created.placer = &relay.Placer{Directory: created.directory}
		if len(w.coordinators) > 0 {
			created.placer.Remote = w.coordinators[number%len(w.coordinators)].remoteFor(created)
		}
		w.gateways = append(w.gateways, created)
	}
}

// record adds an event of a request to the hash of events.
func (w *world) record(what string, lease *relay.Lease) {
	place := ""
	if lease != nil {
		place = lease.Replica.ID
	}
	_, _ = fmt.Fprintln(w.events, w.now, what, place)
}

// newDirectory returns the directory of one process.
func (w *world) newDirectory() *relay.Directory {
	created := relay.NewDirectory(func() time.Duration { return w.now }, "zone", func(string, string) {}, logr.Discard())
	w.processes++
	created.SetRandom(rand.New(rand.NewPCG(w.options.Seed, firstProcessStream+w.processes)).Float64)
	created.SetEngine(service, traffic.Engine{CacheTokens: cacheTokens})
	created.Replace(w.replicas)
	return created
}

// arrive starts a request at a gateway, and schedules the next one.
func (w *world) arrive() {
	if w.now >= runTime {
		return
	}
	w.queue.Add(w.now+time.Duration(w.random.ExpFloat64()*float64(time.Second)/requestsPerS), w.arrive)
	w.result.Asked++
	arrived := &call{
		world:   w,
		gateway: w.gateways[w.spread.IntN(len(w.gateways))],
		arrived: w.now,
		prompt: &relay.Prompt{Tokens: sharedTokens + ownTokens, Parts: []relay.PromptPart{
			{ID: fmt.Sprint("shared-", w.random.IntN(sharedPrefixes)), Tokens: sharedTokens},
			{ID: fmt.Sprint("own-", w.result.Asked), Tokens: ownTokens},
		}},
	}
	arrived.begin()
}

// busiest returns Result.Busiest.
func (w *world) busiest() float64 {
	var most, sum time.Duration
	for _, each := range w.prefillers {
		most = max(most, each.busyTime)
		sum += each.busyTime
	}
	return float64(most) * prefillReplicas / float64(max(sum, 1))
}

// call is one request of a caller.
type call struct {
	world   *world
	gateway *gateway
	arrived time.Duration
	prompt  *relay.Prompt
	lease   *relay.Lease
}

func (c *call) request() relay.PrefillRequest {
	passed := c.world.now - c.arrived
	return relay.PrefillRequest{
		Prompt: c.prompt, Objective: objective, TargetTokenGap: targetGap,
		ObjectiveLeft: objective - passed, Left: callerWait - passed, Zone: "zone",
	}
}

func (c *call) begin() {
	lease, err := c.gateway.placer.PlacePrefill(context.Background(), service, c.request())
	if err != nil {
		c.world.result.Refused++
		c.world.record("refused", nil)
		return
	}
	c.lease = lease
	c.world.record("placed", lease)
	if prefiller, found := c.world.prefillers[lease.Replica.ID]; found {
		prefiller.add(c)
		return
	}
	// A decode replica prefills the prompt itself, at half of the rate.
	c.world.queue.Add(c.world.now+2*prefillTime(c.prompt.Tokens), c.generate)
}

// prefilled continues the call after the prefill of its prompt.
func (c *call) prefilled() {
	c.lease.Answered(false, nil)
	c.lease.PrefillDone()
	c.lease.PromptCached(c.prompt)
	c.lease.Release()
	c.lease = c.gateway.placer.PlaceDecode(context.Background(), service, c.request(), "zone")
	c.generate()
}

func (c *call) generate() {
	w := c.world
	w.queue.Add(w.now+firstEventTime, func() {
		c.lease.StreamBegun("route", true)
		w.record("begun", c.lease)
		if w.now-c.arrived <= objective {
			w.result.InTime++
		} else {
			w.result.Late++
		}
	})
	w.queue.Add(w.now+firstEventTime+streamTime, c.lease.Release)
}

// abandon ends a call whose caller has left before its prompt was prefilled.
func (c *call) abandon() {
	c.world.record("given up", c.lease)
	c.lease.Release()
	c.world.result.Failed++
}
