package policyinput

import (
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// Placement decides which engines may run a model, with which version and adapters.
type Placement struct {
	model dynamic.Model
	rules []placementRule
}

type placementRule struct {
	dynamic.PlacementRule
	allowed func(engineID string) bool
}

// HasRules implements planner.Placement.
func (p *Placement) HasRules() bool { return len(p.rules) > 0 }

// Minimum returns the minimum number of engines for the model, the largest of its
// rules' minimums.
func (p *Placement) Minimum() int {
	minimum := 0
	for _, rule := range p.rules {
		minimum = max(minimum, rule.Minimum)
	}
	return minimum
}

// NewPlacement evaluates the placement rules of the policy that governs a model; a
// nil program has no rules.
func NewPlacement(model dynamic.Model, program *policy.Program, engines []planner.EngineStatus, zone policy.Zone, clock policy.Clock) Placement {
	placement := Placement{model: model}
	if program == nil {
		return placement
	}
	for index, rule := range program.Document().Placement {
		if rule.Model == model.Name {
			allowed := Allowed(program, index, engines, zone, clock)
			placement.rules = append(placement.rules, placementRule{rule, allowed})
		}
	}
	return placement
}

// ConfigurationFor returns the version and the adapters of the first rule that
// allows the engine. Without rules they are the model's version and the present
// adapters. If no rule allows the engine, the version is empty, which leaves the
// engine's version and adapters unchanged.
func (p *Placement) ConfigurationFor(engineID string, present []string) (version string, adapters []string) {
	for _, rule := range p.rules {
		if rule.allowed(engineID) {
			return rule.Version, rule.Adapters
		}
	}
	if len(p.rules) > 0 {
		return "", nil
	}
	return p.model.Version, present
}
