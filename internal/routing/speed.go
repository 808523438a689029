package routing

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// engineClass groups engines that are expected to be equally fast.
type engineClass struct {
	model string
	role  engineapi.Role
}

// latencyEstimator predicts the latencies of an engine class. It learns from
// this gateway's own requests and from load reports.
type latencyEstimator struct {
	// firstToken estimates seconds from thousands of prompt tokens to prefill,
	// including those queued ahead.
	firstToken linearEstimator
	// step estimates the seconds of a batch step from hundreds of decode
	// sequences.
	step linearEstimator
	// batchLimit is the number of sequences that engines of the class run
	// concurrently while others wait, 0 if none were seen waiting.
	batchLimit float64
}

const (
	tokensPerUnit    = 1000.0
	sequencesPerUnit = 100.0

	priorFirstTokenBase     = 0.03
	priorSecondsPerThousand = 0.15
	priorStepBase           = 0.02
	priorStepPerHundred     = 0.015

	minimumSecondsPerThousand = 0.001
	minimumStepPerHundred     = 0.0005
	minimumSeconds            = 0.0005
)

func newLatencyEstimator() *latencyEstimator {
	return &latencyEstimator{
		firstToken: newLinearEstimator(priorFirstTokenBase, priorSecondsPerThousand),
		step:       newLinearEstimator(priorStepBase, priorStepPerHundred),
	}
}

// predictFirstToken predicts the time until a prompt has been prefilled, given
// the number of prompt tokens queued up to and including its own.
func (e *latencyEstimator) predictFirstToken(tokens float64) time.Duration {
	slope := max(e.firstToken.slope, minimumSecondsPerThousand)
	predicted := max(e.firstToken.intercept, minimumSeconds) + slope*tokens/tokensPerUnit
	return seconds(predicted)
}

// predictStep predicts the time between tokens for a number of sequences in a
// batch.
func (e *latencyEstimator) predictStep(sequences float64) time.Duration {
	slope := max(e.step.slope, minimumStepPerHundred)
	predicted := max(e.step.intercept, minimumSeconds) + slope*sequences/sequencesPerUnit
	return seconds(predicted)
}

func (e *latencyEstimator) observeFirstToken(tokens float64, took time.Duration) {
	e.firstToken.observe(tokens/tokensPerUnit, took.Seconds())
}

func (e *latencyEstimator) observeStep(sequences float64, took time.Duration) {
	e.step.observe(sequences/sequencesPerUnit, took.Seconds())
}

// observeFullBatch learns the batch limit from an engine whose requests wait
// for a slot. The limit only grows: fewer running sequences while others wait
// mean that memory is full, or that the waiting ones have just arrived.
func (e *latencyEstimator) observeFullBatch(running int) {
	e.batchLimit = max(e.batchLimit, float64(running))
}

// observeFreeSlot learns from an engine that could run one more sequence than
// it does: a batch at the known limit is not full.
func (e *latencyEstimator) observeFreeSlot(running int) {
	if e.batchLimit > 0 {
		e.batchLimit = max(e.batchLimit, float64(running+1))
	}
}

// batchProbe is the number of sequences that may be sent beyond the known batch
// limit. Without it an underestimated limit would never be corrected, because
// no engine would ever receive more.
const batchProbe = 2

// predictBatchWait predicts the time until a batch has a slot for one more
// sequence, given the number already in it or queued for it, and whether there
// is any wait.
func (e *latencyEstimator) predictBatchWait(sequences float64, outputTokens int) (wait time.Duration, waits bool) {
	ahead := sequences + 1 - batchProbe - e.batchLimit
	if e.batchLimit <= 0 || ahead <= 0 {
		return 0, false
	}
	step := e.predictStep(e.batchLimit).Seconds()
	return seconds(ahead / e.batchLimit * float64(outputTokens) * step), true
}

// interferes reports whether a step of a number of decode sequences and a
// prefill chunk takes longer than the inter-token objective.
func (e *latencyEstimator) interferes(sequences, newTokens float64, objective time.Duration) bool {
	slope := max(e.firstToken.slope, minimumSecondsPerThousand)
	chunk := seconds(slope * min(newTokens, assumedChunk) / tokensPerUnit)
	return e.predictStep(sequences)+chunk > objective
}

// assumedChunk is the number of prompt tokens that a mixed engine is assumed to
// prefill in one step.
const assumedChunk = 512

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
