package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// testRules are the placement rules of one model.
type testRules struct {
	version  string
	adapters []string
	// allows lists the allowed engines; nil allows all.
	allows []string
}

func (r testRules) HasRules() bool { return true }

func (r testRules) ConfigurationFor(engineID string, _ []string) (string, []string) {
	if r.allows != nil && !slices.Contains(r.allows, engineID) {
		return "", nil
	}
	return r.version, r.adapters
}

// placementZone simulates a zone of several models in virtual time, whose engines
// carry out every change.
type placementZone struct {
	planner  *Planner
	now      time.Duration
	input    Input
	returnAt map[string]time.Duration
	changes  []timedChange
	output   Output
}

// newPlacementZone returns a zone with an engine for each element of engines, which
// names its model. The models' rules allow all engines.
func newPlacementZone(minimums map[string]int, engines ...string) *placementZone {
	made := &placementZone{planner: New(DefaultOptions()), returnAt: map[string]time.Duration{}}
	for _, model := range []string{"a", "b", "c", "d"} {
		minimum, found := minimums[model]
		if !found {
			continue
		}
		made.input.Models = append(made.input.Models, Model{
			Name: model, Version: "1", FirstToken: 320 * time.Millisecond, BetweenTokens: 29 * time.Millisecond,
			Minimum: minimum, Placement: testRules{version: "1"},
		})
	}
	for number, model := range engines {
		configuration := engineapi.Configuration{Role: engineapi.RoleMixed, Model: model, Version: "1"}
		made.input.Engines = append(made.input.Engines, EngineStatus{
			ID: fmt.Sprintf("e%d", number), Desired: configuration, Observed: configuration,
			Phase: engineapi.PhaseServing, Reachable: true,
		})
	}
	made.input.Rules = Rules{MaximumAway: 1}
	made.input.GatewaysExpected, made.input.GatewaysReporting = 1, 1
	return made
}

func (z *placementZone) model(name string) *Model {
	index := slices.IndexFunc(z.input.Models, func(model Model) bool { return model.Name == name })
	return &z.input.Models[index]
}

func (z *placementZone) setRule(model string, rule testRules) {
	if rule.version == "" {
		rule.version = "1"
	}
	z.model(model).Placement = rule
}

// tick advances the time by a second and carries out the planner's changes.
func (z *placementZone) tick() {
	z.now += time.Second
	for index := range z.input.Engines {
		status := &z.input.Engines[index]
		if back, away := z.returnAt[status.ID]; away && z.now >= back {
			status.Draining, status.Observed = false, status.Desired
			delete(z.returnAt, status.ID)
		}
	}
	z.output = z.planner.Step(z.now, z.input)
	for _, change := range z.output.Changes {
		z.changes = append(z.changes, timedChange{z.now, change})
		for index := range z.input.Engines {
			if status := &z.input.Engines[index]; status.ID == change.EngineID {
				status.Desired, status.Draining = change.Target, true
				z.returnAt[status.ID] = z.now + changeTime
			}
		}
	}
}

func (z *placementZone) run(count int) {
	for range count {
		z.tick()
	}
}

// changeList returns the changes as engine:model:role.
func (z *placementZone) changeList() []string {
	list := []string{}
	for _, change := range z.changes {
		list = append(list, fmt.Sprintf("%s:%s:%s", change.EngineID, change.Target.Model, change.Target.Role))
	}
	return list
}

func (z *placementZone) hold(model string) Hold {
	for _, waiting := range z.output.Unplaced {
		if waiting.Model == model {
			return waiting.Hold
		}
	}
	return HoldNone
}

func TestEngineMovesToModelBelowMinimum(t *testing.T) {
	busy := Demand{Model: "a", Requests: 5, PromptTokens: 500, OutputTokens: 50}
	cases := map[string]struct {
		minimums map[string]int
		engines  []string
		change   func(z *placementZone)
		moved    []string
	}{
		"from a model above its minimum": {
			map[string]int{"a": 2, "b": 1, "c": 1}, []string{"a", "a", "b", "b"}, nil, []string{"e2:c:mixed"}},
		"the least busy engine": {
			map[string]int{"a": 1, "b": 1}, []string{"a", "a", "a"},
			func(z *placementZone) { z.input.Engines[0].InFlight, z.input.Engines[1].CachedBlocks = 3, 1 }, []string{"e2:b:mixed"}},
		"a misplaced engine first": {
			map[string]int{"a": 1, "b": 1}, []string{"a", "a", "a"},
			func(z *placementZone) {
				z.setRule("a", testRules{allows: []string{"e0", "e1"}})
				z.input.Engines[2].InFlight = 9
			}, []string{"e2:b:mixed"}},
		"only an allowed engine": {
			map[string]int{"a": 1, "b": 1}, []string{"a", "a", "a"},
			func(z *placementZone) { z.setRule("b", testRules{allows: []string{"e1"}}) }, []string{"e1:b:mixed"}},
		"through a third model, far end first": {
			map[string]int{"a": 1, "b": 1, "c": 1}, []string{"b", "c", "c"},
			func(z *placementZone) {
				z.setRule("a", testRules{allows: []string{"e0"}})
				z.setRule("b", testRules{allows: []string{"e0", "e1"}})
			}, []string{"e1:b:mixed", "e0:a:mixed"}},
		"two engines, one after the other": {
			map[string]int{"a": 1, "b": 2}, []string{"a", "a", "a"}, nil, []string{"e0:b:mixed", "e1:b:mixed"}},
		"from a model without placement": {
			map[string]int{"a": 0, "b": 1}, []string{"a", "a"},
			func(z *placementZone) { z.model("a").Placement = nil }, []string{"e0:b:mixed"}},
		"from a model absent from the configuration": {
			map[string]int{"a": 1}, []string{"gone"}, nil, []string{"e0:a:mixed"}},
		"an engine without which its model can still serve": {
			map[string]int{"a": 1, "b": 1}, []string{"a", "a", "a"},
			func(z *placementZone) {
				z.setRole("e0", engineapi.RolePrefill)
				z.setRole("e1", engineapi.RoleDecode)
				z.setRole("e2", engineapi.RoleDecode)
			}, []string{"e1:b:mixed"}},
		"after another engine has become mixed": {
			map[string]int{"a": 1, "b": 1}, []string{"a", "a"},
			func(z *placementZone) {
				z.setRole("e0", engineapi.RolePrefill)
				z.setRole("e1", engineapi.RoleDecode)
			}, []string{"e1:a:mixed", "e0:b:mixed"}},
		"while another model has demand": {
			map[string]int{"a": 1, "b": 1}, []string{"a", "a"},
			func(z *placementZone) { z.input.Demand = []Demand{busy} }, []string{"e0:b:mixed"}},
		"in the role that the demand needs": {
			map[string]int{"a": 2, "b": 1}, []string{"a", "b", "b"},
			func(z *placementZone) {
				z.setRole("e0", engineapi.RoleDecode)
				z.input.Demand = []Demand{{Model: "a", Requests: 14, PromptTokens: 14 * 1000, OutputTokens: 14 * 60}}
				z.input.Rules.Price = 1e9
			}, []string{"e1:a:prefill"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			z := newPlacementZone(test.minimums, test.engines...)
			if test.change != nil {
				test.change(z)
			}
			z.run(120)
			assert.Equal(t, test.moved, z.changeList())
			assert.Empty(t, z.output.Unplaced)
		})
	}
}

func (z *placementZone) setRole(id string, role engineapi.Role) {
	for index := range z.input.Engines {
		if status := &z.input.Engines[index]; status.ID == id {
			status.Desired.Role, status.Observed.Role = role, role
		}
	}
}

func TestMisplacedEngineIsMoved(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 1, "b": 1, "c": 0}, "a", "a", "a", "b", "c", "c")
	z.setRule("a", testRules{allows: []string{"e0"}})
	z.setRule("c", testRules{allows: []string{"e4", "e5"}})
	z.run(120)
	assert.Equal(t, []string{"e1:b:mixed", "e2:b:mixed"}, z.changeList())
	assert.Empty(t, z.output.Unplaced)
}

func TestPlacementHolds(t *testing.T) {
	everyEngine := func(change func(status *EngineStatus)) func(z *placementZone) {
		return func(z *placementZone) {
			for index := range z.input.Engines {
				change(&z.input.Engines[index])
			}
		}
	}
	cases := map[string]struct {
		minimums map[string]int
		engines  []string
		change   func(z *placementZone)
		hold     Hold
	}{
		"minimums above the number of engines": {map[string]int{"a": 2, "b": 1}, []string{"a", "a"}, nil, HoldMinimumsExceedEngines},
		"a rule that allows too few engines": {map[string]int{"a": 1, "b": 1}, []string{"a", "a"},
			func(z *placementZone) { z.setRule("b", testRules{allows: []string{"e9"}}) }, HoldRulesTakeTooFew},
		"engines needed by their models": {map[string]int{"a": 1, "b": 1, "c": 0}, []string{"a", "c"},
			func(z *placementZone) {
				z.setRule("b", testRules{allows: []string{"e0"}})
				z.setRule("a", testRules{allows: []string{"e0"}})
			}, HoldNoSpare},
		"the last engine of a model with demand": {map[string]int{"a": 0, "b": 1}, []string{"a"},
			func(z *placementZone) {
				z.input.Demand = []Demand{{Model: "a", Requests: 1, PromptTokens: 9, OutputTokens: 9}}
			}, HoldNoSpare},
		"a policy that forbids changes of its model": {map[string]int{"a": 1, "b": 1}, []string{"a", "a"},
			func(z *placementZone) { z.model("a").Rules = &Rules{} }, HoldForbidden},
		"engines pinned by operators": {map[string]int{"a": 1, "b": 1}, []string{"a", "a", "a"},
			func(z *placementZone) { z.input.Engines[0].Pinned, z.input.Engines[1].Pinned = true, true }, HoldMinimumsExceedEngines},
		"an unresponsive gateway that may dispatch": {map[string]int{"a": 1, "b": 1}, []string{"a", "a"},
			everyEngine(func(status *EngineStatus) { status.Isolated = true }), HoldNoEngine},
		"another engine away": {map[string]int{"a": 1, "b": 1, "c": 0}, []string{"a", "a", "c"},
			func(z *placementZone) { z.input.Engines[2].Draining = true; z.returnAt["e2"] = time.Hour }, HoldAway},
		"engines with an abandoned target": {map[string]int{"a": 1, "b": 1}, []string{"a", "a"},
			everyEngine(func(status *EngineStatus) {
				status.AbandonedTarget = &engineapi.Configuration{Role: engineapi.RoleDecode, Model: "b", Version: "1"}
			}), HoldAbandoned},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			z := newPlacementZone(test.minimums, test.engines...)
			if test.change != nil {
				test.change(z)
			}
			if test.hold == HoldAbandoned {
				z.run(1)
				for _, record := range z.planner.fleet.engines {
					record.configuredAt = z.now
				}
			}
			z.run(60)
			assert.Empty(t, z.changeList())
			assert.Equal(t, test.hold, z.hold("b"))
			if test.hold == HoldAbandoned {
				z.run(int(abandonedRetryDelay / time.Second))
				assert.Equal(t, []string{"e0:b:mixed"}, z.changeList())
			}
		})
	}
}

func TestNoEngineMovesOnStaleInput(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 1, "b": 1}, "a", "a")
	z.input.GatewaysReporting = 0
	z.run(60)
	assert.Empty(t, z.changeList())
	assert.Equal(t, HoldStale, z.output.Hold)
	z.input.GatewaysReporting = 1
	z.run(60)
	assert.Equal(t, []string{"e0:b:mixed"}, z.changeList())
}

func TestBriefShortageCausesNoMove(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 1, "b": 1}, "a", "a", "b")
	z.run(30)
	z.input.Engines[2].Reachable = false
	z.run(5)
	assert.Equal(t, HoldRecentShortage, z.hold("b"))
	z.input.Engines[2].Reachable = true
	z.run(30)
	assert.Empty(t, z.changeList())
}

func TestMinimumDwellHoldsMoves(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 0, "b": 0}, "a")
	dwell := 50 * time.Second
	z.model("b").Rules = &Rules{MinimumDwell: dwell, MaximumAway: 1}
	for round := range 6 {
		z.model("a").Minimum, z.model("b").Minimum = round%2, 1-round%2
		z.run(40)
	}
	require.Greater(t, len(z.changes), 1)
	for index := 1; index < len(z.changes); index++ {
		assert.GreaterOrEqual(t, z.changes[index].at-z.changes[index-1].at, dwell+changeTime)
	}
}

func TestAdaptersAreLoadedWithoutMove(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 0}, "a", "a")
	z.input.Engines[0].Desired.Adapters = []string{"kept"}
	z.input.Engines[0].Observed.Adapters = []string{"kept"}
	z.run(30)
	require.Empty(t, z.changes, "a rule without adapters leaves them unchanged")
	z.setRule("a", testRules{adapters: []string{"x", "y"}})
	z.run(30)
	require.Equal(t, []string{"e0:a:mixed", "e1:a:mixed"}, z.changeList())
	assert.GreaterOrEqual(t, z.changes[1].at-z.changes[0].at, changeTime, "one at a time")
	for _, change := range z.changes {
		assert.Equal(t, []string{"x", "y"}, change.Target.Adapters)
	}
	z.setRule("a", testRules{adapters: []string{"y", "x"}})
	z.run(30)
	require.Len(t, z.changes, 2, "the order of adapters must not matter")
	z.setRule("a", testRules{version: "2", adapters: []string{"z"}})
	z.run(30)
	require.Len(t, z.changes, 2, "rollouts introduce versions together with their adapters")
}

func TestMoveKeepsVersionOfModelsEngines(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 1, "b": 1, "c": 3}, "a", "a", "a", "c", "c", "c")
	z.setRule("b", testRules{version: "2", adapters: []string{"x"}})
	z.run(60)
	require.Equal(t, []string{"e0:b:mixed"}, z.changeList())
	assert.Equal(t, "2", z.changes[0].Target.Version, "no engine runs the model: the rule's version applies")
	assert.Equal(t, []string{"x"}, z.changes[0].Target.Adapters)
	z.setRule("b", testRules{version: "3"})
	z.model("b").Minimum = 2
	z.run(60)
	require.Equal(t, []string{"e0:b:mixed", "e1:b:mixed"}, z.changeList())
	assert.Equal(t, "2", z.changes[1].Target.Version, "the version of most of the model's engines applies")
}
