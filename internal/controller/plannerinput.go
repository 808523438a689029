package controller

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// plannerInput collects the planner's input. The caller must hold t.mutex.
func (t *term) plannerInput(now time.Duration, zone string, core *reconcile.Core, state *zonestate.State, policies *policy.Set) planner.Input {
	engines := t.plannerEngines(now, core, state)
	description := policyinput.DescribeZone(zone, engines, state.Sessions().Len())
	clock := policy.ClockAt(time.Now())
	input := planner.Input{
		Engines:           engines,
		Demand:            t.demand(now),
		GatewaysExpected:  state.Sessions().Len(),
		GatewaysReporting: len(t.gateways),
	}
	policyinput.Apply(&input, state.Config().Models, policies, description, clock)
	return input
}

func (t *term) plannerEngines(now time.Duration, core *reconcile.Core, state *zonestate.State) []planner.EngineStatus {
	var engines []planner.EngineStatus
	for _, status := range core.Status(now, state) {
		engine := planner.EngineStatus{
			ID:       status.Engine.ID,
			Draining: status.Engine.Changing || status.Engine.Order != nil,
			Pinned:   status.Engine.Drained || status.Engine.Leaving,
			Isolated: !core.ChangeableQuickly(now, state, status.Engine.ID),
		}
		if status.Engine.Desired != nil {
			engine.Desired = *status.Engine.Desired
		}
		engine.AbandonedTarget = status.Engine.Abandoned
		if reported := status.Reported; reported != nil {
			engine.Reachable = status.SinceLastResponse < engineUnreachableAfter
			engine.Observed = reported.Observed
			engine.Phase = reported.Phase
			engine.InFlight = reported.Running
			engine.Load = reported.Load
			engine.LoadAge = status.SinceLastResponse + time.Duration(reported.Load.AgeMillis)*time.Millisecond
		}
		engines = append(engines, engine)
	}
	return engines
}

// demand returns the sums of the demand that gateways reported for each model,
// sorted by the model's name. The caller must hold t.mutex.
func (t *term) demand(now time.Duration) []planner.Demand {
	sums := map[string]*planner.Demand{}
	for _, report := range t.gateways {
		for _, seen := range report.demand {
			sum, found := sums[seen.Model]
			if !found {
				sum = &planner.Demand{Model: seen.Model}
				sums[seen.Model] = sum
			}
			sum.Requests += float64(seen.Requests)
			sum.PromptTokens += float64(seen.PromptTokens)
			sum.OutputTokens += float64(seen.OutputTokens)
			sum.Queued += seen.Queued
			sum.Missed += float64(seen.Missed)
			sum.OldestWait = max(sum.OldestWait, time.Duration(seen.OldestWaitMillis)*time.Millisecond)
			sum.Age = max(sum.Age, now-report.demandAt)
		}
	}
	var list []planner.Demand
	for _, model := range sortedKeys(sums) {
		list = append(list, *sums[model])
	}
	return list
}
