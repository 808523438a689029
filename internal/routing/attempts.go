package routing

import "time"

// Outcome is how an attempt at an engine ended, for the engine's health.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeAnswered: the engine did its part.
	OutcomeAnswered Outcome = iota
	// OutcomeRefused: the engine refused before running; it lives, but its
	// load or configuration isn't what was thought.
	OutcomeRefused
	// OutcomeFailed: no connection, a broken stream or a timeout.
	OutcomeFailed
	// OutcomeCancelled: this gateway or the caller ended it.
	OutcomeCancelled
)

// Started notes that an attempt was handed to the engines of a choice. When the
// choice has a prefill engine, prefillID is the attempt's id there.
func (r *Router) Started(now time.Duration, choice Choice, request Request, attemptID, prefillID string) {
	if choice.Prefill == nil {
		r.StartedAt(now, choice.Serving.ID, attemptID, choice.NewTokens, request.PromptTokens+request.OutputTokens)
		return
	}
	r.StartedAt(now, choice.Prefill.ID, prefillID, choice.NewTokens, request.PromptTokens)
	r.StartedAt(now, choice.Serving.ID, attemptID, 0, request.PromptTokens+request.OutputTokens)
}

// StartedAt notes one attempt at one engine: prompt tokens that it must read
// and KV cache memory that it will need, in tokens.
func (r *Router) StartedAt(now time.Duration, engineID, attemptID string, newTokens, kvTokens int) {
	state, found := r.engines[engineID]
	if !found {
		return
	}
	before := state.estimate(now, r.options.LoadHalfLife, load{})
	started := &attempt{
		dispatchedAt:  now,
		prefillTokens: float64(newTokens),
		kvTokens:      float64(kvTokens),
		tokensInFront: before.prefillTokens + float64(newTokens),
		firstTokenAt:  notYet,
		endedAt:       notYet,
	}
	state.attempts[attemptID] = started
	if newTokens > 0 {
		state.readAt = now
	}
	state.current = state.current.plus(started.loadAt(now))
}

// FirstToken notes that an attempt's first token came, or that a prefill ended.
func (r *Router) FirstToken(now time.Duration, engineID, attemptID string) {
	state, started := r.attempt(engineID, attemptID)
	if started == nil || started.firstTokenAt >= 0 {
		return
	}
	took := now - started.dispatchedAt
	if started.prefillTokens > 0 {
		r.observeFirstToken(now, state, started, took)
	}
	state.current = state.current.minusAtLeastZero(started.loadAt(now))
	started.firstTokenAt = now
	state.current = state.current.plus(started.loadAt(now))
}

func (r *Router) observeFirstToken(now time.Duration, state *engineState, started *attempt, took time.Duration) {
	known := r.speed(state.engine)
	predicted := known.predictFirstToken(started.tokensInFront)
	known.observeFirstToken(started.tokensInFront, took)
	state.health.observeSlowness(now, float64(took)/float64(max(predicted, time.Millisecond)), r.options.Ejection)
}

// Ended notes how an attempt ended.
func (r *Router) Ended(now time.Duration, engineID, attemptID string, outcome Outcome) {
	state, ended := r.attempt(engineID, attemptID)
	if ended == nil || ended.endedAt >= 0 {
		return
	}
	state.current = state.current.minusAtLeastZero(ended.loadAt(now))
	ended.endedAt = now
	if !state.reported {
		delete(state.attempts, attemptID)
	}
	switch outcome {
	case OutcomeAnswered:
		state.health.succeeded(now, r.options.Ejection)
	case OutcomeFailed:
		state.health.failed(now, r.options.Ejection)
	}
}

// ProcessEnded notes that an engine's process has ended.
func (r *Router) ProcessEnded(now time.Duration, engineID string) {
	if state, found := r.engines[engineID]; found {
		state.health.processEnded(now, r.options.Ejection)
	}
}

// KVMoved notes how long a KV cache took to move.
func (r *Router) KVMoved(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took / time.Duration(tokens)
	r.transferPerToken += (sample - r.transferPerToken) / transferWeight
}

// transferWeight is the divisor of the running mean of KV transfer times.
const transferWeight = 10

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
	return int(state.current.requests)
}
