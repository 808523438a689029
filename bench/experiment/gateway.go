package experiment

import (
	"strconv"
	"time"

	"github.com/pierhaven/pierhaven/bench/engine/core"
	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// gateway runs the product's cores for one gateway.
type gateway struct {
	world   *world
	zone    *zone
	id      string
	chooser chooser
	router  *routing.Router
	queue   *admission.Queue
	retrier *retry.Retrier
	// reviewAt is the time of the review that is scheduled, 0 for none.
	reviewAt time.Duration
	demand   demandCounter
	lengths  *admission.AnswerLengthEstimator
	pumping  bool
}

// demandCounter counts between heartbeats.
type demandCounter struct {
	since                time.Duration
	requests             int
	promptTokens, output int
	missed               int
}

func newGateway(owner *zone, index int) *gateway {
	w := owner.world
	id := "z" + strconv.Itoa(owner.index) + "-g" + strconv.Itoa(index)
	options := w.setup.Routing
	options.GatewayID = id
	router := routing.New(options, w.random)
	return &gateway{
		world:   w,
		zone:    owner,
		id:      id,
		router:  router,
		chooser: newChooser(w.setup.Chooser, router),
		queue:   admission.NewQueue(w.setup.Admission),
		lengths: admission.NewAnswerLengthEstimator(),
		retrier: retry.New(w.setup.Retry, w.random),
	}
}

// arrive takes a request in.
func (g *gateway) arrive(arrived *call, spilled bool) {
	if g.zone.lost {
		g.world.refuse(arrived)
		return
	}
	if !spilled {
		g.retrier.Request(g.world.now)
		g.demand.requests++
		g.demand.promptTokens += arrived.request.PromptTokens
		g.demand.output += g.lengths.Expected(arrived.request.OutputTokens)
	}
	arrived.spilled = spilled
	if !g.world.setup.Queueing {
		if !g.dispatchNow(arrived) {
			g.giveUp(arrived)
		}
		return
	}
	if refusal := g.queue.Offer(g.world.now, g.item(arrived)); refusal != nil {
		g.spillOrRefuse(arrived)
		return
	}
	g.pump()
}

func (g *gateway) item(arrived *call) *admission.Item {
	tenant := g.world.deployment.Tenants[arrived.request.Tenant]
	deadline := arrived.arrivedAt + g.world.deployment.Objectives.FirstToken - 2*g.world.deployment.ClientLatency
	item := &admission.Item{
		ID:              strconv.Itoa(arrived.request.ID),
		Tenant:          tenant.Name,
		Weight:          tenant.Weight,
		Priority:        g.world.setup.priority(tenant),
		Rank:            -deadline.Seconds(),
		Cost:            float64(arrived.request.PromptTokens + arrived.request.OutputTokens),
		FirstReceivedAt: arrived.arrivedAt,
		Value:           arrived,
	}
	if g.world.setup.EarlyRefusal {
		item.Deadline = deadline
		item.Service = g.service(arrived)
	}
	return item
}

// service is the predicted first-token time on an idle engine.
func (g *gateway) service(arrived *call) time.Duration {
	return g.router.IdleFirstToken(g.route(arrived))
}

func (g *gateway) route(routed *call) routing.Request {
	return routing.Request{
		Model:        g.world.deployment.Model,
		PromptTokens: routed.request.PromptTokens + routed.offset,
		OutputTokens: max(1, g.lengths.Expected(routed.request.OutputTokens)-routed.offset),
		Blocks:       routed.request.Blocks,
		Exclude:      routed.excluded,
		Objectives:   g.world.deployment.Objectives,
		Waited:       g.world.now - routed.arrivedAt,
	}
}

// pump dispatches what the engines have room for.
func (g *gateway) pump() {
	if g.pumping {
		return
	}
	g.pumping = true
	defer func() { g.pumping = false }()
	for g.queue.Next(g.world.now, func(item *admission.Item) bool { return g.tryDispatch(item.Value.(*call)) }) != nil {
		continue
	}
	g.expire()
	g.scheduleReview()
}

func (g *gateway) expire() {
	for _, refused := range g.queue.Expire(g.world.now) {
		g.spillOrRefuse(refused.Item.Value.(*call))
	}
}

func (g *gateway) scheduleReview() {
	at, ok := g.queue.NextReview()
	if !ok || (g.reviewAt > g.world.now && g.reviewAt <= at) {
		return
	}
	g.reviewAt = at
	g.world.after(max(0, at-g.world.now), g.pump)
}

// tryDispatch dispatches unless the engines have no room.
func (g *gateway) tryDispatch(waiting *call) bool {
	choice, miss := g.chooser.choose(g.world.now, g.route(waiting))
	if miss != routing.EngineFound || choice.Saturated {
		return false
	}
	g.dispatch(waiting, choice)
	return true
}

// dispatchNow dispatches however full the engines are.
func (g *gateway) dispatchNow(waiting *call) bool {
	choice, miss := g.chooser.choose(g.world.now, g.route(waiting))
	if miss != routing.EngineFound {
		return false
	}
	g.dispatch(waiting, choice)
	return true
}

func (g *gateway) dispatch(sent *call, choice routing.Choice) {
	now := g.world.now
	sent.startedAt = now
	sent.attemptID = sent.nextAttempt()
	sent.servingAt = g.world.engine(choice.Serving.ID)
	sent.prefillAt = nil
	if choice.Prefill != nil {
		sent.prefillID = sent.attemptID + "p"
		sent.prefillAt = g.world.engine(choice.Prefill.ID)
	}
	g.router.ChoiceDispatched(now, choice, g.route(sent), sent.attemptID, sent.prefillID)
	if sent.prefillAt != nil {
		sent.prefillAt.submit(core.ModePrefill, g.generateRequest(sent, sent.prefillID, nil), sent.prompt(), &stream{gateway: g, call: sent})
		return
	}
	sent.servingAt.submit(core.ModeGenerate, g.generateRequest(sent, sent.attemptID, nil), sent.prompt(), &stream{gateway: g, call: sent})
}

func (g *gateway) generateRequest(sent *call, attemptID string, kv *engineapi.KVSource) engineapi.GenerateRequest {
	return engineapi.GenerateRequest{
		AttemptID:    attemptID,
		Model:        g.world.deployment.Model,
		MaxTokens:    sent.request.OutputTokens,
		Priority:     g.world.setup.priority(g.world.deployment.Tenants[sent.request.Tenant]),
		ResumeOffset: sent.offset,
		KV:           kv,
	}
}

// prompt describes the prompt to the engine core.
func (c *call) prompt() core.Prompt {
	return core.Prompt{Tokens: c.request.PromptTokens, Blocks: c.request.Blocks, Identity: uint64(c.request.ID)}
}

// spillOrRefuse hands a request to a neighbouring zone, in one hop, or refuses it.
func (g *gateway) spillOrRefuse(given *call) {
	if target := g.spillTarget(given); target != nil {
		latency := g.world.deployment.ZoneLatency
		g.world.after(latency, func() { target.arrive(given, true) })
		return
	}
	g.giveUp(given)
}

// giveUp gives the final answer at once.
func (g *gateway) giveUp(given *call) {
	g.demand.missed++
	g.world.refuse(given)
}

// refuse brings a final refusal to the caller.
func (w *world) refuse(given *call) {
	if given.done {
		return
	}
	given.done = true
	w.after(w.deployment.ClientLatency, func() {
		given.outcome.Refused = true
		given.outcome.RefusedAfter = w.now - given.request.At
	})
}

// spillTarget picks a gateway of another zone that has room, nil if none.
func (g *gateway) spillTarget(given *call) *gateway {
	if !g.world.setup.Spill || given.spilled || given.offset > 0 || g.zone.cut {
		return nil
	}
	zones := g.world.zones
	start := g.world.random.IntN(len(zones))
	for offset := range zones {
		other := zones[(start+offset)%len(zones)]
		if other == g.zone || other.cut || other.lost || !other.hasRoom {
			continue
		}
		return other.gateways[g.world.random.IntN(len(other.gateways))]
	}
	return nil
}

// heartbeat returns the demand since the last one.
func (g *gateway) heartbeat() planner.Demand {
	now := g.world.now
	span := max((now - g.demand.since).Seconds(), 1e-3)
	counted := g.demand
	g.demand = demandCounter{since: now}
	return planner.Demand{
		Model:        g.world.deployment.Model,
		Requests:     float64(counted.requests) / span,
		PromptTokens: float64(counted.promptTokens) / span,
		OutputTokens: float64(counted.output) / span,
		Queued:       g.queue.Len(),
		OldestWait:   g.queue.OldestWait(now),
		Missed:       float64(counted.missed) / span,
	}
}
