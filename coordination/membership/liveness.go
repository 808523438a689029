package membership

import "time"

// Margin limits how much later an interval may end by a process's own monotonic
// clock than by the leader's.
type Margin struct {
	// Rate limits the relative difference between the rates of two monotonic
	// clocks.
	Rate float64
	// Constant is added for the granularity of clocks and ticks.
	Constant time.Duration
}

// DefaultMargin allows two per cent of drift, some hundred times that of
// unsynchronised quartz clocks, and a quarter of a second.
func DefaultMargin() Margin {
	return Margin{Rate: 0.02, Constant: 250 * time.Millisecond}
}

// Stretch returns the time on the leader's clock after which duration has certainly
// passed on the process's clock.
func (m Margin) Stretch(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*m.Rate) + m.Constant
}

// Liveness is the leader's soft state about its sessions. It is not replicated: a
// new leader starts with an empty one, and treats each session as heard when it
// first checks it. All times are readings of the leader's monotonic clock.
type Liveness struct {
	margin   Margin
	contacts map[uint64]sessionContact
}

// sessionContact is what the leader has received from a session's process.
type sessionContact struct {
	heardAt      time.Duration
	acknowledged uint64
}

// NewLiveness returns the empty soft state of a newly elected leader.
func NewLiveness(margin Margin) *Liveness {
	return &Liveness{margin: margin, contacts: make(map[uint64]sessionContact)}
}

// RecordHeartbeat records a heartbeat, or a request to open the session, that
// arrived at now and acknowledges the view at position acknowledged, 0 for none.
// It must be called before the request is answered.
func (l *Liveness) RecordHeartbeat(now time.Duration, sessionID, acknowledged uint64) {
	contact := l.contacts[sessionID]
	contact.heardAt = max(contact.heardAt, now)
	contact.acknowledged = max(contact.acknowledged, acknowledged)
	l.contacts[sessionID] = contact
}

// SinceLastHeartbeat returns the time since the session's last heartbeat. It
// treats an unknown session as heard now: a former leader may just have answered
// its heartbeat, or it may just have been opened.
func (l *Liveness) SinceLastHeartbeat(now time.Duration, sessionID uint64) time.Duration {
	contact, found := l.contacts[sessionID]
	if !found {
		l.contacts[sessionID] = sessionContact{heardAt: now}
		return 0
	}
	return max(0, now-contact.heardAt)
}

// Acknowledged returns the highest position that the session has acknowledged to
// this leader, or 0.
func (l *Liveness) Acknowledged(sessionID uint64) uint64 {
	return l.contacts[sessionID].acknowledged
}

// LeaseEnded reports whether the lease of the session's process has certainly
// ended, so that the process uses at most its isolation set.
func (l *Liveness) LeaseEnded(now time.Duration, session *Session) bool {
	return l.SinceLastHeartbeat(now, session.ID) > l.margin.Stretch(session.Terms.Lease())
}

// IsolationEnded reports whether the session's process has certainly stopped using
// all targets.
func (l *Liveness) IsolationEnded(now time.Duration, session *Session) bool {
	return l.SinceLastHeartbeat(now, session.ID) > l.margin.Stretch(session.Terms.Isolation())
}

// HasStopped reports whether the session's process certainly starts no new work
// on a target that was withheld at log position withheld: the process has the
// view at that position, or its lease has ended and the target is in no set that
// it may be using, or its isolation time has ended. A session that was opened
// later has started with such a view.
func (l *Liveness) HasStopped(now time.Duration, session *Session, target string, withheld uint64) bool {
	if session.OpenedAt > withheld || l.Acknowledged(session.ID) >= withheld {
		return true
	}
	if l.IsolationEnded(now, session) {
		return true
	}
	return l.LeaseEnded(now, session) && !session.MayUseIsolated(target, l.Acknowledged(session.ID))
}

// Forget removes the state of sessions for which keep returns false.
func (l *Liveness) Forget(keep func(sessionID uint64) bool) {
	for id := range l.contacts {
		if !keep(id) {
			delete(l.contacts, id)
		}
	}
}
