package relay

import "github.com/pierhaven/pierhaven/internal/mechanism"

// isHeld reports whether the request must be sent to no replica, since it ends those that run it.
// It is asked before each send: the others may have learned so while this one was under way.
func (r *run) isHeld() bool {
	return r.guard != nil && !r.directory.off[mechanism.RequestHolds] && r.guard.Holds(r.call)
}

// heldDigest is the digest of a request that is held, for the log; empty for others.
func (r *run) heldDigest() string {
	if !r.isHeld() {
		return ""
	}
	return r.call.Digest().String()
}

// tellIfWell tells of a request that a replica has run to its end: it doesn't end replicas.
func (r *run) tellIfWell() {
	if r.guard != nil && r.ranWell {
		r.guard.RanWell(r.call, r.lost)
	}
}

// dropMoved gives up the place to which the stream was to move.
func (r *run) dropMoved() {
	if r.moved == nil {
		return
	}
	r.moved.lease.Release()
	r.moved.handle.freeUnlessTaken(r.Runner)
	r.moved = nil
}
