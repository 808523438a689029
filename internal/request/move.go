package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// exportTimeout bounds the wait for the KV cache of a stream that is moved. After
// it the cache is recomputed at the new engine.
const exportTimeout = 2 * time.Second

// moveTarget holds the engines at which a moved request continues.
type moveTarget struct {
	decode  Engine
	prefill *Engine
}

// MovePick returns the Pick for a Move; ok is false if there is no attempt to be
// moved. It does not change the machine. Only the current engine is excluded:
// engines that failed the request earlier may have recovered.
func (m *Machine) MovePick() (pick Pick, ok bool) {
	if m.phase != phaseRunning || m.current.target != nil {
		return Pick{}, false
	}
	pick = m.newPick(m.mayLoseKV())
	pick.Excluded = []string{m.current.engine.ID}
	return pick, true
}

// Move moves a running request to another engine before a planned change of its
// own. The new engine was selected with MovePick before, so that the change never
// leaves a request without an engine. A move is not a failure and does not count as
// a try. The caller gets one uninterrupted answer.
//
// An attempt that has produced tokens is cancelled with an export of its KV cache;
// its pieces are relayed until Exported returns where the cache is, so that nothing
// has to be computed twice.
func (m *Machine) Move(now time.Duration, decode Engine, prefill *Engine) []Output {
	m.resetOutputs()
	if m.phase != phaseRunning || m.current.target != nil {
		return m.outputs
	}
	m.excluded = m.excluded[:0]
	if m.current.hasOutput && !m.current.prefill && !m.expired(now) {
		m.current.target = &moveTarget{decode: decode, prefill: prefill}
		m.current.progressDeadline = now + exportTimeout
		m.emit(Cancel{AttemptID: m.current.id, Engine: m.current.engine, ExportKV: true})
		return m.outputs
	}
	m.abandonCurrent(false)
	if m.expired(now) {
		return m.refuse(failure.DeadlineExceeded, 0, "the deadline passed")
	}
	return m.dispatchTo(now, decode, prefill)
}

// Exported handles the reply to a Cancel with ExportKV; kv is nil if there is no
// cache.
func (m *Machine) Exported(now time.Duration, attemptID string, kv *engineapi.KVSource) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) || m.current.target == nil {
		return m.outputs
	}
	return m.completeMove(now, kv)
}

// completeMove dispatches the request to the target, with or without a KV cache.
func (m *Machine) completeMove(now time.Duration, kv *engineapi.KVSource) []Output {
	target := m.current.target
	m.exclude(m.current.engine)
	m.mayHaveRun = true
	m.current = attempt{}
	m.kv = kv
	m.kvVersion = ""
	if kv != nil {
		m.kvVersion = m.version
	}
	return m.dispatchTo(now, target.decode, target.prefill)
}
