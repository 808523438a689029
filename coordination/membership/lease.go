package membership

import "time"

// LeaseState determines which targets a process may use.
type LeaseState int

// States of a lease. Without renewal, a lease passes from held to isolated to
// expired.
const (
	// LeaseNone: there is no session; nothing may be used.
	LeaseNone LeaseState = iota
	// LeaseHeld: all targets that the view permits may be used.
	LeaseHeld
	// LeaseIsolated: of these, only targets in the isolation set may be used.
	LeaseIsolated
	// LeaseExpired: nothing may be used.
	LeaseExpired
)

// String returns the state's name.
func (s LeaseState) String() string {
	switch s {
	case LeaseHeld:
		return "held"
	case LeaseIsolated:
		return "isolated"
	case LeaseExpired:
		return "expired"
	default:
		return "none"
	}
}

// maximumPendingRenewals limits the heartbeat replies that wait for a view; the
// oldest is dropped first.
const maximumPendingRenewals = 16

// Lease is a process's own record of its lease, after Gray and Cheriton,
// "Leases" (1989), section 3: the holder counts from when it sent the request,
// the granter from when it received it.
//
// An answered heartbeat renews the lease only once the process has applied a
// view at least as new as the leader's at the time of the answer. Otherwise a
// process whose heartbeats resume after a gap, in which the leader considered it
// stopped, would act on a view from before the gap.
//
// All times are readings of the process's own monotonic clock.
type Lease struct {
	held            bool
	terms           Terms
	renewedAt       time.Duration
	appliedPosition uint64
	pending         []pendingRenewal
}

// pendingRenewal is an answered heartbeat that renews the lease once the view at
// position has been applied.
type pendingRenewal struct {
	sentAt   time.Duration
	position uint64
}

// Begin starts the lease of a new session, whose request was sent at sentAt and
// whose view is at position applied.
func (l *Lease) Begin(sentAt time.Duration, terms Terms, applied uint64) {
	*l = Lease{held: true, terms: terms, renewedAt: sentAt, appliedPosition: applied}
}

// End ends the lease at once.
func (l *Lease) End() { *l = Lease{} }

// HeartbeatAnswered records that the heartbeat sent at sentAt was answered by a leader
// whose view was at position.
func (l *Lease) HeartbeatAnswered(sentAt time.Duration, position uint64) {
	l.pending = append(l.pending, pendingRenewal{sentAt, position})
	if len(l.pending) > maximumPendingRenewals {
		l.pending = l.pending[1:]
	}
	l.renew()
}

// ViewApplied records that this process has applied the view at position.
func (l *Lease) ViewApplied(position uint64) {
	l.appliedPosition = max(l.appliedPosition, position)
	l.renew()
}

func (l *Lease) renew() {
	stillPending := l.pending[:0]
	for _, reply := range l.pending {
		if reply.position <= l.appliedPosition {
			l.renewedAt = max(l.renewedAt, reply.sentAt)
			continue
		}
		stillPending = append(stillPending, reply)
	}
	l.pending = stillPending
}

// State returns the state of the lease at now. It must be called immediately
// before each use, because the process may have been paused since an earlier
// call.
func (l *Lease) State(now time.Duration) LeaseState {
	age := now - l.renewedAt
	switch {
	case !l.held:
		return LeaseNone
	case age < l.terms.Lease():
		return LeaseHeld
	case age < l.terms.Isolation():
		return LeaseIsolated
	default:
		return LeaseExpired
	}
}

// Ends returns when the lease ends and when the isolation time ends.
func (l *Lease) Ends() (lease, isolation time.Duration) {
	return l.renewedAt + l.terms.Lease(), l.renewedAt + l.terms.Isolation()
}
