package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// plan runs the rollouts, the planner and prefetches once per planInterval until
// the term ends.
func (c *Controller) plan(ctx context.Context, t *term) {
	for lifecycle.Sleep(ctx, planInterval) {
		c.rollOut(ctx, t)
		c.planChanges(ctx, t)
		c.prefetch(ctx, t)
	}
}

// planChanges runs one step of the planner and commits the desired
// configurations that it returns.
func (c *Controller) planChanges(ctx context.Context, t *term) {
	output, desired := t.decide(c.now(), c.settings.Zone)
	if len(output.Changes) == 0 {
		return
	}
	command := &zonestate.Command{Kind: zonestate.KindSetDesired, Desired: desired}
	if _, err := c.proposeZone(ctx, command); err != nil {
		c.logger.V(1).Info("could not commit planned changes", "error", err.Error())
		return
	}
	for _, change := range output.Changes {
		c.logger.Info("planned change", "engine", change.EngineID, "target", fmt.Sprint(change.Target), "reason", change.Reason)
	}
}

// policySet holds the compiled policies of one revision of the configuration.
type policySet struct {
	revision uint64
	set      *policy.Set
}

// forConfig returns the compiled policies of a configuration. Programs that have
// not changed keep their counts of failures.
func (p *policySet) forConfig(config *dynamic.Snapshot) *policy.Set {
	if p.set == nil || p.revision != config.Revision {
		p.set = p.set.Recompile(config.Policies)
		p.revision = config.Revision
	}
	return p.set
}

// decide runs one step of the planner on the committed state and the newest
// reports. Each desired configuration that it returns is guarded by the DesiredAt
// of the one that the planner saw.
func (t *term) decide(now time.Duration, zone string) (planner.Output, []zonestate.DesiredEntry) {
	var output planner.Output
	var desired []zonestate.DesiredEntry
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		config := state.Config()
		if config == nil {
			return
		}
		input := t.plannerInput(now, zone, core, state, t.policies.forConfig(config))
		output = t.planner.Step(now, input)
		t.plannerHold, t.unplaced = output.Hold, output.Unplaced
		for _, change := range output.Changes {
			if engine, found := state.Engine(change.EngineID); found {
				desired = append(desired, zonestate.DesiredEntry{
					EngineID: change.EngineID, Target: change.Target, DesiredAt: engine.DesiredAt, Guarded: true,
				})
			}
		}
	})
	return output, desired
}

// leaderWarnings returns warnings for operators about the leader's decisions;
// none if this controller does not lead.
func (c *Controller) leaderWarnings() []string {
	t := c.currentTerm()
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var warnings []string
	if t.plannerHold == planner.HoldStale {
		warnings = append(warnings, "planner: changes nothing, because demand or load reports are missing or old")
	}
	for _, waiting := range t.unplaced {
		warnings = append(warnings, unplacedWarning(waiting))
	}
	if t.core.MachineListSuspect() {
		warnings = append(warnings, "machine list: not believed, because it calls most engines or back ends leaving or gone")
	}
	return warnings
}

func unplacedWarning(waiting planner.Unplaced) string {
	warning := fmt.Sprintf("placement: model %s has %d engines by its rules, minimum %d", waiting.Model, waiting.Engines, waiting.Minimum)
	if waiting.Misplaced > 0 {
		warning += fmt.Sprintf(", and %d against them", waiting.Misplaced)
	}
	return fmt.Sprintf("%s: %s", warning, waiting.Hold)
}

// policyFailures returns the number of run-time failures of the policy programs
// that this controller runs; 0 if it does not lead.
func (c *Controller) policyFailures() uint64 {
	t := c.currentTerm()
	if t == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return policy.CountFailures(t.policies.set.Failures())
}
