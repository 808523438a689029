package policyinput_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
)

var evening = policy.Clock{Hour: 18}

func engines() []planner.EngineStatus {
	status := func(id string, role engineapi.Role, draining bool) planner.EngineStatus {
		return planner.EngineStatus{ID: id, Desired: engineapi.Configuration{Role: role, Model: "m", Version: "1"}, Draining: draining}
	}
	return []planner.EngineStatus{
		status("a", engineapi.RoleMixed, false), status("b", engineapi.RolePrefill, true), status("c", engineapi.RoleDecode, false),
	}
}

func TestDescribeZone(t *testing.T) {
	zone := policyinput.DescribeZone("z", engines(), 2)
	assert.Equal(t, policy.Zone{Name: "z", Engines: 3, Prefill: 1, Decode: 1, Mixed: 1, Away: 1, Gateways: 2}, zone)
}

func TestFirstMatchingPlacementRuleApplies(t *testing.T) {
	model := dynamic.Model{Name: "m", Version: "1"}
	place := func(rules ...dynamic.PlacementRule) policyinput.Placement {
		program, problems := policy.Compile(dynamic.Policy{Name: "p", Placement: rules})
		require.Empty(t, problems)
		return policyinput.NewPlacement(model, program, engines(), policyinput.DescribeZone("z", engines(), 2), evening)
	}
	first := dynamic.PlacementRule{Model: "m", Version: "2", Adapters: []string{"x"}, Condition: "engine.index == 0 or engine.role == 'prefill'"}
	second := dynamic.PlacementRule{Model: "m", Version: "3", Condition: "engine.id == 'b' and clock.hour == 18"}
	other := dynamic.PlacementRule{Model: "other", Version: "9"}
	failing := dynamic.PlacementRule{Model: "m", Version: "4", Condition: "1 % (zone.gateways - 2) == 1"}
	_, problems := policy.Compile(dynamic.Policy{Name: "p", Placement: []dynamic.PlacementRule{failing}})
	require.NotEmpty(t, problems, "the compiler's check evaluates the condition with two gateways")
	cases := map[string]struct {
		rules   []dynamic.PlacementRule
		engine  string
		version string
	}{
		"first of two":         {[]dynamic.PlacementRule{other, first, second}, "b", "2"},
		"second of two":        {[]dynamic.PlacementRule{second, first}, "b", "3"},
		"no rule allows it":    {[]dynamic.PlacementRule{first, second}, "c", ""},
		"no rule":              {nil, "a", "1"},
		"only another model's": {[]dynamic.PlacementRule{other}, "a", "1"},
	}
	for name, test := range cases {
		placement := place(test.rules...)
		version, _ := placement.ConfigurationFor(test.engine, nil)
		assert.Equal(t, test.version, version, name)
	}
	builtin := policyinput.NewPlacement(model, nil, engines(), policy.Zone{}, evening)
	version, adapters := builtin.ConfigurationFor("a", []string{"kept"})
	assert.Equal(t, "1", version)
	assert.Equal(t, []string{"kept"}, adapters)
}

func TestRulesComeFromPolicyOfModel(t *testing.T) {
	builtin := policyinput.Rules(nil, nil, policy.Zone{}, evening)
	assert.Equal(t, planner.Rules{MaximumAway: policyinput.BuiltinMaximumAway}, builtin)
	set := policy.CompileSet([]dynamic.Policy{{
		Name: "a", Models: []string{"m"},
		RoleChange: dynamic.RoleChangeRule{
			Price: 9, PriceProgram: "clock.hour >= 17 ? 1 : 9", MinimumDwellSeconds: 1.5, MaximumAway: 2,
			Condition: "change.gain > 2 * change.price and demand.queued == 4 and change.since_last >= 60 and change.to == 'prefill'",
		},
	}, {Name: "b", Models: []string{"other"}, RoleChange: dynamic.RoleChangeRule{Price: 100}}})
	demand := []planner.Demand{{Model: "other"}, {Model: "m", Queued: 4}}
	input := planner.Input{Engines: engines(), Demand: demand}
	models := []dynamic.Model{{Name: "free"}, {Name: "m"}, {Name: "other"}}
	policyinput.Apply(&input, models, set, policy.Zone{}, evening)
	require.Len(t, input.Models, len(models))
	assert.Equal(t, &builtin, input.Models[0].Rules, "no policy governs the model")
	rules := input.Models[1].Rules
	assert.InDelta(t, 1, rules.Price, 0)
	assert.Equal(t, 1500*time.Millisecond, rules.MinimumDwell)
	assert.Equal(t, 2, rules.MaximumAway)
	proposal := planner.Proposal{Model: "m", To: engineapi.RolePrefill, Gain: 3, Price: 1, SinceLastChange: time.Minute}
	assert.True(t, rules.Permit(proposal))
	proposal.Gain = 2
	assert.False(t, rules.Permit(proposal))
	proposal.Gain, proposal.Model = 3, "other"
	assert.False(t, rules.Permit(proposal), "another model's queue")
	assert.InDelta(t, 100, input.Models[2].Rules.Price, 0)
	assert.True(t, input.Models[2].Rules.Permit(proposal), "the model's own policy has no condition")
	assert.Equal(t, 2, input.Rules.MaximumAway, "a policy that forbids changes applies to its own models only")
}

func TestZoneBoundIsSmallestNonzeroBound(t *testing.T) {
	cases := map[string]struct {
		bounds []int
		want   int
	}{
		"no policy":  {nil, policyinput.BuiltinMaximumAway},
		"one":        {[]int{3}, 3},
		"smallest":   {[]int{4, 2, 3}, 2},
		"one is 0":   {[]int{4, 0, 3}, 3},
		"all are 0":  {[]int{0, 0}, 0},
		"single one": {[]int{0}, 0},
	}
	for name, test := range cases {
		var documents []dynamic.Policy
		for index, bound := range test.bounds {
			documents = append(documents, dynamic.Policy{Name: string(rune('a' + index)), RoleChange: dynamic.RoleChangeRule{MaximumAway: bound}})
		}
		assert.Equal(t, test.want, policyinput.MaximumAway(policy.CompileSet(documents)), name)
	}
}
