package routing

import "time"

// Outcome is how an attempt at an engine ended, as the engine's health tracking
// sees it.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeSucceeded means that the engine completed its part of the request.
	OutcomeSucceeded Outcome = iota
	// OutcomeRefused means that the engine rejected the attempt before running
	// it: it is alive, but its load or configuration differs from what the
	// gateway assumed.
	OutcomeRefused
	// OutcomeFailed means a failed connection, a broken stream or a timeout.
	OutcomeFailed
	// OutcomeCancelled means that this gateway or the caller ended the attempt.
	OutcomeCancelled
)

// ChoiceDispatched records that an attempt was dispatched to the engines of a
// choice. If the choice has a prefill engine, prefillID is the attempt's id there.
func (r *Router) ChoiceDispatched(now time.Duration, choice Choice, request Request, attemptID, prefillID string) {
	if choice.Prefill == nil {
		r.AttemptStarted(now, choice.Serving.ID, attemptID, choice.NewTokens, request.PromptTokens+request.OutputTokens)
		return
	}
	r.AttemptStarted(now, choice.Prefill.ID, prefillID, choice.NewTokens, request.PromptTokens)
	r.AttemptStarted(now, choice.Serving.ID, attemptID, 0, request.PromptTokens+request.OutputTokens)
}

// AttemptStarted records the start of an attempt at one engine. newTokens is the
// number of prompt tokens to prefill there, kvTokens the KV cache memory that
// the attempt will need, in tokens.
func (r *Router) AttemptStarted(now time.Duration, engineID, attemptID string, newTokens, kvTokens int) {
	state, found := r.engines[engineID]
	if !found {
		return
	}
	before := state.estimate(now, r.options.LoadHalfLife, load{})
	started := &attempt{
		dispatchedAt:  now,
		prefillTokens: float64(newTokens),
		kvTokens:      float64(kvTokens),
		tokensAhead:   before.prefillTokens + float64(newTokens),
		firstTokenAt:  unsetTime,
		endedAt:       unsetTime,
	}
	state.attempts[attemptID] = started
	if newTokens > 0 {
		state.lastPrefillAt = now
	}
	state.ownLoad = state.ownLoad.plus(started.loadAt(now))
}

// AttemptFirstToken records that an attempt produced its first token, or that a
// prefill ended.
func (r *Router) AttemptFirstToken(now time.Duration, engineID, attemptID string) {
	state, started := r.attempt(engineID, attemptID)
	if started == nil || started.firstTokenAt >= 0 {
		return
	}
	took := now - started.dispatchedAt
	if started.prefillTokens > 0 {
		r.observeFirstToken(now, state, started, took)
	}
	state.ownLoad = state.ownLoad.minusClamped(started.loadAt(now))
	started.firstTokenAt = now
	state.ownLoad = state.ownLoad.plus(started.loadAt(now))
}

func (r *Router) observeFirstToken(now time.Duration, state *engineState, started *attempt, took time.Duration) {
	estimator := r.latencyEstimator(state.engine)
	predicted := estimator.predictFirstToken(started.tokensAhead)
	estimator.observeFirstToken(started.tokensAhead, took)
	state.health.observeSlowness(now, float64(took)/float64(max(predicted, time.Millisecond)), r.options.Ejection)
}

// AttemptEnded records how an attempt ended.
func (r *Router) AttemptEnded(now time.Duration, engineID, attemptID string, outcome Outcome) {
	state, ended := r.attempt(engineID, attemptID)
	if ended == nil || ended.endedAt >= 0 {
		return
	}
	state.ownLoad = state.ownLoad.minusClamped(ended.loadAt(now))
	ended.endedAt = now
	if !state.hasReport {
		delete(state.attempts, attemptID)
	}
	switch outcome {
	case OutcomeSucceeded:
		state.health.succeeded(now, r.options.Ejection)
	case OutcomeFailed:
		state.health.failed(now, r.options.Ejection)
	}
}

// ProcessEnded records that an engine's process has ended.
func (r *Router) ProcessEnded(now time.Duration, engineID string) {
	if state, found := r.engines[engineID]; found {
		state.health.processEnded(now, r.options.Ejection)
	}
}

// KVTransferred records how long the KV cache of a number of tokens took to
// transfer.
func (r *Router) KVTransferred(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took / time.Duration(tokens)
	r.transferPerToken += (sample - r.transferPerToken) / transferSmoothing
}

// transferSmoothing divides the difference between a new sample and the running
// mean of KV transfer times.
const transferSmoothing = 10

func (r *Router) attempt(engineID, attemptID string) (*engineState, *attempt) {
	state, found := r.engines[engineID]
	if !found {
		return nil, nil
	}
	return state, state.attempts[attemptID]
}

// InFlight returns the number of this gateway's unfinished attempts at an
// engine.
func (r *Router) InFlight(engineID string) int {
	state, found := r.engines[engineID]
	if !found {
		return 0
	}
	return int(state.ownLoad.requests)
}
