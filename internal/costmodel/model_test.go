package costmodel_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/costmodel"
)

// engine reads as an engine of a pace does.
type engine struct {
	fixed          time.Duration
	tokensPerMilli float64
	// pairMillis are the milliseconds for a million pairs.
	pairMillis float64
}

func (e engine) busy(work costmodel.Work) time.Duration {
	tokens, kept := float64(work.Tokens), float64(work.Tokens-work.Missing)
	millis := float64(work.Missing)/e.tokensPerMilli + e.pairMillis*(tokens*tokens-kept*kept)/2e6
	return time.Duration(millis * float64(time.Millisecond))
}

func (e engine) teach(model *costmodel.Model, random *rand.Rand, prompts int) {
	for range prompts {
		work := prompt(random)
		noise := 0.95 + 0.1*random.Float64()
		model.Observe(work, time.Duration(noise*float64(e.fixed+e.busy(work))))
	}
}

func prompt(random *rand.Rand) costmodel.Work {
	tokens := 500 + int(random.ExpFloat64()*9000)
	return costmodel.Work{Tokens: tokens, Missing: 1 + random.IntN(tokens)}
}

const aim = 400 * time.Millisecond

var engines = map[string]engine{
	"fast":      {fixed: 7 * time.Millisecond, tokensPerMilli: 300, pairMillis: 0.15},
	"slow":      {fixed: 20 * time.Millisecond, tokensPerMilli: 37, pairMillis: 0.8},
	"very slow": {fixed: 90 * time.Millisecond, tokensPerMilli: 4, pairMillis: 9},
	"linear":    {fixed: 7 * time.Millisecond, tokensPerMilli: 50},
}

func TestAnEnginesTimesAreLearnedFromAFewPrompts(t *testing.T) {
	for name, taught := range engines {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			model := &costmodel.Model{}
			taught.teach(model, random, 40)
			for range 50 {
				work := prompt(random)
				expected := taught.fixed + taught.busy(work)
				predicted := model.Overhead() + model.ReadTime(work)
				assert.InEpsilon(t, expected.Seconds(), predicted.Seconds(), 0.15, "%+v", work)
			}
		})
	}
}

func TestReplacedEnginesAreLearnedAnew(t *testing.T) {
	for _, names := range [][2]string{{"fast", "very slow"}, {"very slow", "fast"}} {
		random := rand.New(rand.NewPCG(2, 2))
		model := &costmodel.Model{}
		engines[names[0]].teach(model, random, 100)
		engines[names[1]].teach(model, random, 300)
		work := costmodel.Work{Tokens: 9000, Missing: 6000}
		assert.InEpsilon(t, engines[names[1]].busy(work).Seconds(), model.ReadTime(work).Seconds(), 0.2, "%v", names)
	}
}

func TestAbsurdTimesMoveTheModelLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	model := &costmodel.Model{}
	engines["fast"].teach(model, random, 64)
	work := costmodel.Work{Tokens: 9000, Missing: 6000}
	before := model.ReadTime(work)
	for _, absurd := range []time.Duration{time.Nanosecond, time.Hour, -time.Second, 0} {
		model.Observe(work, absurd)
	}
	model.Observe(costmodel.Work{Tokens: 10, Missing: 1_000_000}, time.Second)
	model.Observe(costmodel.Work{Tokens: math.MaxInt32, Missing: math.MaxInt32}, time.Microsecond)
	after := model.ReadTime(work)
	assert.Greater(t, after, before/2)
	assert.Less(t, after, before*2)
}

func TestNothingKnownIsGuessedFromObjectives(t *testing.T) {
	var none *costmodel.Model
	assert.False(t, none.Known())
	assert.Zero(t, none.ReadTime(costmodel.Work{Tokens: 10, Missing: 10}))
	model := &costmodel.Model{}
	assert.Zero(t, model.TokensPerSecond())
	model.Expect(20_000, aim)
	model.Expect(100, aim)
	assert.False(t, model.Known())
	whole := model.ReadTime(costmodel.Work{Tokens: 20_000, Missing: 20_000})
	assert.Less(t, whole+model.Overhead(), aim)
	assert.Greater(t, whole, aim/10, "long prompts decide")
	assert.InEpsilon(t, whole.Seconds()/2, model.ReadTime(costmodel.Work{Tokens: 20_000, Missing: 10_000}).Seconds(), 1e-6)
	assert.Zero(t, model.ReadTime(costmodel.Work{Tokens: 1000}))
}

func TestWhatOthersHaveLearnedCountsUntilEnoughIsLearnedHere(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	other, model := &costmodel.Model{}, &costmodel.Model{}
	engines["slow"].teach(other, random, 30)
	model.Expect(20_000, aim)
	weights, samples := other.Own()
	model.Hear(weights, samples)
	work := costmodel.Work{Tokens: 9000, Missing: 6000}
	assert.True(t, model.Known())
	assert.Equal(t, other.ReadTime(work), model.ReadTime(work))

	model.Hear(costmodel.Weights{Token: math.NaN()}, 1000)
	model.Hear(costmodel.Weights{Token: 1e9}, 1000)
	model.Hear(costmodel.Weights{Token: 1e-5, Fixed: -1}, 1000)
	assert.Equal(t, other.ReadTime(work), model.ReadTime(work), "absurd words count for nothing")

	engines["fast"].teach(model, random, 40)
	assert.InEpsilon(t, engines["fast"].busy(work).Seconds(), model.ReadTime(work).Seconds(), 0.2)
}

func TestPromptsOfOneSizeTellThePace(t *testing.T) {
	model := &costmodel.Model{}
	work := costmodel.Work{Tokens: 1000, Missing: 1000}
	for range 10 {
		model.Observe(work, 100*time.Millisecond)
	}
	assert.InEpsilon(t, 0.1, (model.Overhead() + model.ReadTime(work)).Seconds(), 0.01)
	assert.Positive(t, model.ReadTime(work))
}

func BenchmarkObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(4, 4))
	model := &costmodel.Model{}
	engines["fast"].teach(model, random, 64)
	work := prompt(random)
	b.ReportAllocs()
	for b.Loop() {
		model.Observe(work, 30*time.Millisecond)
	}
}
