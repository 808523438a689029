package admission

// AnswerLengthEstimator predicts the length of an answer before it begins. It
// learns the ratio of answer lengths to their limits rather than the mean length:
// when the workload shifts from short answers to long ones, the short ones end
// first, and their mean would underestimate the long ones.
type AnswerLengthEstimator struct {
	limit, answered float64
}

// NewAnswerLengthEstimator returns an estimator that initially expects answers to
// reach their limits.
func NewAnswerLengthEstimator() *AnswerLengthEstimator {
	return &AnswerLengthEstimator{limit: priorLimitTokens, answered: priorLimitTokens}
}

const (
	// priorLimitTokens is the weight of the initial ratio of 1: it counts as much as
	// answers whose limits add up to so many tokens.
	priorLimitTokens = 2000
	// lengthDecay is the factor by which each answer decays the earlier samples.
	lengthDecay = 0.98
)

// Observe records the length of an answer that ended by itself, and its limit.
func (a *AnswerLengthEstimator) Observe(limit, tokens int) {
	if limit <= 0 {
		return
	}
	a.limit = lengthDecay*a.limit + float64(limit)
	a.answered = lengthDecay*a.answered + float64(min(tokens, limit))
}

// Expected returns the expected length of an answer with a limit, in tokens.
func (a *AnswerLengthEstimator) Expected(limit int) int {
	return min(max(int(float64(limit)*a.answered/a.limit), 1), max(limit, 1))
}
