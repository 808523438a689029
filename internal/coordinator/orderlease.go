package coordinator

import "time"

// orderMark is when this coordinator applied the last order to a replica, on its
// own clock. A replica of the log applies an order no earlier than its leader has
// committed it, so the mark is never too early. A snapshot may hide an order: its
// restore counts as one.
type orderMark struct {
	known bool
	at    time.Duration
}

func (m *orderMark) note(now time.Duration) {
	m.known = true
	m.at = now
}

const (
	// proposalToSend bounds the time between the proposal of an order and its
	// sending: later, this coordinator may have lost its leadership. The proposal,
	// not the commit, is where it begins: the process may freeze before it learns
	// of the commit.
	proposalToSend = 300 * time.Millisecond
	// leaseMargin is added to the time that orders of two holders must lie apart.
	// It covers proposalToSend and the way to the replica.
	leaseMargin = proposalToSend + 300*time.Millisecond
)

// earliestOrder is from when on a new leader may give orders: once the lease of
// whoever gave the last one has run out. The new leader must have applied all
// that was committed before its term. Safety does not rest on this but on the
// fences; the lease keeps two holders from taking turns.
func earliestOrder(elected time.Duration, last orderMark, lease time.Duration) time.Duration {
	if !last.known {
		return elected
	}
	return max(elected, last.at+lease+leaseMargin)
}
