package backpressure

import (
	"sync/atomic"
	"time"
)

// Standing is what one peer asks of this process. It may be used concurrently; times are by the Gate's
// clock.
type Standing struct {
	// restEnds is when its rest ends, and leavingSince when it first said that it leaves; 0 for never.
	restEnds, leavingSince atomic.Int64

	// Guarded by the Gate's mutex: when the next line may be written, and the changes since the last one.
	logAt   time.Duration
	omitted int
	// forgetAt is when the standing of a peer that is not known any more is forgotten; 0 while it is known.
	forgetAt time.Duration
}

// RestLeft is for how much longer the peer is to be left alone.
func (s *Standing) RestLeft(now time.Duration) time.Duration {
	return max(time.Duration(s.restEnds.Load())-now, 0)
}

// Leaving reports whether the peer has said that it leaves.
func (s *Standing) Leaving() bool { return s.leavingSince.Load() != 0 }

// memory is for how long a standing is kept that says nothing any more, or whose peer is not known any more:
// lists that are older, or doubted, may show it again.
const memory = time.Minute

// forgettable reports whether the standing may be forgotten. It is called with the Gate's mutex held.
func (s *Standing) forgettable(now time.Duration) bool {
	if s.forgetAt > 0 && now >= s.forgetAt {
		return true
	}
	return !s.Leaving() && now >= time.Duration(s.restEnds.Load())+memory
}

// askRest notes that the peer asks to be left alone, and reports whether that is for longer than before. Of
// several times the latest end counts, and no other answer ends a rest.
func (s *Standing) askRest(now, rest time.Duration) (longer bool) {
	ends := int64(now + rest)
	if rest <= 0 || ends <= s.restEnds.Load() {
		return false
	}
	s.restEnds.Store(ends)
	return true
}

// sayLeaving notes that the peer leaves, and reports whether that is new. It holds until its life ends.
func (s *Standing) sayLeaving(now time.Duration) (first bool) {
	return s.leavingSince.CompareAndSwap(0, int64(max(now, 1)))
}
