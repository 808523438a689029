package relay

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
)

// isHeld reports whether the request must not be sent to any replica, since it crashes those that run
// it. It is called before each send: other gateways may have found this out while the call was in
// progress.
func (r *callState) isHeld() bool {
	return r.guard != nil && !r.directory.disabled[mechanism.RequestHolds] && r.guard.Holds(r.call)
}

// probationError means that a request that may crash replicas is being tried by another gateway. wait is
// how long the outcome may stay unknown.
type probationError struct{ wait time.Duration }

// Error implements error.
func (*probationError) Error() string {
	return "replicas have ended under this request or others beside it, and another gateway tries it"
}

// checkProbation returns an error if the request is on probation and another gateway is trying it now. A
// stream that is being moved is not a new try.
func (r *callState) checkProbation(ctx context.Context) error {
	if r.probationPermit == nil || r.guard == nil || r.moved != nil || r.directory.disabled[mechanism.RequestHolds] {
		return nil
	}
	suspect, onProbation := r.guard.Suspect(r.call)
	if !onProbation {
		return nil
	}
	if wait := r.probationPermit(ctx, suspect); wait > 0 {
		return &probationError{wait: wait}
	}
	return nil
}

// heldDigestForLog returns the digest by which a request is held, and the ID of the part if it is that of a part of its
// prompt; both are empty for others.
func (r *callState) heldDigestForLog() (digest, part string) {
	if !r.isHeld() {
		return "", ""
	}
	held, _ := r.guard.HeldBy(r.call)
	return held.String(), r.call.partOf(held)
}

// reportSuccess reports to the guard a request that a replica has run to its end: it does not crash
// replicas.
func (r *callState) reportSuccess() {
	if r.guard != nil && r.succeeded {
		r.guard.Completed(r.call, r.connectionLost)
	}
}

// releaseMoved releases the lease and the handle of a moved stream that is not continued.
func (r *callState) releaseMoved() {
	if r.moved == nil {
		return
	}
	r.moved.lease.Release()
	r.moved.handle.freeUnlessConsumed(r.Runner)
	r.moved = nil
}
