package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// AttemptAccepted handles an engine's acceptance of an attempt, which it has
// queued. version is the model version that will answer; if tokens of another
// version have been relayed, the attempt fails.
func (m *Machine) AttemptAccepted(now time.Duration, attemptID, version string) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) || m.current.accepted || m.current.prefill {
		return m.outputs
	}
	m.current.handedOver = true
	m.current.accepted = true
	m.current.version = version
	m.current.progressDeadline = now + m.parameters.FirstTokenTimeout
	if m.version != "" && m.version != version {
		return m.attemptFailed(now, failure.AnswerBroken, "another model version answered")
	}
	return m.outputs
}

// Piece handles tokens of an attempt's answer; offset is the index of the first
// of them in the whole answer. Tokens that have been relayed already are dropped.
// A gap ends the attempt, and the answer is resumed at another engine.
func (m *Machine) Piece(now time.Duration, attemptID string, offset int, tokens []string) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) {
		return m.outputs
	}
	if !m.current.accepted {
		return m.attemptFailed(now, failure.AnswerBroken, "text came before the acceptance")
	}
	if offset < 0 || offset > m.relayed {
		return m.attemptFailed(now, failure.AnswerBroken, "a piece of the answer is missing")
	}
	if m.current.target == nil {
		m.current.progressDeadline = now + m.parameters.StallTimeout
	}
	repeated := m.relayed - offset
	if repeated >= len(tokens) {
		return m.outputs
	}
	newTokens := tokens[repeated:]
	if m.exceedsMaximumTokens(len(newTokens)) {
		return m.attemptFailed(now, failure.AnswerBroken, "the answer is longer than asked for")
	}
	m.version = m.current.version
	m.current.hasOutput = true
	m.hasRun = true
	m.relayed += len(newTokens)
	m.pickRetries = 0
	m.emit(Relay{Tokens: newTokens})
	return m.outputs
}

// End handles the end of an attempt's complete answer of total tokens. If that is
// not the number of tokens relayed, the attempt fails.
func (m *Machine) End(now time.Duration, attemptID string, total int, reason engineapi.FinishReason, promptTokens, cachedTokens int) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) {
		return m.outputs
	}
	if !m.current.accepted || total != m.relayed {
		return m.attemptFailed(now, failure.AnswerBroken, "the answer ended at the wrong place")
	}
	m.current = attempt{}
	m.hasRun = true
	m.phase = phaseDone
	m.emit(Finish{
		Reason:   reason,
		Usage:    Usage{PromptTokens: promptTokens, CachedTokens: cachedTokens, OutputTokens: total},
		Attempts: m.dispatched,
	})
	return m.outputs
}

// PrefillDone handles the completion of the prefill stage, with the location of
// its KV cache, and dispatches the decode stage.
func (m *Machine) PrefillDone(now time.Duration, attemptID, version string, kv engineapi.KVSource) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) || !m.current.prefill {
		return m.outputs
	}
	if m.version != "" && m.version != version {
		return m.attemptFailed(now, failure.AnswerBroken, "another model version read the prompt")
	}
	m.hasRun = true
	m.kv = &kv
	m.kvVersion = version
	return m.dispatch(now, m.decodeEngine, false)
}

// exceedsMaximumTokens reports whether the answer would be longer than requested.
func (m *Machine) exceedsMaximumTokens(newTokens int) bool {
	return m.parameters.MaximumTokens > 0 && m.relayed+newTokens > m.parameters.MaximumTokens
}
