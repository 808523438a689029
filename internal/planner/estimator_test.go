package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// trueSpeed is the speed of the simulated engines.
var trueSpeed = Speed{StepBase: 0.012, PerSequence: 0.00008, PerPromptToken: 0.00007, ChunkTokens: 512, MaximumSequences: 64, KVCapacity: 180_000}

// fakeEngine produces the load report counters of an engine.
type fakeEngine struct {
	report engineapi.LoadReport
}

// run adds steps that each hold so many sequences and prompt tokens.
func (e *fakeEngine) run(steps, sequences, prompts int) {
	duration := trueSpeed.StepBase + trueSpeed.PerSequence*float64(sequences) + trueSpeed.PerPromptToken*float64(prompts)
	e.report.StepsTotal += uint64(steps)
	e.report.StepMillisTotal += float64(steps) * duration * millisPerSecond
	e.report.OutputTokensTotal += uint64(steps * sequences)
	e.report.PromptTokensTotal += uint64(steps * prompts)
	e.report.Sequence++
}

func TestSpeedEstimateIgnoresIdleTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := newSpeedEstimator(DefaultOptions().Prior)
		engine := &fakeEngine{}
		for range 400 {
			older := engine.report
			sequences := rapid.IntRange(0, 60).Draw(t, "sequences")
			prompts := rapid.IntRange(0, 1500).Draw(t, "prompts")
			// The interval is longer than the steps took: the engine was idle in between.
			engine.run(rapid.IntRange(4, 20).Draw(t, "steps"), sequences, prompts)
			seconds := rapid.Float64Range(2, 30).Draw(t, "seconds")
			measured, ok := intervalBetween(older, engine.report, seconds)
			require.True(t, ok)
			estimator.observe(measured)
		}
		learned := estimator.speed()
		assert.InEpsilon(t, trueSpeed.StepBase, learned.StepBase, 0.05)
		assert.InEpsilon(t, trueSpeed.PerPromptToken, learned.PerPromptToken, 0.05)
		assert.InEpsilon(t, trueSpeed.PerSequence, learned.PerSequence, 0.10)
	})
}

func TestIncomparableReportsAreIgnored(t *testing.T) {
	base := engineapi.LoadReport{Incarnation: 3, Sequence: 10, StepsTotal: 100, PromptTokensTotal: 1000, OutputTokensTotal: 500}
	cases := map[string]struct {
		change  func(*engineapi.LoadReport)
		seconds float64
		want    bool
	}{
		"newer":               {func(r *engineapi.LoadReport) { r.Sequence++; r.StepsTotal += 9 }, 1, true},
		"the same report":     {func(*engineapi.LoadReport) {}, 1, false},
		"an older report":     {func(r *engineapi.LoadReport) { r.Sequence-- }, 1, false},
		"another incarnation": {func(r *engineapi.LoadReport) { r.Sequence++; r.Incarnation++ }, 1, false},
		"no time between":     {func(r *engineapi.LoadReport) { r.Sequence++ }, 0, false},
		"a counter decreased": {func(r *engineapi.LoadReport) { r.Sequence++; r.StepsTotal = 1 }, 1, false},
	}
	for name, test := range cases {
		newer := base
		test.change(&newer)
		_, ok := intervalBetween(base, newer, test.seconds)
		assert.Equal(t, test.want, ok, name)
	}
}

func TestIntervalsWithTooFewStepsAreIgnored(t *testing.T) {
	estimator := newSpeedEstimator(DefaultOptions().Prior)
	estimator.observe(interval{steps: minimumSteps - 1, stepSeconds: 5})
	assert.Zero(t, estimator.samples)
	assert.Equal(t, DefaultOptions().Prior.StepBase, estimator.speed().StepBase)
}

func TestEstimateStaysFiniteOnConstantInput(t *testing.T) {
	estimator := newSpeedEstimator(DefaultOptions().Prior)
	for range 20_000 {
		estimator.observe(interval{steps: 10, stepSeconds: 0.0128, stepSequences: 10})
	}
	learned := estimator.speed()
	assert.InEpsilon(t, 0.0128, learned.StepBase+10*learned.PerSequence, 0.01)
}

// TestMixedGoodputUsesActualStepTime guards against assuming that steps last as long
// as the objective allows: a batch limited by the number of sequences runs shorter
// steps.
func TestMixedGoodputUsesActualStepTime(t *testing.T) {
	speed := DefaultOptions().Prior
	load := Workload{Requests: 133, PromptTokens: 16, OutputTokens: 64}
	twoMixed := Split{Mixed: 2}
	for _, objective := range []float64{0.05, 0.1, 1, 10} {
		objectives := Objectives{FirstToken: 10 * objective, BetweenTokens: objective}
		colocated := Goodput(speed, twoMixed, load, objectives)
		disaggregated := Goodput(speed, Split{Prefill: 1, Decode: 1}, load, objectives)
		assert.Greater(t, colocated, 1.5*disaggregated, "objective between tokens %v s", objective)
	}
}
