// Package policyinput evaluates operators' policies for the planner: on which
// engines models may run, and the rules for role changes. The controller and the
// check of policies against a trace share it.
package policyinput

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// BuiltinMaximumAway is the maximum number of engines of a zone that change at the
// same time if there is no policy.
const BuiltinMaximumAway = 1

// Apply sets the models and rules of an input whose engines and demand are set.
func Apply(input *planner.Input, models []dynamic.Model, policies *policy.Set, zone policy.Zone, clock policy.Clock) {
	input.Rules = planner.Rules{MaximumAway: MaximumAway(policies)}
	for _, model := range models {
		program := policies.ProgramFor(model.Name)
		input.Models = append(input.Models, Model(model, program, input, zone, clock))
	}
}

// Model returns the planner's model, with the rules and the placement of the policy
// that governs it; a nil program is the built-in policy.
func Model(model dynamic.Model, program *policy.Program, input *planner.Input, zone policy.Zone, clock policy.Clock) planner.Model {
	rules := Rules(program, input.Demand, zone, clock)
	placement := NewPlacement(model, program, input.Engines, zone, clock)
	return planner.Model{
		Name:          model.Name,
		Version:       model.Version,
		FirstToken:    time.Duration(model.FirstTokenMillis * float64(time.Millisecond)),
		BetweenTokens: time.Duration(model.BetweenTokensMillis * float64(time.Millisecond)),
		Minimum:       placement.Minimum(),
		Placement:     &placement,
		Rules:         &rules,
	}
}

// Allowed evaluates a placement rule and returns a function that reports whether it
// allows an engine.
func Allowed(program *policy.Program, rule int, engines []planner.EngineStatus, zone policy.Zone, clock policy.Clock) func(string) bool {
	allowed := map[string]bool{}
	for index, engine := range engines {
		allowed[engine.ID] = program.AllowsEngine(rule, policy.PlacementVariables{
			Engine: policy.Engine{
				ID: engine.ID, Index: index, Role: string(engine.Desired.Role), Model: engine.Desired.Model,
				Version: engine.Desired.Version, KVCapacity: engine.Load.KVCapacityTokens, InFlight: engine.InFlight,
			},
			Zone:  zone,
			Clock: clock,
		})
	}
	return func(engineID string) bool { return allowed[engineID] }
}

// MaximumAway returns the maximum number of engines of a zone, of all models, that
// change at the same time: the smallest bound of the policies that permit changes,
// so that no policy's bound is ever exceeded. A policy with a bound of 0 forbids
// changes only of its own models' engines; if all bounds are 0, the result is 0.
func MaximumAway(policies *policy.Set) int {
	programs := policies.Programs()
	if len(programs) == 0 {
		return BuiltinMaximumAway
	}
	smallest := 0
	for _, program := range programs {
		bound := program.Document().RoleChange.MaximumAway
		if bound > 0 && (smallest == 0 || bound < smallest) {
			smallest = bound
		}
	}
	return smallest
}

// ModelMaximumAway returns the maximum number of a model's engines that change at
// the same time; a nil program is the built-in policy.
func ModelMaximumAway(program *policy.Program) int {
	if program == nil {
		return BuiltinMaximumAway
	}
	return program.Document().RoleChange.MaximumAway
}

// Rules evaluates the role-change rule of the policy that governs a model; a nil
// program is the built-in policy.
func Rules(program *policy.Program, demand []planner.Demand, zone policy.Zone, clock policy.Clock) planner.Rules {
	if program == nil {
		return planner.Rules{MaximumAway: BuiltinMaximumAway}
	}
	rule := program.Document().RoleChange
	return planner.Rules{
		Price:        program.Price(policy.PriceVariables{Zone: zone, Clock: clock}),
		MinimumDwell: time.Duration(rule.MinimumDwellSeconds * float64(time.Second)),
		MaximumAway:  rule.MaximumAway,
		Permit: func(proposal planner.Proposal) bool {
			return program.PermitsChange(changeVariables(proposal, demand, zone, clock))
		},
	}
}

func changeVariables(proposal planner.Proposal, demand []planner.Demand, zone policy.Zone, clock policy.Clock) policy.RoleChangeVariables {
	variables := policy.RoleChangeVariables{Zone: zone, Clock: clock}
	variables.Change = policy.Change{
		Model: proposal.Model, From: string(proposal.From), To: string(proposal.To), Gain: proposal.Gain, Price: proposal.Price,
		PrefillUtilisation: proposal.PrefillUtilisation, DecodeUtilisation: proposal.DecodeUtilisation,
		SinceLast: proposal.SinceLastChange.Seconds(),
	}
	for _, modelDemand := range demand {
		if modelDemand.Model == proposal.Model {
			variables.Demand = policy.Demand{
				Requests: modelDemand.Requests, PromptTokens: modelDemand.PromptTokens, OutputTokens: modelDemand.OutputTokens,
				Queued: modelDemand.Queued, OldestWait: modelDemand.OldestWait.Seconds(), Missed: modelDemand.Missed, Age: modelDemand.Age.Seconds(),
			}
		}
	}
	return variables
}

// DescribeZone summarizes the engines of a zone for policy programs.
func DescribeZone(name string, engines []planner.EngineStatus, gateways int) policy.Zone {
	zone := policy.Zone{Name: name, Gateways: gateways}
	for _, engine := range engines {
		zone.AddEngine(string(engine.Desired.Role), engine.Draining)
	}
	return zone
}
