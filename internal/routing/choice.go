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

// NoEngineReason is the reason why Select found no engine.
type NoEngineReason int

// Reasons for finding no engine.
const (
	// EngineFound means that an engine was found.
	EngineFound NoEngineReason = iota
	// NoEngineWithModel means that no engine of this zone has the model, in the
	// requested version and with the requested adapter.
	NoEngineWithModel
	// NoEngineDispatchable means that engines have the model, but none accepts
	// new work, or those that do were already tried or are outside the
	// isolation set.
	NoEngineDispatchable
	// NoDecodeEngine means that no available engine can decode, whether or not
	// one can prefill.
	NoDecodeEngine
	// NoPrefillEngine means that engines can decode, but none can prefill.
	NoPrefillEngine
)
