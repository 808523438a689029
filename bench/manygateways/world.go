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
	// Coordinators are asked by the gateways; with 0 these choose by themselves.
	Coordinators int
	Seed         uint64
	// Silence is when the first coordinator falls silent for silenceTime; 0 for never.
	Silence time.Duration
}

// Result counts the requests of a run.
type Result struct {
	Options
	Asked, InTime, Late, Refused, Failed int
	// Busiest is the time that the busiest reader has read, against the mean.
	Busiest float64
	// Events is a hash of what happened to the requests, when and where: equal for equal options.
	Events uint64
}

// Goodput is the share of the requests that were answered within their objective.
func (r Result) Goodput() float64 { return float64(r.InTime) / float64(max(r.Asked, 1)) }

// The load: prompts of which eight in nine tokens are shared, so that their place matters. The
// readers are busy for half of the time if each shared part is read once and kept.
const (
	service        = "model"
	readers        = 24
	generators     = 8
	slots          = 64
	cacheTokens    = 400_000
	things         = 400
	sharedTokens   = 8000
	ownTokens      = 1000
	tokensPerS     = 37_000
	requestsPerS   = 280
	runTime        = 20 * time.Second
	objective      = time.Second
	callerWait     = 4 * time.Second
	targetGap      = 300 * time.Millisecond
	moveTime       = 5 * time.Millisecond
	firstEventTime = 10 * time.Millisecond
	streamTime     = 100 * time.Millisecond
	silenceTime    = 3 * time.Second
)

// firstProcessStream parts the processes' random numbers from those of the load.
const firstProcessStream = 1 << 32

// world is one run.
type world struct {
	options Options
	queue   virtualtime.Queue
	now     time.Duration
	// random draws the load, spread the gateways that it comes to, so that any number of
	// gateways gets the same load.
	random *rand.Rand
	spread *rand.Rand
	events *xxhash.Digest
	// processes counts the processes that choose; each draws numbers of its own.
	processes uint64
	replicas  []region.Replica
	readers   map[string]*reader
	gateways  []*gateway
	deciders  []*decider
	result    Result
}

// gateway is one process that takes callers' requests.
type gateway struct {
	name      string
	directory *relay.Directory
	placer    *relay.Placer
	// told is the last placement that peers have been told of.
	told uint64
}

// Run plays the load.
func Run(options Options) Result {
	w := &world{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		spread:  rand.New(rand.NewPCG(options.Seed, 1)),
		events:  xxhash.New(),
		readers: map[string]*reader{},
		result:  Result{Options: options},
	}
	w.build()
	w.queue.Add(0, w.arrive)
	w.queue.Add(0, w.tellPeers)
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
	for number := range readers {
		id := fmt.Sprint("reader-", number)
		w.replicas = append(w.replicas, region.Replica{ID: id, Service: service, Address: id, Zone: "zone", Slots: slots, Stage: region.StagePrefill})
		w.readers[id] = &reader{world: w, kept: keptParts{tokens: map[string]int{}}}
	}
	for number := range generators {
		id := fmt.Sprint("generator-", number)
		w.replicas = append(w.replicas, region.Replica{ID: id, Service: service, Address: id, Zone: "zone", Slots: slots, Stage: region.StageDecode})
	}
	for number := range w.options.Coordinators {
		w.deciders = append(w.deciders, newDecider(w, number))
	}
	for number := range w.options.Gateways {
		created := &gateway{name: fmt.Sprint("gateway-", number), directory: w.newDirectory()}
		created.placer = &relay.Placer{Directory: created.directory}
		if len(w.deciders) > 0 {
			created.placer.Remote = w.deciders[number%len(w.deciders)].remoteFor(created)
		}
		w.gateways = append(w.gateways, created)
	}
}

// note adds what happened to a request to the hash of events.
func (w *world) note(what string, lease *relay.Lease) {
	place := ""
	if lease != nil {
		place = lease.Replica.ID
	}
	_, _ = fmt.Fprintln(w.events, w.now, what, place)
}

// newDirectory is the knowledge of one process.
func (w *world) newDirectory() *relay.Directory {
	created := relay.NewDirectory(func() time.Duration { return w.now }, "zone", func(string, string) {}, logr.Discard())
	w.processes++
	created.SetRandom(rand.New(rand.NewPCG(w.options.Seed, firstProcessStream+w.processes)).Float64)
	created.SetEngine(service, traffic.Engine{CacheTokens: cacheTokens})
	created.Replace(w.replicas)
	return created
}

// arrive has a request come to a gateway, and sets the next one.
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
			{ID: fmt.Sprint("shared-", w.random.IntN(things)), Tokens: sharedTokens},
			{ID: fmt.Sprint("own-", w.result.Asked), Tokens: ownTokens},
		}},
	}
	arrived.begin()
}

// busiest is the time that the busiest reader has read, against the mean.
func (w *world) busiest() float64 {
	var most, sum time.Duration
	for _, each := range w.readers {
		most = max(most, each.spent)
		sum += each.spent
	}
	return float64(most) * readers / float64(max(sum, 1))
}

// call is one request.
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
		c.world.note("refused", nil)
		return
	}
	c.lease = lease
	c.world.note("placed", lease)
	if read, found := c.world.readers[lease.Replica.ID]; found {
		read.add(c)
		return
	}
	// The generator reads the prompt itself, at half of the pace.
	c.world.queue.Add(c.world.now+2*readTime(c.prompt.Tokens), c.generate)
}

// read goes on with a prompt that a reader has read.
func (c *call) read() {
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
		w.note("begun", c.lease)
		if w.now-c.arrived <= objective {
			w.result.InTime++
		} else {
			w.result.Late++
		}
	})
	w.queue.Add(w.now+firstEventTime+streamTime, c.lease.Release)
}

// giveUp ends a call whose caller has left before its prompt was read.
func (c *call) giveUp() {
	c.world.note("given up", c.lease)
	c.lease.Release()
	c.world.result.Failed++
}
