package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

const testModel = "booking"

// zone simulates, for one planner, the reports of a zone of engines with trueSpeed,
// and carries out the planner's changes.
type zone struct {
	planner  *Planner
	now      time.Duration
	input    Input
	reports  map[string]*fakeEngine
	returnAt map[string]time.Duration
	changes  []timedChange
}

type timedChange struct {
	at time.Duration
	Change
}

// changeTime is the time for which a change keeps an engine away.
const changeTime = 6 * time.Second

func newZone(options Options, split Split) *zone {
	made := &zone{planner: New(options), reports: map[string]*fakeEngine{}, returnAt: map[string]time.Duration{}}
	add := func(role engineapi.Role, count int) {
		for range count {
			id := fmt.Sprintf("e%d", len(made.input.Engines))
			configuration := engineapi.Configuration{Role: role, Model: testModel, Version: "1"}
			made.input.Engines = append(made.input.Engines, EngineStatus{
				ID: id, Desired: configuration, Observed: configuration, Phase: engineapi.PhaseServing, Reachable: true,
			})
			made.reports[id] = &fakeEngine{report: engineapi.LoadReport{Incarnation: 1, KVCapacityTokens: 180_000}}
		}
	}
	add(engineapi.RolePrefill, split.Prefill)
	add(engineapi.RoleDecode, split.Decode)
	add(engineapi.RoleMixed, split.Mixed)
	made.input.Models = []Model{{Name: testModel, Version: "1", FirstToken: 320 * time.Millisecond, BetweenTokens: 29 * time.Millisecond}}
	made.input.Rules = Rules{Price: 2, MinimumDwell: 5 * time.Second, MaximumAway: 1}
	made.input.GatewaysExpected, made.input.GatewaysReporting = 2, 2
	return made
}

// Demand of two kinds of requests.
var (
	promptHeavy = Demand{Model: testModel, Requests: 20, PromptTokens: 20 * 1000, OutputTokens: 20 * 14}
	outputHeavy = Demand{Model: testModel, Requests: 25, PromptTokens: 25 * 180, OutputTokens: 25 * 260}
)

// tick advances the time by a second under a demand and carries out the planner's
// changes.
func (z *zone) tick(demand Demand) Output {
	z.now += time.Second
	z.input.Demand = []Demand{demand}
	for index := range z.input.Engines {
		z.work(&z.input.Engines[index])
	}
	output := z.planner.Step(z.now, z.input)
	for _, change := range output.Changes {
		z.changes = append(z.changes, timedChange{z.now, change})
		for index := range z.input.Engines {
			if status := &z.input.Engines[index]; status.ID == change.EngineID {
				status.Desired, status.Draining = change.Target, true
				z.returnAt[status.ID] = z.now + changeTime
			}
		}
	}
	return output
}

func (z *zone) work(status *EngineStatus) {
	if status.Draining && z.now >= z.returnAt[status.ID] {
		status.Draining, status.Observed = false, status.Desired
	}
	prompts, sequences := 300, 10
	switch status.Observed.Role {
	case engineapi.RolePrefill:
		sequences = 0
	case engineapi.RoleDecode:
		prompts = 0
	}
	engine := z.reports[status.ID]
	engine.run(20, sequences+len(status.ID)+int(engine.report.Sequence%7), prompts+int(engine.report.Sequence%5)*40)
	status.Load = engine.report
}

func (z *zone) run(count int, demand Demand) {
	for range count {
		z.tick(demand)
	}
}

func (z *zone) split() Split { return splitOf(z.input.Engines, testModel) }

func TestPlannerFollowsDemandShift(t *testing.T) {
	z := newZone(DefaultOptions(), Split{Prefill: 2, Decode: 1})
	z.run(60, promptHeavy)
	require.Empty(t, z.changes, "the split suits the demand")
	z.run(60, outputHeavy)
	require.NotEmpty(t, z.changes)
	assert.Equal(t, 1, z.split().Prefill)
	assert.Less(t, z.changes[0].at, 80*time.Second)
}

// blend mixes the two kinds of demand; share is the prompt-heavy part.
func blend(share float64) Demand {
	return Demand{
		Model:        testModel,
		Requests:     share*promptHeavy.Requests + (1-share)*outputHeavy.Requests,
		PromptTokens: share*promptHeavy.PromptTokens + (1-share)*outputHeavy.PromptTokens,
		OutputTokens: share*promptHeavy.OutputTokens + (1-share)*outputHeavy.OutputTokens,
	}
}

// TestOscillatingDemandCausesNoRepeatedChanges guards against roles changing back and
// forth when demand swings around the point at which the best split changes.
func TestOscillatingDemandCausesNoRepeatedChanges(t *testing.T) {
	swing := func(z *zone) int {
		for range 30 {
			z.run(5, blend(0.25))
			z.run(5, blend(0.55))
		}
		return len(z.changes)
	}
	damped := newZone(DefaultOptions(), Split{Prefill: 1, Decode: 1, Mixed: 1})
	assert.LessOrEqual(t, swing(damped), 2)

	options := DefaultOptions()
	options.RegretShare, options.MinimumGain, options.DemandTimeConstant = 0, 0, 100*time.Millisecond
	undamped := newZone(options, Split{Prefill: 1, Decode: 1, Mixed: 1})
	undamped.input.Rules = Rules{MaximumAway: 1}
	assert.Greater(t, swing(undamped), 4, "without regret, minimum gain and smoothing the same swings must cause changes")
}

func TestRoleChangeHolds(t *testing.T) {
	cases := map[string]struct {
		change func(*zone)
		hold   Hold
	}{
		"demand from too few gateways": {func(z *zone) { z.input.GatewaysReporting = 1 }, HoldStale},
		"old load reports": {func(z *zone) {
			for index := range z.input.Engines {
				z.input.Engines[index].LoadAge = time.Minute
			}
		}, HoldStale},
		"no gateway":                {func(z *zone) { z.input.GatewaysExpected, z.input.GatewaysReporting = 0, 0 }, HoldStale},
		"maximum away of 0":         {func(z *zone) { z.input.Rules.MaximumAway = 0 }, HoldForbidden},
		"a price above any gain":    {func(z *zone) { z.input.Rules.Price = 1e6 }, HoldWellPlaced},
		"the policy's condition":    {func(z *zone) { z.input.Rules.Permit = func(Proposal) bool { return false } }, HoldPolicy},
		"an engine is already away": {func(z *zone) { z.input.Engines[2].Draining = true; z.returnAt["e2"] = time.Hour }, HoldAway},
		"engines pinned by an operator": {func(z *zone) {
			for index := range z.input.Engines {
				z.input.Engines[index].Pinned = true
			}
		}, HoldWellPlaced},
		"an unresponsive gateway may still dispatch": {func(z *zone) {
			for index := range z.input.Engines {
				z.input.Engines[index].Isolated = true
			}
		}, HoldNoEngine},
	}
	for name, test := range cases {
		z := newZone(DefaultOptions(), Split{Prefill: 2, Decode: 1})
		z.run(40, promptHeavy)
		test.change(z)
		holds := map[Hold]bool{}
		for range 40 {
			holds[z.tick(outputHeavy).Hold] = true
		}
		assert.Empty(t, z.changes, name)
		assert.True(t, holds[test.hold], "%s: held by %v", name, holds)
	}
}

// TestEachModelHasItsOwnRules guards against applying the zone's price or condition to
// a model that has rules of its own. Only a zone bound of 0 forbids its changes.
func TestEachModelHasItsOwnRules(t *testing.T) {
	permissive := Rules{Price: 2, MinimumDwell: 5 * time.Second, MaximumAway: 1}
	cases := map[string]struct {
		zone    Rules
		model   Rules
		changes bool
	}{
		"permissive":                {Rules{Price: 1e6, MaximumAway: 1}, permissive, true},
		"a price above any gain":    {permissive, Rules{Price: 1e6, MaximumAway: 1}, false},
		"a condition":               {permissive, Rules{MaximumAway: 1, Permit: func(Proposal) bool { return false }}, false},
		"changes forbidden":         {permissive, Rules{}, false},
		"changes forbidden in zone": {Rules{}, permissive, false},
	}
	for name, test := range cases {
		z := newZone(DefaultOptions(), Split{Prefill: 2, Decode: 1})
		z.input.Rules = test.zone
		z.input.Models[0].Rules = &test.model
		z.run(40, promptHeavy)
		z.run(60, outputHeavy)
		assert.Equal(t, test.changes, len(z.changes) > 0, name)
	}
}

func TestDwellKeepsAnEngineInItsRole(t *testing.T) {
	z := newZone(DefaultOptions(), Split{Prefill: 2, Decode: 1})
	z.input.Rules.MinimumDwell = 40 * time.Second
	for range 4 {
		z.run(60, promptHeavy)
		z.run(60, outputHeavy)
	}
	require.NotEmpty(t, z.changes)
	last := map[string]time.Duration{}
	for _, change := range z.changes {
		if before, found := last[change.EngineID]; found {
			assert.GreaterOrEqual(t, change.at-before, 40*time.Second+changeTime)
		}
		last[change.EngineID] = change.at
	}
}

// TestChangesObeyRulesOnArbitraryInput checks the rules on random inputs, including
// implausible ones.
func TestChangesObeyRulesOnArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := DefaultOptions()
		options.RegretShare, options.WarmUp, options.MinimumGain = 0, 0, 0
		z := newZone(options, Split{Prefill: 2, Decode: 2, Mixed: 2})
		z.input.Rules = Rules{
			Price:        rapid.Float64Range(0, 5).Draw(t, "price"),
			MinimumDwell: time.Duration(rapid.IntRange(0, 20).Draw(t, "dwell")) * time.Second,
			MaximumAway:  rapid.IntRange(0, 3).Draw(t, "away"),
		}
		last := map[string]time.Duration{}
		for range 40 {
			demand := Demand{
				Model:        testModel,
				Requests:     rapid.Float64Range(0, 60).Draw(t, "requests"),
				PromptTokens: rapid.Float64Range(0, 60_000).Draw(t, "prompts"),
				OutputTokens: rapid.Float64Range(0, 20_000).Draw(t, "outputs"),
				Age:          time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second,
			}
			z.input.GatewaysReporting = rapid.IntRange(0, 2).Draw(t, "reporting")
			for index := range z.input.Engines {
				z.input.Engines[index].Reachable = rapid.IntRange(0, 9).Draw(t, "reachable") > 0
				z.input.Engines[index].Isolated = rapid.IntRange(0, 9).Draw(t, "isolated") == 0
			}
			awayBefore := countAway(z.input.Engines)
			before := append([]EngineStatus(nil), z.input.Engines...)
			output := z.tick(demand)
			if len(output.Changes) == 0 {
				continue
			}
			require.Equal(t, 2, z.input.GatewaysReporting, "changed with only part of the gateways reporting")
			require.LessOrEqual(t, demand.Age, options.MaximumInputAge)
			require.LessOrEqual(t, awayBefore+len(output.Changes), z.input.Rules.MaximumAway+awayBefore)
			require.LessOrEqual(t, len(output.Changes), z.input.Rules.MaximumAway)
			for _, change := range output.Changes {
				status := statusOf(before, change.EngineID)
				require.True(t, status.Reachable && !status.Isolated, "changed an engine that must not be changed")
				require.NotEqual(t, status.Desired.Role, change.Target.Role)
				require.Equal(t, status.Desired.Model, change.Target.Model)
				if at, found := last[change.EngineID]; found {
					require.GreaterOrEqual(t, z.now-at, z.input.Rules.MinimumDwell)
				}
				last[change.EngineID] = z.now
			}
		}
	})
}

func statusOf(engines []EngineStatus, id string) EngineStatus {
	for _, status := range engines {
		if status.ID == id {
			return status
		}
	}
	return EngineStatus{}
}

func TestGoodputNeverExceedsTheDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		split := Split{
			Prefill: rapid.IntRange(0, 4).Draw(t, "prefill"),
			Decode:  rapid.IntRange(0, 4).Draw(t, "decode"),
			Mixed:   rapid.IntRange(0, 4).Draw(t, "mixed"),
		}
		load := Workload{
			Requests:     rapid.Float64Range(0, 100).Draw(t, "requests"),
			PromptTokens: rapid.Float64Range(1, 3000).Draw(t, "prompt"),
			OutputTokens: rapid.Float64Range(1, 800).Draw(t, "output"),
		}
		objectives := Objectives{FirstToken: 0.32, BetweenTokens: 0.029}
		goodput := Goodput(trueSpeed, split, load, objectives)
		require.GreaterOrEqual(t, goodput, 0.0)
		require.LessOrEqual(t, goodput, load.Requests+1e-9)
		if split.Prefill+split.Mixed == 0 || split.Decode+split.Mixed == 0 {
			require.Zero(t, goodput, "no engine can prefill, or none can decode")
		}
	})
}

func TestMorePureEnginesNeverHurt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		split := Split{Prefill: rapid.IntRange(1, 5).Draw(t, "prefill"), Decode: rapid.IntRange(1, 5).Draw(t, "decode")}
		load := Workload{Requests: rapid.Float64Range(1, 100).Draw(t, "requests"), PromptTokens: 500, OutputTokens: 80}
		objectives := Objectives{FirstToken: 0.32, BetweenTokens: 0.029}
		less := Goodput(trueSpeed, split, load, objectives)
		require.GreaterOrEqual(t, Goodput(trueSpeed, split.with(engineapi.RoleDecode, 1), load, objectives), less-1e-9)
		require.GreaterOrEqual(t, Goodput(trueSpeed, split.with(engineapi.RolePrefill, 1), load, objectives), 0.98*less)
	})
}
