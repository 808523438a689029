package policycheck

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
)

const (
	// replayStep is the time between the planner's decisions.
	replayStep = time.Second
	// replayAway is how long a role change takes an engine away.
	replayAway = 8 * time.Second
)

// RoleChanges are the changes that the planner would have proposed in a fluid
// model of the zones: demand flows in as the trace says and out at the goodput
// that the planner expects of the split. Engines have the planner's assumed
// speed, so that the figures compare policies and predict nothing.
type RoleChanges struct {
	Changes []RoleChange `json:"changes"`
	// Served is the number of requests that flow out within their objectives;
	// Offered those that flow in. Items of batches are in neither: they take
	// what the others leave.
	Served  float64 `json:"served"`
	Offered float64 `json:"offered"`
}

// RoleChange is one change of the replay.
type RoleChange struct {
	// AtMillis is the time since the trace's start.
	AtMillis int64  `json:"at_ms"`
	Zone     string `json:"zone"`
	Engine   string `json:"engine"`
	From     string `json:"from"`
	To       string `json:"to"`
	// ToModel is set if the engine moves to another model.
	ToModel string `json:"to_model,omitempty"`
}

func replayRoleChanges(trace Trace, setting Setting, policies *policy.Set) RoleChanges {
	result := RoleChanges{Changes: []RoleChange{}}
	for index := range setting.Zones {
		replay := newZoneReplay(&setting.Zones[index], setting, policies)
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
	setting  Setting
	policies *policy.Set
	planner  *planner.Planner
	engines  []planner.EngineStatus
	// backAt is when a changing engine serves again.
	backAt map[string]time.Duration
	// backlog holds the requests that wait, by model; batches those of batches,
	// for which nobody waits.
	backlog, batches map[string]float64
	changes          []RoleChange
	served, offered  float64
}

func newZoneReplay(zone *Zone, setting Setting, policies *policy.Set) *zoneReplay {
	return &zoneReplay{
		zone:     zone,
		setting:  setting,
		policies: policies,
		planner:  planner.New(planner.DefaultOptions()),
		engines:  zone.statuses(),
		backAt:   map[string]time.Duration{},
		backlog:  map[string]float64{},
		batches:  map[string]float64{},
	}
}

// step lets the calls that have arrived flow in and out, and the planner decide.
// It returns the calls that come later.
func (r *zoneReplay) step(now time.Duration, calls []Call) []Call {
	arrived := 0
	for arrived < len(calls) && calls[arrived].Arrival < now {
		arrived++
	}
	r.bringBack(now)
	demand := r.flow(calls[:arrived])
	r.decide(now, demand)
	return calls[arrived:]
}

func (r *zoneReplay) bringBack(now time.Duration) {
	for index := range r.engines {
		engine := &r.engines[index]
		if back, away := r.backAt[engine.ID]; away && now >= back {
			engine.Observed, engine.Phase, engine.Draining = engine.Desired, engineapi.PhaseServing, false
			delete(r.backAt, engine.ID)
		}
	}
}

// flow moves one step's requests through the queues of all models.
func (r *zoneReplay) flow(calls []Call) []planner.Demand {
	var demand []planner.Demand
	for _, model := range r.setting.Models {
		load := workloadOf(calls, model.Name)
		r.batches[model.Name] += batchItems(calls, model.Name)
		objectives := planner.Objectives{FirstToken: model.FirstTokenMillis / 1000, BetweenTokens: model.BetweenTokensMillis / 1000}
		offered := load.Requests * replayStep.Seconds()
		waiting := r.backlog[model.Name] + offered
		load.Requests = (waiting + r.batches[model.Name]) / replayStep.Seconds()
		rate := planner.Goodput(planner.DefaultOptions().Prior, r.serving(model.Name), load, objectives)
		capacity := rate * replayStep.Seconds()
		served := min(waiting, capacity)
		batched := min(r.batches[model.Name], capacity-served)
		r.batches[model.Name] -= batched
		r.offered += offered
		r.served += served
		// What is not served within its first-token objective is lost.
		r.backlog[model.Name] = min(waiting-served, rate*objectives.FirstToken)
		demand = append(demand, r.demand(model.Name, load, offered+batched, rate))
	}
	return demand
}

// demand is what the gateways would report of a step in which so many requests
// have come, those of batches when they were begun.
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

// workloadOf sums the calls of one step for a model. The sizes are means over all
// calls; the rate leaves batches out.
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

// serving counts the roles of a model's engines that are not away.
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
	clock := r.setting.clockAt(now)
	input := planner.Input{
		Engines:           r.engines,
		Demand:            demand,
		GatewaysExpected:  r.zone.Gateways,
		GatewaysReporting: r.zone.Gateways,
	}
	policyinput.Apply(&input, r.setting.Models, r.policies, zone, clock)
	for _, change := range r.planner.Step(now, input).Changes {
		r.change(now, change)
	}
}

func (r *zoneReplay) change(now time.Duration, change planner.Change) {
	for index := range r.engines {
		engine := &r.engines[index]
		if engine.ID != change.EngineID {
			continue
		}
		r.note(now, engine, change)
		engine.Desired, engine.Phase, engine.Draining = change.Target, engineapi.PhaseChanging, true
		r.backAt[engine.ID] = now + replayAway
	}
}

// note records a change of role or model. Changes of adapters alone are told by
// comparePlacement.
func (r *zoneReplay) note(now time.Duration, engine *planner.EngineStatus, change planner.Change) {
	made := RoleChange{
		AtMillis: now.Milliseconds(), Zone: r.zone.Name, Engine: engine.ID,
		From: string(engine.Desired.Role), To: string(change.Target.Role),
	}
	if engine.Desired.Model != change.Target.Model {
		made.ToModel = change.Target.Model
	}
	if made.From != made.To || made.ToModel != "" {
		r.changes = append(r.changes, made)
	}
}
