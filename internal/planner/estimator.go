package planner

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// speedEstimator estimates the speed of a model's engines from their load reports,
// by recursive least squares with exponential forgetting (Haykin, Adaptive Filter
// Theory, chapter 10) on
//
//	step = base + perSequence*sequences + perPromptToken*(prompt tokens a step).
//
// All roles of a model share one estimate, since they run on the same machines.
type speedEstimator struct {
	prior        Speed
	coefficients [features]float64
	// covariance is the inverse correlation matrix of the features.
	covariance [features][features]float64
	samples    int
	kvCapacity float64
}

const (
	features = 3
	// sequenceUnit and promptUnit scale the features to about 1; stepUnit, in
	// seconds, scales the step duration.
	sequenceUnit = 50.0
	promptUnit   = 1000.0
	stepUnit     = 0.020

	forgettingFactor = 0.998
	initialVariance  = 1.0
	maximumVariance  = 100.0
)

func newSpeedEstimator(prior Speed) *speedEstimator {
	estimator := &speedEstimator{prior: prior}
	estimator.coefficients = [features]float64{
		prior.StepBase / stepUnit,
		prior.PerSequence * sequenceUnit / stepUnit,
		prior.PerPromptToken * promptUnit / stepUnit,
	}
	for index := range features {
		estimator.covariance[index][index] = initialVariance
	}
	return estimator
}

// speed returns the estimate. Each coefficient is at least a tenth of the prior's.
func (e *speedEstimator) speed() Speed {
	speed := e.prior
	speed.StepBase = max(e.coefficients[0]*stepUnit, e.prior.StepBase/10)
	speed.PerSequence = max(e.coefficients[1]*stepUnit/sequenceUnit, e.prior.PerSequence/10)
	speed.PerPromptToken = max(e.coefficients[2]*stepUnit/promptUnit, e.prior.PerPromptToken/10)
	if e.kvCapacity > 0 {
		speed.KVCapacity = e.kvCapacity
	}
	return speed
}

// interval is the work between two successive load reports of an engine.
type interval struct {
	seconds      float64
	promptTokens float64
	outputTokens float64
	// steps is the number of batch steps that ended. stepSeconds, stepPromptTokens
	// and stepSequences are means per step.
	steps            float64
	stepSeconds      float64
	stepPromptTokens float64
	stepSequences    float64
}

// intervalBetween returns the work between two load reports measured seconds apart.
// It returns false if they are of different incarnations, out of order, or if a
// counter decreased.
func intervalBetween(older, newer engineapi.LoadReport, seconds float64) (interval, bool) {
	sameRun := older.Incarnation == newer.Incarnation && newer.Sequence > older.Sequence
	counted := newer.PromptTokensTotal >= older.PromptTokensTotal &&
		newer.OutputTokensTotal >= older.OutputTokensTotal &&
		newer.StepsTotal >= older.StepsTotal
	if !sameRun || !counted || seconds <= 0 {
		return interval{}, false
	}
	found := interval{
		seconds:      seconds,
		promptTokens: float64(newer.PromptTokensTotal - older.PromptTokensTotal),
		outputTokens: float64(newer.OutputTokensTotal - older.OutputTokensTotal),
		steps:        float64(newer.StepsTotal - older.StepsTotal),
	}
	if found.steps > 0 {
		found.stepSeconds = (newer.StepMillisTotal - older.StepMillisTotal) / found.steps / millisPerSecond
		found.stepPromptTokens = found.promptTokens / found.steps
		found.stepSequences = found.outputTokens / found.steps
	}
	return found, true
}

const (
	millisPerSecond = 1000
	// minimumSteps is the number of steps that an interval must have to be used:
	// the ends of an interval fall within a step, which distorts the means of few
	// steps.
	minimumSteps = 4
)

// observe updates the estimate from an interval. The mean step duration is linear in
// the mean contents of the steps, so neither idle time nor queued work biases the
// estimate.
func (e *speedEstimator) observe(measured interval) {
	if measured.steps < minimumSteps || measured.stepSeconds <= 0 {
		return
	}
	e.samples++
	input := [features]float64{1, measured.stepSequences / sequenceUnit, measured.stepPromptTokens / promptUnit}
	e.update(input, measured.stepSeconds/stepUnit)
}

func (e *speedEstimator) update(input [features]float64, target float64) {
	var gain [features]float64
	denominator := forgettingFactor
	for row := range features {
		for column := range features {
			gain[row] += e.covariance[row][column] * input[column]
		}
		denominator += input[row] * gain[row]
	}
	residual := target
	for index := range features {
		residual -= e.coefficients[index] * input[index]
	}
	var next [features][features]float64
	for row := range features {
		e.coefficients[row] += gain[row] / denominator * residual
		for column := range features {
			next[row][column] = (e.covariance[row][column] - gain[row]*gain[column]/denominator) / forgettingFactor
		}
	}
	for index := range features {
		if next[index][index] > maximumVariance {
			return // the inputs don't vary; keep the old matrix, or it would grow without bound
		}
	}
	e.covariance = next
}
