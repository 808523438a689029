package policycheck

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
)

const (
	// replayStep is the interval between planner decisions.
	replayStep = time.Second
	// roleChangeDuration is the time for which an engine doesn't serve during any
	// change that the planner makes to it.
	roleChangeDuration = 8 * time.Second
)

// RoleChanges are the changes that the planner would have proposed in a fluid
// model of the zones: demand flows in as recorded in the trace and out at the
// goodput that the planner expects of the split. Engines have the speed of the
// planner's prior, so the figures compare policies but don't predict performance.
type RoleChanges struct {
	Changes []RoleChange `json:"changes"`
	// Served is the number of requests that flow out within their objectives;
	// Offered is the number of requests that flow in. Batch items count in
	// neither: they use the capacity that the other requests leave.
	Served  float64 `json:"served"`
	Offered float64 `json:"offered"`
}

// RoleChange is one change of an engine's role or model in the replay.
type RoleChange struct {
	// AtMillis is the time since the start of the trace.
	AtMillis int64  `json:"at_ms"`
	Zone     string `json:"zone"`
	Engine   string `json:"engine"`
	From     string `json:"from"`
	To       string `json:"to"`
	// ToModel is set if the engine moves to another model.
	ToModel string `json:"to_model,omitempty"`
}

func replayRoleChanges(trace Trace, settings ReplaySettings, policies *policy.Set) RoleChanges {
	result := RoleChanges{Changes: []RoleChange{}}
	for index := range settings.Zones {
		replay := newZoneReplay(&settings.Zones[index], settings, policies)
		calls := callsOf(trace, replay.zone.Name)
		for now := replayStep; now <= trace.Duration+replayStep; now += replayStep {
			calls = replay.step(now, calls)
		}
		result.Changes = append(result.Changes, replay.changes...)
		result.Served += replay.served
		result.Offered += replay.offered
	}
	return result
}

func callsOf(trace Trace, zone string) []Call {
	var calls []Call
	for _, call := range trace.Calls {
		if call.Zone == zone {
			calls = append(calls, call)
		}
	}
	return calls
}

// zoneReplay is the fluid model of one zone with its planner.
type zoneReplay struct {
	zone     *Zone
	settings ReplaySettings
	policies *policy.Set
	planner  *planner.Planner
	engines  []planner.EngineStatus
	// servingAgainAt is the time at which each changing engine serves again.
	servingAgainAt map[string]time.Duration
	// backlog is the number of waiting requests by model; batchBacklog is the
	// number of batch items, for which no caller waits.
	backlog, batchBacklog map[string]float64
	changes               []RoleChange
	served, offered       float64
}

func newZoneReplay(zone *Zone, settings ReplaySettings, policies *policy.Set) *zoneReplay {
	return &zoneReplay{
		zone:           zone,
		settings:       settings,
		policies:       policies,
		planner:        planner.New(planner.DefaultOptions()),
		engines:        zone.engineStatuses(),
		servingAgainAt: map[string]time.Duration{},
		backlog:        map[string]float64{},
		batchBacklog:   map[string]float64{},
	}
}

// step simulates one interval that ends at now: it processes the calls that have
// arrived and runs the planner. It returns the calls that arrive later.
func (r *zoneReplay) step(now time.Duration, calls []Call) []Call {
	arrived := 0
	for arrived < len(calls) && calls[arrived].Arrival < now {
		arrived++
	}
	r.completeChanges(now)
	demand := r.flow(calls[:arrived])
	r.decide(now, demand)
	return calls[arrived:]
}

func (r *zoneReplay) completeChanges(now time.Duration) {
	for index := range r.engines {
		engine := &r.engines[index]
		if end, changing := r.servingAgainAt[engine.ID]; changing && now >= end {
			engine.Observed, engine.Phase, engine.Draining = engine.Desired, engineapi.PhaseServing, false
			delete(r.servingAgainAt, engine.ID)
		}
	}
}

// flow moves the requests of one step through the queues of all models and returns
// the resulting demand.
func (r *zoneReplay) flow(calls []Call) []planner.Demand {
	var demand []planner.Demand
	for _, model := range r.settings.Models {
		load := workloadOf(calls, model.Name)
		r.batchBacklog[model.Name] += batchItems(calls, model.Name)
		objectives := planner.Objectives{FirstToken: model.FirstTokenMillis / 1000, BetweenTokens: model.BetweenTokensMillis / 1000}
		offered := load.Requests * replayStep.Seconds()
		waiting := r.backlog[model.Name] + offered
		load.Requests = (waiting + r.batchBacklog[model.Name]) / replayStep.Seconds()
		rate := planner.Goodput(planner.DefaultOptions().Prior, r.serving(model.Name), load, objectives)
		capacity := rate * replayStep.Seconds()
		served := min(waiting, capacity)
		batched := min(r.batchBacklog[model.Name], capacity-served)
		r.batchBacklog[model.Name] -= batched
		r.offered += offered
		r.served += served
		// Requests that can't be served within their first-token objective are
		// dropped.
		r.backlog[model.Name] = min(waiting-served, rate*objectives.FirstToken)
		demand = append(demand, r.demand(model.Name, load, offered+batched, rate))
	}
	return demand
}

// demand returns the demand that the gateways would report for a step with the
// given number of requests. Batch items count in the step in which they start.
func (r *zoneReplay) demand(model string, load planner.Workload, requests, rate float64) planner.Demand {
	row := planner.Demand{
		Model:        model,
		Requests:     requests / replayStep.Seconds(),
		PromptTokens: load.PromptTokens * requests / replayStep.Seconds(),
		OutputTokens: load.OutputTokens * requests / replayStep.Seconds(),
		Queued:       int(r.backlog[model]),
	}
	if rate > 0 {
		row.OldestWait = time.Duration(r.backlog[model] / rate * float64(time.Second))
	}
	return row
}

func batchItems(calls []Call, model string) float64 {
	items := 0
	for _, call := range calls {
		if call.Batch && call.Model == model {
			items += call.Requests
		}
	}
	return float64(items)
}

// workloadOf summarizes a model's calls in one step. The sizes are means over all
// requests; the rate excludes batch items.
func workloadOf(calls []Call, model string) planner.Workload {
	var load planner.Workload
	for _, call := range calls {
		if call.Model != model {
			continue
		}
		requests := float64(call.Requests)
		load.Requests += requests
		load.PromptTokens += requests * float64(call.PromptTokens)
		load.OutputTokens += requests * float64(call.OutputTokens)
	}
	if load.Requests > 0 {
		load.PromptTokens /= load.Requests
		load.OutputTokens /= load.Requests
	}
	load.Requests = (load.Requests - batchItems(calls, model)) / replayStep.Seconds()
	return load
}

// serving counts a model's engines by role, without those that are changing.
func (r *zoneReplay) serving(model string) planner.Split {
	var split planner.Split
	for _, engine := range r.engines {
		if engine.Draining || engine.Desired.Model != model {
			continue
		}
		switch engine.Desired.Role {
		case engineapi.RolePrefill:
			split.Prefill++
		case engineapi.RoleDecode:
			split.Decode++
		case engineapi.RoleMixed:
			split.Mixed++
		}
	}
	return split
}

func (r *zoneReplay) decide(now time.Duration, demand []planner.Demand) {
	zone := policyinput.DescribeZone(r.zone.Name, r.engines, r.zone.Gateways)
	clock := r.settings.clockAt(now)
	input := planner.Input{
		Engines:           r.engines,
		Demand:            demand,
		GatewaysExpected:  r.zone.Gateways,
		GatewaysReporting: r.zone.Gateways,
	}
	policyinput.Apply(&input, r.settings.Models, r.policies, zone, clock)
	for _, change := range r.planner.Step(now, input).Changes {
		r.applyChange(now, change)
	}
}

func (r *zoneReplay) applyChange(now time.Duration, change planner.Change) {
	for index := range r.engines {
		engine := &r.engines[index]
		if engine.ID != change.EngineID {
			continue
		}
		r.recordChange(now, engine, change)
		engine.Desired, engine.Phase, engine.Draining = change.Target, engineapi.PhaseChanging, true
		r.servingAgainAt[engine.ID] = now + roleChangeDuration
	}
}

// recordChange records a change of role or model. Changes of adapters alone are
// reported by comparePlacement.
func (r *zoneReplay) recordChange(now time.Duration, engine *planner.EngineStatus, change planner.Change) {
	recorded := RoleChange{
		AtMillis: now.Milliseconds(), Zone: r.zone.Name, Engine: engine.ID,
		From: string(engine.Desired.Role), To: string(change.Target.Role),
	}
	if engine.Desired.Model != change.Target.Model {
		recorded.ToModel = change.Target.Model
	}
	if recorded.From != recorded.To || recorded.ToModel != "" {
		r.changes = append(r.changes, recorded)
	}
}
