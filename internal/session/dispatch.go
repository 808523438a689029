package session

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
)

// Reason says why an engine or a back end may not be used.
type Reason string

// Reasons.
const (
	// ReasonNone: it may be used.
	ReasonNone Reason = ""
	// ReasonNoSession: the gateway has no session.
	ReasonNoSession Reason = "no_session"
	// ReasonUnknown: the view does not list it.
	ReasonUnknown Reason = "unknown"
	// ReasonWithheld: the view withholds it.
	ReasonWithheld Reason = "withheld"
	// ReasonIsolated: the gateway is isolated, and the engine is not in its
	// isolation set.
	ReasonIsolated Reason = "isolated"
	// ReasonUnconfirmed: the gateway has no lease or the leader has not heard
	// of the target, and the target has not confirmed recently that it accepts
	// new work.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonExpired: the gateway has been isolated for too long.
	ReasonExpired Reason = "isolation_expired"
)

// MayDispatch reports whether new work may be sent to an engine. It must be
// called at the moment of the dispatch, with the clock read after any wait.
func (s *Session) MayDispatch(now time.Duration, engineID string) (bool, Reason) {
	state := s.lease.State(now)
	if reason := reasonOf(state); reason != ReasonNone {
		return false, reason
	}
	row, found := s.merged.Engines[engineID]
	if !found {
		return false, ReasonUnknown
	}
	if !row.Dispatchable || row.Leaving {
		return false, ReasonWithheld
	}
	if s.isKnownToLeader(state, engineID) {
		return true, ReasonNone
	}
	if _, inSet := s.merged.isolationSet[engineID]; state != membership.LeaseHeld && !inSet {
		return false, ReasonIsolated
	}
	return s.decideByConfirmation(now, Target{ID: engineID, Address: row.Address})
}

// isKnownToLeader reports whether the leader's state of a target can be relied
// on: the gateway has its lease, and the target had answered the leader as of
// the last heartbeat reply.
func (s *Session) isKnownToLeader(state membership.LeaseState, id string) bool {
	_, isUnheard := s.unheard[id]
	return state == membership.LeaseHeld && !isUnheard
}

// decideByConfirmation decides a dispatch that depends on the target's own
// confirmation.
func (s *Session) decideByConfirmation(now time.Duration, target Target) (bool, Reason) {
	if !s.isConfirmed(now, target) {
		return false, ReasonUnconfirmed
	}
	return true, ReasonNone
}

// MayDispatchBackEnd is MayDispatch for an application back end. Back ends
// execute no orders, so an isolated gateway may use all of them that confirm
// that they accept work, until the isolation time is over.
func (s *Session) MayDispatchBackEnd(now time.Duration, backEndID string) (bool, Reason) {
	state := s.lease.State(now)
	if reason := reasonOf(state); reason != ReasonNone {
		return false, reason
	}
	row, found := s.merged.BackEnds[backEndID]
	if !found {
		return false, ReasonUnknown
	}
	if !row.Dispatchable {
		return false, ReasonWithheld
	}
	if s.isKnownToLeader(state, backEndID) {
		return true, ReasonNone
	}
	return s.decideByConfirmation(now, Target{ID: backEndID, Address: row.Address, IsBackEnd: true})
}

func reasonOf(state membership.LeaseState) Reason {
	switch state {
	case membership.LeaseNone:
		return ReasonNoSession
	case membership.LeaseExpired:
		return ReasonExpired
	default:
		return ReasonNone
	}
}

// LeaseState returns the state of the session's lease at now.
func (s *Session) LeaseState(now time.Duration) membership.LeaseState {
	return s.lease.State(now)
}

// NextTick returns the earliest time at which Tick may have a call to make.
func (s *Session) NextTick() time.Duration {
	if s.id == 0 {
		return s.open.next(s.config.CallTimeout)
	}
	heartbeat := s.heartbeat.next(s.config.CallTimeout)
	watch := s.watch.next(s.config.WatchWait + s.config.CallTimeout)
	return min(heartbeat, watch)
}

func (s *callState) next(timeout time.Duration) time.Duration {
	if s.inFlight {
		return max(s.due, s.sentAt+timeout)
	}
	return s.due
}
