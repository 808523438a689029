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

	// The fields below are guarded by the Gate's mutex. askedAt is when the newest response came that asked for a
	// backoff, askedUntil the end of that, and leavingSaidAt when the newest came that said that the peer is leaving.
	askedAt, askedUntil, leavingSaidAt time.Duration
	// nextLogAt is when the next line may be logged, and omitted the number of lines omitted since the last one.
	nextLogAt time.Duration
	omitted   int
	// expireAt is when the state of a peer that is no longer listed may be deleted; 0 while it is listed.
	expireAt time.Duration
}

// BackoffLeft returns the remaining backoff that the peer has requested, 0 if there is none.
func (s *PeerState) BackoffLeft(now time.Duration) time.Duration {
	return max(time.Duration(s.backoffEnd.Load())-now, 0)
}

// Leaving reports whether the peer has said that it is leaving.
func (s *PeerState) Leaving() bool { return s.leavingSince.Load() != 0 }

// retention is how long a state is kept after its backoff has ended, or after its peer was unlisted: the list that
// lacks the peer may be outdated or wrong, and a later one may show it again.
const retention = time.Minute

// expired reports whether the state may be deleted. The state of a leaving peer is kept until the peer has been
// unlisted for the retention time. The caller must hold the Gate's mutex.
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
