package planner

import (
	"cmp"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// loadAdapters gives one engine of a model the adapters that its rule lists, if it
// already has the rule's version: internal/rollout changes versions. A rule that
// lists no adapters leaves the engine's adapters unchanged.
func (p *placer) loadAdapters(pool *modelPool) {
	if !pool.hasRules() || pool.moveInProgress || pool.away > 0 || *p.remaining <= 0 {
		return
	}
	var best *EngineStatus
	var target engineapi.Configuration
	for index := range p.input.Engines {
		engine := &p.input.Engines[index]
		if engine.Desired.Model != pool.model.Name || !changeable(*engine) {
			continue
		}
		version, adapters := pool.configurationFor(engine)
		wanted := engine.Desired
		wanted.Adapters = adapters
		if version != engine.Desired.Version || len(adapters) == 0 || wanted.Equal(engine.Desired) {
			continue
		}
		if p.withinDwell(engine, pool.rules) || p.recentlyAbandoned(engine, wanted) || pool.rules.MaximumAway <= 0 {
			continue
		}
		if best == nil || compareDisruption(engine, best) < 0 {
			best, target = engine, wanted
		}
	}
	if best != nil {
		p.assign(best, target, fmt.Sprintf("the rule of model %s lists other adapters", pool.model.Name))
	}
}

// assign sets an engine's new desired configuration and adds the change to the
// output.
func (p *placer) assign(engine *EngineStatus, target engineapi.Configuration, reason string) {
	p.output.Changes = append(p.output.Changes, Change{EngineID: engine.ID, Target: target, Reason: reason})
	p.output.Hold = HoldNone
	*p.remaining--
	engine.Desired = target
	engine.Draining = true
	p.byModel[target.Model].away++
}

// withinDwell reports whether an engine has had its configuration for less than the
// minimum dwell.
func (p *placer) withinDwell(engine *EngineStatus, rules Rules) bool {
	return p.now-p.planner.fleet.engines[engine.ID].configuredAt < rules.MinimumDwell
}

// recentlyAbandoned reports whether the engine's last change was abandoned less than
// abandonedRetryDelay ago and its target was the same as this one, apart from the role.
func (p *placer) recentlyAbandoned(engine *EngineStatus, target engineapi.Configuration) bool {
	if engine.AbandonedTarget == nil {
		return false
	}
	failed := *engine.AbandonedTarget
	failed.Role = target.Role
	return failed.Equal(target) && p.now-p.planner.fleet.engines[engine.ID].configuredAt < abandonedRetryDelay
}

// abandonedRetryDelay is the time after which a move to an abandoned target may be
// tried again.
const abandonedRetryDelay = 5 * time.Minute

// compareDisruption orders engines by how disruptive a change is: by requests in
// flight, then by cached blocks, then by ID to be deterministic.
func compareDisruption(a, b *EngineStatus) int {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.CachedBlocks, b.CachedBlocks), cmp.Compare(a.ID, b.ID))
}
