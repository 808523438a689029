package backpressure

import (
	"sync/atomic"
	"time"
)

// PeerState is what one peer asks of this process, and what is known of its leaving. It is safe for concurrent use; times
// are by the Gate's clock.
type PeerState struct {
	// backoffEnd is when the requested backoff ends; 0 for never.
	backoffEnd atomic.Int64
	// saidAt, toldAt and listedAt are when this process first learned that the peer is leaving: from the peer itself, from
	// another process, and from a list. unlistedAt is when it learned that a list no longer shows the peer. Each is 0 for never.
	saidAt, toldAt, listedAt, unlistedAt atomic.Int64

	// The fields below are guarded by the Gate's mutex. askedAt is when the newest response came that asked for a
	// backoff, askedUntil the end of that, and saidLastAt when the newest came that said that the peer is leaving.
	askedAt, askedUntil, saidLastAt time.Duration
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

// Leaving reports whether the peer itself has said that it is leaving.
func (s *PeerState) Leaving() bool { return s.saidAt.Load() != 0 }

// LeavingTimes are the times since this process learned that a peer is leaving, by source, negative if it did not.
type LeavingTimes struct{ Said, Told, Listed time.Duration }

// LeavingTimes returns for how long the peer has been known to be leaving.
func (s *PeerState) LeavingTimes(now time.Duration) LeavingTimes {
	return LeavingTimes{Said: since(now, &s.saidAt), Told: since(now, &s.toldAt), Listed: since(now, &s.listedAt)}
}

// UnknownLeavingTimes are those of a peer that is not known to be leaving.
var UnknownLeavingTimes = LeavingTimes{Said: unknownTime, Told: unknownTime, Listed: unknownTime}

// unknownTime is the time since something that has not happened.
const unknownTime = -time.Millisecond

func since(now time.Duration, at *atomic.Int64) time.Duration {
	if at.Load() == 0 {
		return unknownTime
	}
	return now - time.Duration(at.Load())
}

// retention is how long a state is kept after its backoff has ended, or after its peer was unlisted: the list that
// lacks the peer may be outdated or wrong, and a later one may show it again.
const retention = time.Minute

// expired reports whether the state may be deleted. The state of a leaving peer is kept until the peer has been
// unlisted for the retention time. The caller must hold the Gate's mutex.
func (s *PeerState) expired(now time.Duration) bool {
	if s.expireAt > 0 && now >= s.expireAt {
		return true
	}
	isLeaving := s.saidAt.Load() != 0 || s.toldAt.Load() != 0 || s.listedAt.Load() != 0
	return s.expireAt == 0 && !isLeaving && now >= time.Duration(s.backoffEnd.Load())+retention
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

// noteFirst records a time unless an earlier one is recorded, and reports whether none was. The first time counts: no later
// word begins it anew.
func noteFirst(recorded *atomic.Int64, at time.Duration) (first bool) {
	for {
		before := recorded.Load()
		if before != 0 && before <= int64(at) {
			return false
		}
		if recorded.CompareAndSwap(before, int64(max(at, 1))) {
			return before == 0
		}
	}
}
