package relay

import (
	"math"

	"github.com/pierhaven/pierhaven/internal/origin"
)

// OriginRecorder records where a call's stream begins if its next send, of a number from 1, brings the first event. It does
// not block.
type OriginRecorder func(call *Call, at origin.Origin, send int)

// SetOriginRecorder sets what records where streams begin, so that they can be taken up at another gateway. It must be
// called before the Runner is used.
func (r *Runner) SetOriginRecorder(recorder OriginRecorder) { r.recordOrigin = recorder }

// beginsStream reports whether the call begins a stream that callers may take up.
func (c *Call) beginsStream() bool { return c.Route.MayBeTakenUp() && !c.Software.IsSet() }

// noteOrigin records where the call's stream will begin, unless it has begun.
func (r *callState) noteOrigin(lease *Lease) {
	if r.recordOrigin == nil || !r.call.beginsStream() {
		return
	}
	at := origin.Origin{Service: r.call.Service.Name, Software: lease.Software}
	r.recordOrigin(r.call, at, r.call.Progress.Sends+r.sends)
}

// notePeerOrigin records that the call's stream has begun at a replica that a peer gateway has chosen. A send of this gateway
// may have been recorded before.
func (r *callState) notePeerOrigin(software origin.Software) {
	if r.recordOrigin == nil || !r.call.beginsStream() || !software.IsSet() {
		return
	}
	r.recordOrigin(r.call, origin.Origin{Service: r.call.Service.Name, Software: software}, math.MaxInt32)
}
