package reconcile

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/platformapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// tickRegistrations registers the engines and back ends from the settings and from
// the platform's list.
func (c *Core) tickRegistrations(now time.Duration, state *zonestate.State) {
	for _, target := range c.targets(c.config.Engines, platformapi.KindEngine) {
		c.registerEngine(now, state, target)
	}
	for _, target := range c.targets(c.config.BackEnds, platformapi.KindApplication) {
		c.registerBackEnd(now, state, target)
	}
}

// targets returns the targets from the settings, which take precedence, and then the
// zone's live machines of a kind from the platform's list.
func (c *Core) targets(configured []Target, kind platformapi.MachineKind) []Target {
	joined := slices.Clone(configured)
	ids := make([]string, 0, len(c.machines.rows))
	for id := range c.machines.rows {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		row := c.machines.rows[id]
		wanted := row.Kind == kind && row.Zone == c.config.Zone && row.State == platformapi.MachineLive
		known := slices.ContainsFunc(configured, func(target Target) bool { return target.ID == id })
		if wanted && !known {
			joined = append(joined, Target{ID: id, Address: row.Address})
		}
	}
	return joined
}

func (c *Core) isConfigured(targets []Target, id string) bool {
	return slices.ContainsFunc(targets, func(target Target) bool { return target.ID == id })
}

func (c *Core) registerEngine(now time.Duration, state *zonestate.State, target Target) {
	engine, found := state.Engine(target.ID)
	if found && engine.Address == target.Address {
		return
	}
	c.propose(now, engineKey(target.ID), zonestate.Command{
		Kind:   zonestate.KindRegisterEngine,
		Engine: &zonestate.EngineCommand{ID: target.ID, Address: target.Address},
	})
}

func (c *Core) registerBackEnd(now time.Duration, state *zonestate.State, target Target) {
	backEnd, found := state.BackEnd(target.ID)
	if found && backEnd.Address == target.Address {
		return
	}
	c.propose(now, backEndKey(target.ID), zonestate.Command{
		Kind: zonestate.KindRegisterBackEnd,
		BackEnd: &zonestate.BackEndCommand{
			ID:           target.ID,
			Address:      target.Address,
			Applications: target.Applications,
			Serving:      len(target.Applications) > 0,
		},
	})
}
