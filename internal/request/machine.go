package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Never is returned by NextWake if no Tick is needed.
const Never = time.Duration(1<<63 - 1)

const (
	// pickRetryDelay is the delay before the next Pick of a request that has lost
	// its engine and found no other.
	pickRetryDelay = 100 * time.Millisecond
	// maximumPickRetries bounds the number of these delays. The bound is higher once
	// tokens have been relayed, since more work would be lost.
	maximumPickRetries        = 5
	maximumPickRetriesRelayed = 50
)

type phase int

const (
	phaseNew phase = iota
	phasePicking
	phaseWaiting
	phaseRunning
	phaseDone
)

// Machine is the state of one request.
type Machine struct {
	parameters Parameters
	phase      phase
	// dispatched counts attempts, for their ids; tries is the count that the retry
	// policy gets, in which prefill and decode of one try count once.
	dispatched int
	tries      int
	current    attempt
	// relayed is the number of tokens relayed.
	relayed int
	// version is fixed by the first relayed token.
	version  string
	excluded []string
	// pickRetries counts the delays since the last relayed token, each before
	// another Pick or before the retry policy is asked again.
	pickRetries int
	// wakeAt is the end of the wait in phaseWaiting.
	wakeAt time.Duration
	// kv is the exported KV cache, nil for none, and kvVersion its model version.
	kv        *engineapi.KVSource
	kvVersion string
	// decodeEngine is the engine of the decode stage, which is dispatched once the
	// prefill is done.
	decodeEngine Engine
	// hasRun and mayHaveRun are set if any attempt has, or may have, run.
	hasRun     bool
	mayHaveRun bool
	// policyPending is set while the retry policy has to be asked again after a
	// wait; lastKind and lastDetail describe the failure in question.
	policyPending bool
	lastKind      failure.Kind
	lastDetail    string
	outputs       []Output
}

// attempt is the current attempt; events of all others are ignored.
type attempt struct {
	id      string
	engine  Engine
	prefill bool
	usesKV  bool
	// handedOver is set once the first byte has been written to the engine, which
	// may run the attempt from then on.
	handedOver bool
	accepted   bool
	version    string
	// hasOutput is set once a token of the attempt has been relayed.
	hasOutput bool
	// target is set while the attempt is being moved.
	target *moveTarget
	// progressDeadline is when the attempt fails unless there is progress before.
	progressDeadline time.Duration
	// extendedDeadline is the progressDeadline that Paused has set, 0 for none. A
	// deadline that is still equal to it is not extended again.
	extendedDeadline time.Duration
}

// New returns the machine of a request that has not started.
func New(parameters Parameters) *Machine {
	return &Machine{parameters: parameters, outputs: make([]Output, 0, 4)}
}

// Done reports whether Finish or Refuse has been returned.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// Relayed returns the number of tokens relayed so far.
func (m *Machine) Relayed() int { return m.relayed }

// Current returns the id and engine of the current attempt, if there is one.
func (m *Machine) Current() (string, Engine, bool) {
	return m.current.id, m.current.engine, m.phase == phaseRunning
}

// Start starts the request.
func (m *Machine) Start(now time.Duration) []Output {
	m.resetOutputs()
	if m.phase != phaseNew {
		return m.outputs
	}
	if m.expired(now) {
		return m.refuse(failure.DeadlineExceeded, 0, "the deadline had passed on arrival")
	}
	return m.pick()
}

// Picked handles the result of a Pick. prefill is the engine for the prefill stage,
// nil if decode does both.
func (m *Machine) Picked(now time.Duration, decode Engine, prefill *Engine) []Output {
	m.resetOutputs()
	if m.phase != phasePicking {
		return m.outputs
	}
	m.tries++
	return m.dispatchTo(now, decode, prefill)
}

// NoEngine handles a Pick that found no engine. A request that has lost an engine
// retries the Pick a limited number of times; one that never had any is refused.
func (m *Machine) NoEngine(now, retryAfter time.Duration) []Output {
	m.resetOutputs()
	if m.phase != phasePicking {
		return m.outputs
	}
	limit := maximumPickRetries
	if m.relayed > 0 {
		limit = maximumPickRetriesRelayed
	}
	if m.tries == 0 || m.pickRetries >= limit {
		return m.refuse(m.finalKind(failure.NoBackEnd), retryAfter, "no back end is left")
	}
	m.pickRetries++
	m.excluded = m.excluded[:0]
	m.waitUntil(now + pickRetryDelay)
	return m.outputs
}

// Rejected handles a Pick for which admission refused the request; retryAfter is
// the time after which the caller should retry.
func (m *Machine) Rejected(_ time.Duration, kind failure.Kind, retryAfter time.Duration, detail string) []Output {
	m.resetOutputs()
	if m.phase != phasePicking {
		return m.outputs
	}
	return m.refuse(kind, retryAfter, detail)
}

// HandedOver records that the first byte of an attempt was written. From then on
// AttemptBroken assumes that the attempt may have run, even if its handedOver is
// false.
func (m *Machine) HandedOver(attemptID string) []Output {
	m.resetOutputs()
	if m.isCurrent(attemptID) {
		m.current.handedOver = true
	}
	return m.outputs
}

// AttemptRefused handles an engine's refusal of an attempt before running it, by a
// Refusal that carries the attempt's id, or an attempt that was never sent.
func (m *Machine) AttemptRefused(now time.Duration, attemptID string, reason engineapi.RefusalReason) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) {
		return m.outputs
	}
	if m.current.accepted {
		return m.attemptFailed(now, failure.AnswerBroken, "refused after accepting")
	}
	refused := m.current
	m.current = attempt{}
	switch reason {
	case engineapi.RefusalBadRequest:
		return m.refuse(failure.MalformedRequest, 0, "the engine can't take this request")
	case engineapi.RefusalKVMissing:
		if refused.usesKV {
			m.dropKV()
			return m.retryOnSameEngine(now, refused.engine)
		}
	}
	m.exclude(refused.engine)
	return m.retry(now, failure.BackEndRefused, "refused: "+string(reason))
}

// AttemptBroken handles a failed connection or a premature end of an attempt's
// stream. handedOver is false only with proof that no byte was written.
func (m *Machine) AttemptBroken(now time.Duration, attemptID string, handedOver bool, detail string) []Output {
	m.resetOutputs()
	if !m.isCurrent(attemptID) {
		return m.outputs
	}
	if m.current.target != nil {
		// The attempt ended because it is being moved; Exported or the export
		// timeout continues the request.
		return m.outputs
	}
	if !handedOver && !m.current.handedOver && !m.current.accepted {
		m.exclude(m.current.engine)
		m.current = attempt{}
		return m.retry(now, failure.BackEndRefused, detail)
	}
	return m.attemptFailed(now, failure.AnswerBroken, detail)
}

// CallerDisconnected ends the request because its caller has disconnected.
func (m *Machine) CallerDisconnected(time.Duration) []Output {
	m.resetOutputs()
	if m.phase == phaseDone {
		return m.outputs
	}
	m.abandonCurrent(false)
	return m.refuse(failure.CallerGone, 0, "the caller went away")
}

// Cut ends the request because its gateway stops before the request is complete.
func (m *Machine) Cut(time.Duration) []Output {
	m.resetOutputs()
	if m.phase == phaseDone {
		return m.outputs
	}
	m.abandonCurrent(false)
	return m.refuse(m.finalKind(failure.Leaving), 0, "the gateway had to stop")
}

// Tick handles the passing of time: deadline, timeouts and waits.
func (m *Machine) Tick(now time.Duration) []Output {
	m.resetOutputs()
	switch {
	case m.phase == phaseNew || m.phase == phaseDone:
	case m.expired(now):
		m.abandonCurrent(false)
		return m.refuse(failure.DeadlineExceeded, 0, "the deadline passed")
	case m.phase == phaseWaiting && now >= m.wakeAt:
		return m.resumeAfterWait(now)
	case m.phase == phaseRunning && now >= m.current.progressDeadline && m.current.target != nil:
		return m.completeMove(now, nil)
	case m.phase == phaseRunning && now >= m.current.progressDeadline:
		return m.attemptFailed(now, failure.AnswerBroken, "the engine fell silent")
	}
	return m.outputs
}

// Paused handles a pause of the gateway process, during which it could not receive
// what the engine sent: if the current attempt has timed out, its timeout is extended
// to now+pause. This happens only once until the next progress; otherwise a gateway
// that is always late would never time out a dead engine.
func (m *Machine) Paused(now, pause time.Duration) {
	if m.phase != phaseRunning || now < m.current.progressDeadline || m.current.extendedDeadline == m.current.progressDeadline {
		return
	}
	m.current.progressDeadline = now + pause
	m.current.extendedDeadline = m.current.progressDeadline
}

// NextWake returns the time by which Tick has to be called, Never if it need not.
func (m *Machine) NextWake() time.Duration {
	wake := Never
	if m.phase == phaseDone || m.phase == phaseNew {
		return wake
	}
	if m.parameters.Deadline > 0 {
		wake = m.parameters.Deadline
	}
	switch m.phase {
	case phaseWaiting:
		wake = min(wake, m.wakeAt)
	case phaseRunning:
		wake = min(wake, m.current.progressDeadline)
	}
	return wake
}

func (m *Machine) resetOutputs() {
	clear(m.outputs)
	m.outputs = m.outputs[:0]
}

func (m *Machine) emit(output Output) { m.outputs = append(m.outputs, output) }

func (m *Machine) isCurrent(attemptID string) bool {
	return m.phase == phaseRunning && m.current.id == attemptID
}

func (m *Machine) expired(now time.Duration) bool {
	return m.parameters.Deadline > 0 && now >= m.parameters.Deadline
}

func (m *Machine) waitUntil(until time.Duration) {
	m.phase = phaseWaiting
	m.wakeAt = until
}

// resumeAfterWait asks the retry policy again if that is pending, else for another
// engine.
func (m *Machine) resumeAfterWait(now time.Duration) []Output {
	if !m.policyPending {
		return m.pick()
	}
	m.policyPending = false
	return m.retry(now, m.lastKind, m.lastDetail)
}
