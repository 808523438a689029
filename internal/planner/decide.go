package planner

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// roles lists the roles in the order in which changes are considered.
var roles = []engineapi.Role{engineapi.RolePrefill, engineapi.RoleDecode, engineapi.RoleMixed}

// decide chooses the changes of one step.
func (p *Planner) decide(now, elapsed time.Duration, input Input, stale bool) Output {
	switch {
	case stale:
		return Output{Hold: HoldStale}
	case input.Rules.MaximumAway <= 0:
		return Output{Hold: HoldForbidden}
	case now-p.startedAt < p.options.WarmUp:
		return Output{Hold: HoldWarmingUp}
	}
	remaining := input.Rules.MaximumAway - countAway(input.Engines)
	output := Output{Hold: HoldNoDemand}
	p.place(now, &input, &remaining, &output)
	if len(input.Demand) == 0 {
		if output.Hold != HoldNone {
			output.Hold = HoldStale
		}
		return output
	}
	for index := range input.Models {
		p.decideWithinBounds(now, elapsed, input, input.Models[index], &remaining, &output)
	}
	return output
}

// decideWithinBounds chooses the changes for one model, within the limits on
// concurrent changes: remaining for the zone, and MaximumAway of the model's rules.
func (p *Planner) decideWithinBounds(now, elapsed time.Duration, input Input, model Model, remaining *int, output *Output) {
	input.Rules = input.rulesOf(&model)
	if input.Rules.MaximumAway <= 0 {
		p.recordHold(output, HoldForbidden, nil)
		return
	}
	allowed := min(*remaining, input.Rules.MaximumAway-countModelAway(input.Engines, model.Name))
	remainingOfModel := allowed
	p.decideModel(now, elapsed, input, model, &remainingOfModel, output)
	*remaining -= allowed - remainingOfModel
}

// decideModel chooses the changes for one model; remaining is the number of engines
// that may still be changed at this time.
func (p *Planner) decideModel(now, elapsed time.Duration, input Input, model Model, remaining *int, output *Output) {
	state := p.model(model.Name)
	load := state.forecast.workload()
	if load.Requests <= 0 {
		return
	}
	// A changed engine keeps its role for at least the minimum dwell, so the change
	// is evaluated over the dwell too. The present demand isn't expected to last
	// that long, so the dwell is evaluated with the long-term demand.
	horizon := p.options.Horizon + input.Rules.MinimumDwell
	evaluator := splitEvaluator{
		speed:             state.speed.speed(),
		load:              load,
		longTermLoad:      state.longTerm.workload(),
		objectives:        objectivesOf(model),
		price:             input.Rules.Price,
		horizon:           horizon.Seconds(),
		longTermShare:     float64(input.Rules.MinimumDwell) / float64(horizon),
		changeSeconds:     p.fleet.meanChangeSeconds,
		maximumConcurrent: float64(input.Rules.MaximumAway),
	}
	present := splitOf(input.Engines, model.Name)
	best := evaluator.best(present)
	gainRate := evaluator.goodputNow(best.split) - evaluator.goodputNow(present)
	gain := func(split Split) float64 { return evaluator.goodputNow(split) - evaluator.goodputNow(present) }
	state.regret.update(elapsed, p.options.RegretTimeConstant, gain, present, best.split)
	if best.split == present || gainRate < p.options.MinimumGain*load.Requests {
		p.recordHold(output, HoldWellPlaced, nil)
		return
	}
	proposal := p.proposal(now, input, model, evaluator, present, best)
	if *remaining <= 0 {
		p.recordHold(output, HoldAway, &proposal)
		return
	}
	if oppositeDirections(present, state.regret.target, best.split) || state.regret.lostGoodput < p.options.RegretShare*best.cost {
		p.recordHold(output, HoldUnsettled, &proposal)
		return
	}
	p.changeRoles(now, input, model, evaluator, present, best, &proposal, remaining, output)
}

// changeRoles makes changes towards the best split, up to remaining.
func (p *Planner) changeRoles(now time.Duration, input Input, model Model, evaluator splitEvaluator, present Split, best evaluation, proposal *Proposal, remaining *int, output *Output) {
	picked := make(map[string]bool)
	for *remaining > 0 {
		from, to, found := evaluator.nextChange(present, best.split)
		if !found {
			return
		}
		proposal.From, proposal.To = from, to
		if input.Rules.Permit != nil && !input.Rules.Permit(*proposal) {
			p.recordHold(output, HoldPolicy, proposal)
			return
		}
		engine, hold := p.pickEngine(now, input, model.Name, from, picked)
		if engine == nil {
			p.recordHold(output, hold, proposal)
			return
		}
		picked[engine.ID] = true
		target := engine.Desired
		target.Role = to
		output.Changes = append(output.Changes, Change{EngineID: engine.ID, Target: target, Reason: "the mix of prompt and output tokens has moved"})
		output.Hold, output.Best = HoldNone, proposal
		present = present.with(from, -1).with(to, 1)
		*remaining--
	}
}

// pickEngine chooses the engine in a role whose change is least disruptive. Without
// one it returns the reason.
func (p *Planner) pickEngine(now time.Duration, input Input, model string, from engineapi.Role, picked map[string]bool) (*EngineStatus, Hold) {
	hold := HoldNoEngine
	var candidates []*EngineStatus
	for index := range input.Engines {
		status := &input.Engines[index]
		if status.Desired.Model != model || status.Desired.Role != from || picked[status.ID] || !changeable(*status) {
			continue
		}
		if now-p.fleet.engines[status.ID].configuredAt < input.Rules.MinimumDwell {
			hold = HoldDwell
			continue
		}
		candidates = append(candidates, status)
	}
	if len(candidates) == 0 {
		return nil, hold
	}
	return slices.MinFunc(candidates, compareDisruption), HoldNone
}

// changeable reports whether an engine may be given a new configuration now. An
// engine to which an unresponsive gateway may still dispatch must not be changed.
func changeable(status EngineStatus) bool {
	return usable(status) && status.Phase == engineapi.PhaseServing && !status.Draining && !status.Isolated
}

func (p *Planner) proposal(now time.Duration, input Input, model Model, evaluator splitEvaluator, present Split, best evaluation) Proposal {
	prefill, decode := utilisation(evaluator.speed, present, evaluator.load, evaluator.objectives)
	proposal := Proposal{
		Model:              model.Name,
		Gain:               best.gain,
		Price:              evaluator.price,
		PromptRate:         evaluator.load.Requests * evaluator.load.PromptTokens,
		OutputRate:         evaluator.load.Requests * evaluator.load.OutputTokens,
		PrefillUtilisation: prefill,
		DecodeUtilisation:  decode,
		Prefill:            present.Prefill,
		Decode:             present.Decode,
		Mixed:              present.Mixed,
		SinceLastChange:    now - p.fleet.lastChangeAt,
	}
	for _, demand := range input.Demand {
		if demand.Model == model.Name {
			proposal.Queued = demand.Queued
		}
	}
	return proposal
}

// recordHold records in the output why nothing changes, with the proposal that was held
// back, if any. It does nothing once a change has been made or a reason with a proposal
// has been recorded; a reason without a proposal is replaced by the next one.
func (p *Planner) recordHold(output *Output, hold Hold, proposal *Proposal) {
	if output.Hold == HoldNone || output.Best != nil {
		return
	}
	output.Hold, output.Best = hold, proposal
}

func objectivesOf(model Model) Objectives {
	return Objectives{FirstToken: model.FirstToken.Seconds(), BetweenTokens: model.BetweenTokens.Seconds()}
}
