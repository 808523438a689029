package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// retry asks for another engine if the retry policy allows it, and otherwise waits
// to ask the policy again or refuses the request.
func (m *Machine) retry(now time.Duration, kind failure.Kind, detail string) []Output {
	if m.expired(now) {
		return m.refuse(failure.DeadlineExceeded, 0, "the deadline passed")
	}
	decision := m.askRetryPolicy(now, kind)
	switch {
	case decision.Allowed && decision.Delay <= 0:
		return m.pick()
	case decision.Allowed:
		m.waitUntil(now + decision.Delay)
	case decision.AskAgain && m.relayed > 0 && m.pickRetries < maximumPickRetriesRelayed:
		m.pickRetries++
		m.policyPending, m.lastKind, m.lastDetail = true, kind, detail
		m.waitUntil(now + max(decision.Delay, pickRetryDelay))
	default:
		return m.refuse(m.finalKind(failure.BackEndRefused), decision.RetryAfter, detail)
	}
	return m.outputs
}

// retryOnSameEngine dispatches the request to the same engine again, without a KV
// cache, if the retry policy allows it.
func (m *Machine) retryOnSameEngine(now time.Duration, engine Engine) []Output {
	const detail = "the KV cache was missing"
	if m.expired(now) {
		return m.refuse(failure.DeadlineExceeded, 0, "the deadline passed")
	}
	if decision := m.askRetryPolicy(now, failure.BackEndRefused); !decision.Allowed {
		return m.refuse(m.finalKind(failure.BackEndRefused), decision.RetryAfter, detail)
	}
	m.tries++
	return m.dispatch(now, engine, false)
}

func (m *Machine) askRetryPolicy(now time.Duration, kind failure.Kind) RetryDecision {
	return m.parameters.Retry.MayRetry(now, RetryAttempt{
		Number:   m.tries,
		Deadline: m.parameters.Deadline,
		Relayed:  m.relayed,
		LastKind: kind,
	})
}

// finalKind returns the failure kind of a request for which no further attempt is
// made; kindIfNotRun is the kind if provably nothing has run.
func (m *Machine) finalKind(kindIfNotRun failure.Kind) failure.Kind {
	switch {
	case m.relayed > 0:
		return failure.AnswerBroken
	case m.hasRun || m.mayHaveRun:
		return failure.AttemptsExhausted
	case m.tries > 0 && kindIfNotRun == failure.NoBackEnd:
		return failure.BackEndRefused
	default:
		return kindIfNotRun
	}
}

// ran returns what is known about whether any attempt has run.
func (m *Machine) ran() failure.Ran {
	switch {
	case m.hasRun:
		return failure.RanYes
	case m.mayHaveRun:
		return failure.RanUnknown
	default:
		return failure.RanNo
	}
}

func (m *Machine) refuse(kind failure.Kind, retryAfter time.Duration, detail string) []Output {
	m.phase = phaseDone
	m.emit(Refuse{Kind: kind, Ran: m.ran(), RetryAfter: retryAfter, Detail: detail, Attempts: m.dispatched})
	return m.outputs
}
