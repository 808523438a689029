package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// moveChecker checks every change of a placementZone against the rules.
type moveChecker struct {
	last map[string]time.Duration
}

// check returns an error if a step's changes break the rules. before is the input of
// the step.
func (c *moveChecker) check(now time.Duration, before Input, changes []Change) error {
	away := countAway(before.Engines)
	moves := map[string]int{}
	for _, change := range changes {
		status := statusOf(before.Engines, change.EngineID)
		if !changeable(status) {
			return fmt.Errorf("%s was changed, but must not be changed", change.EngineID)
		}
		if away++; away > before.Rules.MaximumAway {
			return fmt.Errorf("%d engines away, maximum is %d", away, before.Rules.MaximumAway)
		}
		if at, found := c.last[change.EngineID]; found && now-at < before.Rules.MinimumDwell {
			return fmt.Errorf("%s changed again after %v, within the minimum dwell", change.EngineID, now-at)
		}
		c.last[change.EngineID] = now
		if change.Target.Model == status.Desired.Model {
			continue
		}
		for _, model := range []string{status.Desired.Model, change.Target.Model} {
			if moves[model]++; moves[model] > 1 {
				return fmt.Errorf("more than one move from or to model %s", model)
			}
		}
		if err := c.checkMove(before, status, change); err != nil {
			return err
		}
	}
	return nil
}

func (c *moveChecker) checkMove(before Input, status EngineStatus, change Change) error {
	for _, model := range before.Models {
		if model.Name == change.Target.Model {
			if version, _ := model.Placement.ConfigurationFor(status.ID, nil); version == "" {
				return fmt.Errorf("%s is not allowed by the rules of %s", status.ID, model.Name)
			}
		}
		if model.Name == status.Desired.Model && servingOf(before.Engines, model.Name)-1 < model.Minimum {
			return fmt.Errorf("%s is left with fewer engines than its minimum of %d", model.Name, model.Minimum)
		}
	}
	return nil
}

func servingOf(engines []EngineStatus, model string) int {
	count := 0
	for index := range engines {
		if engines[index].Desired.Model == model && serves(&engines[index]) {
			count++
		}
	}
	return count
}

// TestMoveCheckerRejectsInvalidMoves guards against a checker that accepts moves that
// break the rules.
func TestMoveCheckerRejectsInvalidMoves(t *testing.T) {
	z := newPlacementZone(map[string]int{"a": 1, "b": 0}, "a", "a", "b")
	z.setRule("b", testRules{allows: []string{"e1", "e2"}})
	z.input.Rules.MinimumDwell = 10 * time.Second
	to := func(id, model string) Change {
		return Change{EngineID: id, Target: engineapi.Configuration{Role: engineapi.RoleMixed, Model: model, Version: "1"}}
	}
	cases := map[string]struct {
		change  func(input *Input)
		changes []Change
		valid   bool
	}{
		"a valid move":        {nil, []Change{to("e1", "b")}, true},
		"not allowed":         {nil, []Change{to("e0", "b")}, false},
		"too many away":       {nil, []Change{to("e1", "b"), to("e2", "a")}, false},
		"two of one model":    {func(input *Input) { input.Rules.MaximumAway = 2 }, []Change{to("e1", "b"), to("e2", "a")}, false},
		"below the minimum":   {func(input *Input) { input.Models[0].Minimum = 2 }, []Change{to("e1", "b")}, false},
		"an engine pinned":    {func(input *Input) { input.Engines[1].Pinned = true }, []Change{to("e1", "b")}, false},
		"before the dwell":    {nil, []Change{to("e2", "a")}, false},
		"no changes at all":   {nil, nil, true},
		"one away beforehand": {func(input *Input) { input.Engines[0].Draining = true }, []Change{to("e1", "b")}, false},
	}
	for name, test := range cases {
		input := z.input
		input.Engines = append([]EngineStatus(nil), z.input.Engines...)
		input.Models = append([]Model(nil), z.input.Models...)
		if test.change != nil {
			test.change(&input)
		}
		checker := &moveChecker{last: map[string]time.Duration{"e2": 15 * time.Second}}
		err := checker.check(20*time.Second, input, test.changes)
		require.Equal(t, test.valid, err == nil, "%s: %v", name, err)
	}
}

// drawPlacementZone draws rules and engines; with allPlaced, every engine starts with
// a model whose rules allow it.
func drawPlacementZone(t *rapid.T, allPlaced bool) *placementZone {
	names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "models")]
	engines := rapid.IntRange(1, 8).Draw(t, "engines")
	allowed := map[string][]string{}
	var models []string
	for number := range engines {
		id := fmt.Sprintf("e%d", number)
		var allowing []string
		for _, name := range names {
			if rapid.Bool().Draw(t, "taken") {
				allowing = append(allowing, name)
				allowed[name] = append(allowed[name], id)
			}
		}
		if !allPlaced || len(allowing) == 0 {
			models = append(models, rapid.SampledFrom(names).Draw(t, "model"))
		} else {
			models = append(models, rapid.SampledFrom(allowing).Draw(t, "model"))
		}
		if last := models[number]; allPlaced && len(allowing) == 0 {
			allowed[last] = append(allowed[last], id)
		}
	}
	minimums := map[string]int{}
	for _, name := range names {
		minimums[name] = rapid.IntRange(0, 3).Draw(t, "minimum")
	}
	z := newPlacementZone(minimums, models...)
	for _, name := range names {
		z.setRule(name, testRules{allows: append([]string{}, allowed[name]...)})
	}
	for number := range engines {
		z.setRole(fmt.Sprintf("e%d", number), rapid.SampledFrom(roles).Draw(t, "role"))
	}
	z.input.Rules.MaximumAway = rapid.IntRange(1, 3).Draw(t, "away")
	z.input.Rules.MinimumDwell = time.Duration(rapid.IntRange(0, 20).Draw(t, "dwell")) * time.Second
	return z
}

// satisfiable reports, by exhaustive search, whether the engines from an index on can
// provide the engines that the models are missing.
func satisfiable(z *placementZone, from int, missing map[string]int) bool {
	total := 0
	for _, count := range missing {
		total += max(count, 0)
	}
	if total == 0 || from == len(z.input.Engines) {
		return total == 0
	}
	for _, model := range z.input.Models {
		version, _ := model.Placement.ConfigurationFor(z.input.Engines[from].ID, nil)
		if version == "" || missing[model.Name] <= 0 {
			continue
		}
		missing[model.Name]--
		found := satisfiable(z, from+1, missing)
		missing[model.Name]++
		if found {
			return true
		}
	}
	return satisfiable(z, from+1, missing)
}

func (z *placementZone) missing() map[string]int {
	missing := map[string]int{}
	for _, model := range z.input.Models {
		missing[model.Name] = model.Minimum
	}
	return missing
}

// rulesHold reports whether all engines and minimums satisfy the rules.
func (z *placementZone) rulesHold() bool {
	counts := map[string]int{}
	for _, status := range z.input.Engines {
		model := z.model(status.Desired.Model)
		if version, _ := model.Placement.ConfigurationFor(status.ID, nil); version == "" {
			return false
		}
		counts[status.Desired.Model]++
	}
	for _, model := range z.input.Models {
		if counts[model.Name] < model.Minimum {
			return false
		}
	}
	return true
}

// settle runs a zone long enough for every engine to move once for each model, and
// checks every step. It then runs on for 60 s, in which nothing may change.
func settle(t *rapid.T, z *placementZone) {
	checker := &moveChecker{last: map[string]time.Duration{}}
	step := changeTime + z.input.Rules.MinimumDwell + z.planner.options.PlacementDelay
	bound := z.now + step*time.Duration(len(z.input.Engines)*len(z.input.Models))
	for z.now < bound {
		before := z.input
		before.Engines = append([]EngineStatus(nil), z.input.Engines...)
		for index := range before.Engines {
			if back, away := z.returnAt[before.Engines[index].ID]; away && z.now+time.Second >= back {
				before.Engines[index].Draining, before.Engines[index].Observed = false, before.Engines[index].Desired
			}
		}
		z.tick()
		require.NoError(t, checker.check(z.now, before, z.output.Changes))
	}
	made := len(z.changes)
	z.run(60)
	require.Len(t, z.changes, made, "engines are still changed: %v", z.changeList())
}

func TestPlacementReachesSatisfiableRules(t *testing.T) {
	met := 0
	rapid.Check(t, func(t *rapid.T) {
		z := drawPlacementZone(t, true)
		possible := satisfiable(z, 0, z.missing())
		settled := z.rulesHold()
		settle(t, z)
		if settled {
			require.Empty(t, z.changes, "the rules held from the start")
		}
		require.Equal(t, possible, z.rulesHold(), "holds: %v, moves: %v", z.output.Unplaced, z.changeList())
		require.Equal(t, possible, len(z.output.Unplaced) == 0)
		if possible && !settled {
			met++
		}
	})
	require.Positive(t, met, "no drawn zone needed a move")
}

// TestPlacementObeysRulesFromAnyStart starts with engines that may be misplaced.
// Placement may then end with a reason instead of satisfying the rules.
func TestPlacementObeysRulesFromAnyStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := drawPlacementZone(t, false)
		settle(t, z)
		require.Equal(t, z.rulesHold(), len(z.output.Unplaced) == 0, "%v", z.output.Unplaced)
		for _, waiting := range z.output.Unplaced {
			require.Contains(t, []Hold{HoldMinimumsExceedEngines, HoldRulesTakeTooFew, HoldNoSpare, HoldNoRule}, waiting.Hold)
		}
	})
}

func TestPlacementIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := drawPlacementZone(t, false)
		again := *z
		again.planner, again.returnAt = New(DefaultOptions()), map[string]time.Duration{}
		again.input.Engines = append([]EngineStatus(nil), z.input.Engines...)
		z.run(100)
		again.run(100)
		require.Equal(t, z.changes, again.changes)
	})
}
