package reconcile

import (
	"cmp"
	"github.com/pierhaven/pierhaven/internal/zonestate"
	"slices"
	"time"
)

// beginChanges withholds engines that need a change, up to the limit on concurrent
// changes. Engines whose desired configuration was set first come first.
func (c *Core) beginChanges(now time.Duration, state *zonestate.State, engines []*zonestate.Engine) {
	candidates := c.changeCandidates(now, state, engines)
	slots := c.maximumAway(state) - c.countChanging(now, engines)
	for _, engine := range candidates {
		tracker := c.engineTracker(now, engine.ID)
		if slots <= 0 {
			tracker.reason = ReasonCap
			continue
		}
		c.proposeEngine(now, zonestate.KindBeginChange, zonestate.EngineCommand{
			ID:        engine.ID,
			DesiredAt: engine.DesiredAt,
		})
		slots--
	}
}

func (c *Core) changeCandidates(now time.Duration, state *zonestate.State, engines []*zonestate.Engine) []*zonestate.Engine {
	var candidates []*zonestate.Engine
	for _, engine := range engines {
		tracker := c.engineTracker(now, engine.ID)
		serves := tracker.polls.hasResponse && !c.isLost(now, tracker) && engine.Verified != nil && !engine.Leaving
		if engine.Changing || engine.Order != nil || !serves || !engine.NeedsChange() {
			continue
		}
		if c.isPending(now, engineKey(engine.ID)) {
			continue
		}
		if holders := c.isolatedHolders(now, state, engine.ID); len(holders) > 0 {
			tracker.reason, tracker.waitingFor = ReasonIsolated, holders
			continue
		}
		candidates = append(candidates, engine)
	}
	slices.SortStableFunc(candidates, func(left, right *zonestate.Engine) int {
		return cmp.Compare(left.DesiredAt, right.DesiredAt)
	})
	return candidates
}

// countChanging counts the engines that are under a planned change or about to be.
// Lost engines under change are not counted, since one lost engine would otherwise
// block all changes.
func (c *Core) countChanging(now time.Duration, engines []*zonestate.Engine) int {
	count := 0
	for _, engine := range engines {
		tracker := c.engineTracker(now, engine.ID)
		underChange := engine.Changing || engine.Order != nil
		if underChange && !c.isLost(now, tracker) || tracker.hasPendingBegin(c, now, engine) {
			count++
		}
	}
	return count
}

// hasPendingBegin reports whether a proposal that may withhold the engine is
// pending.
func (t *engineTracker) hasPendingBegin(c *Core, now time.Duration, engine *zonestate.Engine) bool {
	return !engine.Changing && engine.Order == nil && engine.NeedsChange() && c.isPending(now, engineKey(engine.ID))
}

// maximumAway returns the smallest limit on concurrent changes that a policy sets,
// or the configured default if none does.
func (c *Core) maximumAway(state *zonestate.State) int {
	smallest := 0
	if state.Config() != nil {
		for i := range state.Config().Policies {
			limit := state.Config().Policies[i].RoleChange.MaximumAway
			if limit > 0 && (smallest == 0 || limit < smallest) {
				smallest = limit
			}
		}
	}
	if smallest == 0 {
		return c.config.MaximumAway
	}
	return smallest
}
