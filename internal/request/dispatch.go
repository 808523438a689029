package request

import (
	"slices"
	"strconv"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

func (m *Machine) pick() []Output {
	m.phase = phasePicking
	m.emit(m.newPick(false))
	return m.outputs
}

// newPick returns the Pick for the next attempt; if withoutKV is set, it ignores the
// exported KV cache.
func (m *Machine) newPick(withoutKV bool) Pick {
	usesKV := m.kv != nil && !withoutKV
	version := m.version
	if version == "" && usesKV {
		version = m.kvVersion
	}
	return Pick{
		Version:    version,
		Excluded:   slices.Clone(m.excluded),
		Relayed:    m.relayed,
		DecodeOnly: usesKV,
	}
}

// dispatchTo dispatches the prefill stage if there is a prefill engine and no KV
// cache yet, else the request to the decode engine.
func (m *Machine) dispatchTo(now time.Duration, decode Engine, prefill *Engine) []Output {
	if prefill != nil && m.kv == nil {
		m.decodeEngine = decode
		return m.dispatch(now, *prefill, true)
	}
	return m.dispatch(now, decode, false)
}

func (m *Machine) dispatch(now time.Duration, engine Engine, prefill bool) []Output {
	m.dispatched++
	m.phase = phaseRunning
	m.current = attempt{
		id:               m.parameters.AttemptPrefix + "-" + strconv.Itoa(m.dispatched),
		engine:           engine,
		prefill:          prefill,
		usesKV:           m.kv != nil,
		progressDeadline: now + m.parameters.AcceptTimeout,
	}
	version := m.version
	if prefill {
		m.current.progressDeadline = now + m.parameters.FirstTokenTimeout
	}
	if version == "" && m.kv != nil {
		version = m.kvVersion
	}
	m.emit(Dispatch{
		AttemptID:    m.current.id,
		Engine:       engine,
		Prefill:      prefill,
		Version:      version,
		ResumeOffset: m.relayed,
		KV:           m.kv,
	})
	return m.outputs
}

// attemptFailed cancels the current attempt, which may have run, and retries the
// request.
func (m *Machine) attemptFailed(now time.Duration, kind failure.Kind, detail string) []Output {
	m.abandonCurrent(true)
	return m.retry(now, kind, detail)
}

// abandonCurrent cancels the current attempt, if there is one, and records that it
// may have run; failed is set if its engine is the cause.
func (m *Machine) abandonCurrent(failed bool) {
	if m.phase != phaseRunning {
		return
	}
	m.emit(Cancel{AttemptID: m.current.id, Engine: m.current.engine, Failed: failed})
	m.exclude(m.current.engine)
	if m.mayLoseKV() {
		m.dropKV()
	}
	m.mayHaveRun = true
	m.current = attempt{}
}

// mayLoseKV reports whether the exported KV cache has to be considered lost if the
// current attempt ends: its engine may have fetched it, but has not produced any
// output.
func (m *Machine) mayLoseKV() bool {
	return m.current.usesKV && !m.current.hasOutput
}

func (m *Machine) exclude(engine Engine) {
	if !slices.Contains(m.excluded, engine.ID) {
		m.excluded = append(m.excluded, engine.ID)
	}
}

func (m *Machine) dropKV() {
	m.kv = nil
	m.kvVersion = ""
}
