package policycheck

import (
	"slices"

	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// PlacementChange is an engine whose placement differs under the checked policies.
type PlacementChange struct {
	Zone    string    `json:"zone"`
	Engine  string    `json:"engine"`
	Model   string    `json:"model"`
	Present Placement `json:"present"`
	Checked Placement `json:"checked"`
}

// Placement is the version and the adapters that a policy assigns to an engine, or
// those that the engine has if the policy assigns none.
type Placement struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// comparePlacement finds the engines for which the controllers' rollouts would
// choose a different version or different adapters.
func comparePlacement(settings ReplaySettings, present, checked *policy.Set) []PlacementChange {
	changes := []PlacementChange{}
	for index := range settings.Zones {
		zone := &settings.Zones[index]
		engines := zone.engineStatuses()
		for _, model := range settings.Models {
			before := policyinput.NewPlacement(model, present.ProgramFor(model.Name), engines, zone.describe(), settings.clockAt(0))
			after := policyinput.NewPlacement(model, checked.ProgramFor(model.Name), engines, zone.describe(), settings.clockAt(0))
			for _, engine := range engines {
				left, right := placementOf(&before, engine), placementOf(&after, engine)
				if engine.Desired.Model != model.Name || left.equal(right) {
					continue
				}
				changes = append(changes, PlacementChange{
					Zone: zone.Name, Engine: engine.ID, Model: model.Name, Present: left, Checked: right,
				})
			}
		}
	}
	return changes
}

func (p Placement) equal(other Placement) bool {
	return p.Version == other.Version && slices.Equal(p.Adapters, other.Adapters)
}

func placementOf(rules *policyinput.Placement, engine planner.EngineStatus) Placement {
	version, adapters := rules.ConfigurationFor(engine.ID, engine.Desired.Adapters)
	if version == "" {
		return Placement{Version: engine.Desired.Version, Adapters: engine.Desired.Adapters}
	}
	return Placement{Version: version, Adapters: adapters}
}
