package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Output is one action that a Machine requests.
type Output interface{ output() }

// Pick asks for the engine of the next attempt. The result goes to Picked,
// NoBackEnd or Rejected.
type Pick struct {
	// Version is the required model version; empty means any.
	Version string
	// Excluded lists the ids of the engines that must not be picked: those that have
	// failed this request, or the one that it is moved from.
	Excluded []string
	// Relayed is the number of answer tokens that the caller already has.
	Relayed int
	// DecodeOnly is set if an exported KV cache exists, so that no prefill is needed.
	DecodeOnly bool
}

// Dispatch asks to start an attempt.
type Dispatch struct {
	AttemptID string
	Engine    Engine
	// Prefill is set for the first of two stages: the engine processes the prompt
	// and exports its KV cache, but generates no tokens.
	Prefill bool
	// Version is the model version that the engine must have; empty means any.
	Version string
	// ResumeOffset is the index of the first token to generate.
	ResumeOffset int
	// KV is the location of the exported KV cache to use, nil for none.
	KV *engineapi.KVSource
}

// Relay asks to send tokens to the caller; they follow those relayed before.
type Relay struct{ Tokens []string }

// Cancel asks to end an attempt at its engine and to close its connection. Later
// events of that attempt are ignored.
//
// With ExportKV the engine is asked to keep the attempt's KV cache, and the reply
// goes to Exported; until then the connection stays open and events are handled.
type Cancel struct {
	AttemptID string
	Engine    Engine
	// Failed is set if the engine is the cause of the cancellation.
	Failed   bool
	ExportKV bool
}

// Finish reports that the complete answer has been relayed. It is the last output.
type Finish struct {
	Reason   engineapi.FinishReason
	Usage    Usage
	Attempts int
}

// Refuse reports that the request has failed. It is the last output.
type Refuse struct {
	Kind failure.Kind
	// Ran tells whether any of the attempts has run, as far as that is known.
	Ran failure.Ran
	// RetryAfter is the time after which the caller should retry; 0 means the
	// default of the failure kind.
	RetryAfter time.Duration
	Detail     string
	Attempts   int
}

// Usage is the token usage of a complete answer.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Engine names an engine that may take an attempt.
type Engine struct {
	ID      string
	Address string
}

func (Pick) output()     {}
func (Dispatch) output() {}
func (Relay) output()    {}
func (Cancel) output()   {}
func (Finish) output()   {}
func (Refuse) output()   {}
