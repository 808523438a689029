package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAnswerLengthsLearnTheRatio(t *testing.T) {
	lengths := NewAnswerLengthEstimator()
	assert.Equal(t, 300, lengths.Expected(300), "without samples the estimate is the limit")
	for range 500 {
		lengths.Observe(400, 100)
	}
	assert.InDelta(t, 100, lengths.Expected(400), 5)
}

// TestShortAnswersDoNotLowerEstimateOfLongOnes guards against underestimating the
// demand that the planner works with: while long answers are still running, only
// short ones have ended, so a mean of the lengths would fall.
func TestShortAnswersDoNotLowerEstimateOfLongOnes(t *testing.T) {
	lengths := NewAnswerLengthEstimator()
	for range 500 {
		lengths.Observe(16, 14)
	}
	assert.Greater(t, lengths.Expected(800), 600)
}

func TestExpectedLengthStaysWithinTheLimit(t *testing.T) {
	lengths := NewAnswerLengthEstimator()
	lengths.Observe(10, 50)
	lengths.Observe(0, 7)
	assert.Equal(t, 10, lengths.Expected(10))
	assert.Equal(t, 1, lengths.Expected(0))
}
