package routing

import (
	"time"
)

// Choice is the outcome of Select.
type Choice struct {
	// Serving generates the answer.
	Serving Engine
	// Prefill, if not nil, prefills the prompt first and transfers its KV cache
	// to Serving.
	Prefill *Engine
	// FirstToken and BetweenTokens are the predicted latencies.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// CachedTokens is the number of prompt tokens that are probably cached at
	// the engine that prefills the prompt.
	CachedTokens int
	// NewTokens is the number of prompt tokens that the choice requires to be
	// prefilled.
	NewTokens int
	// Saturated is set if even the chosen engines are so loaded that the
	// request should be queued at the gateway instead.
	Saturated bool
}

// Miss is the reason why Select found no engine.
type Miss int

// Reasons for finding no engine.
const (
	// MissNone means that an engine was found.
	MissNone Miss = iota
	// MissUnknownModel means that no engine of this zone has the model, in the
	// requested version and with the requested adapter.
	MissUnknownModel
	// MissNotDispatchable means that engines have the model, but none accepts
	// new work, or those that do were already tried or are outside the
	// isolation set.
	MissNotDispatchable
	// MissNoDecode means that no available engine can decode, whether or not
	// one can prefill.
	MissNoDecode
	// MissNoPrefill means that engines can decode, but none can prefill.
	MissNoPrefill
)
