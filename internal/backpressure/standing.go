package backpressure

import (
	"sync/atomic"
	"time"
)

// PeerState is what one peer asks of this process. It is safe for concurrent use; times are by the Gate's
// clock.
type PeerState struct {
	// backoffEnd is when the requested backoff ends, and leavingSince when the peer first said that it is
	// leaving; 0 for never.
	backoffEnd, leavingSince atomic.Int64

	// Guarded by the Gate's mutex: when the next line may be logged, and how many were omitted since the last.
	nextLogAt time.Duration
	omitted   int
	// expireAt is when the state of a peer that is no longer listed is deleted; 0 while it is listed.
	expireAt time.Duration
}

// BackoffLeft returns the remaining backoff that the peer has requested, 0 if there is none.
func (s *PeerState) BackoffLeft(now time.Duration) time.Duration {
	return max(time.Duration(s.backoffEnd.Load())-now, 0)
}

// Leaving reports whether the peer has said that it is leaving.
func (s *PeerState) Leaving() bool { return s.leavingSince.Load() != 0 }

// retention is how long a state is kept after its backoff has ended, or after its peer was unlisted: an older or
// doubted list may show the peer again.
const retention = time.Minute

// expired reports whether the state may be deleted. The caller must hold the Gate's mutex.
func (s *PeerState) expired(now time.Duration) bool {
	if s.expireAt > 0 && now >= s.expireAt {
		return true
	}
	return !s.Leaving() && now >= time.Duration(s.backoffEnd.Load())+retention
}

// extendBackoff records a requested backoff, and reports whether it ends later than before. The latest end
// counts, and no response shortens a backoff.
func (s *PeerState) extendBackoff(now, backoff time.Duration) (longer bool) {
	end := int64(now + backoff)
	if backoff <= 0 || end <= s.backoffEnd.Load() {
		return false
	}
	s.backoffEnd.Store(end)
	return true
}

// markLeaving records that the peer is leaving, and reports whether that is new. It holds until the process ends.
func (s *PeerState) markLeaving(now time.Duration) (first bool) {
	return s.leavingSince.CompareAndSwap(0, int64(max(now, 1)))
}
