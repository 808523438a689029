package relay

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Stop is a planned stop of the process.
type Stop struct {
	// LastSend is the time after which no replica and no peer is sent a call that none has run, unless its caller waits no longer than to End: it
	// might not be answered by then.
	LastSend time.Time
	// End is the time at which the calls that still run are given up.
	End time.Time
}

var errLeaving = failure.New(failure.Leaving, "the gateway is leaving", failure.WithRetryAfter(defaultRetryAfter))

// BeginStop begins a planned stop: all calls are answered by its end, or broken off if their streams have begun.
func (r *Runner) BeginStop(stop Stop) {
	r.stop.Store(&stop)
	time.AfterFunc(time.Until(stop.End), r.giveUp)
}

// endingWith returns a context that also ends, with a cause, once another one does. The returned function frees it.
func endingWith(ctx, other context.Context, cause error) (context.Context, context.CancelFunc) {
	bounded, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(other, func() { end(cause) })
	return bounded, func() {
		stop()
		end(nil)
	}
}

// leavesTooSoon reports whether the process stops too soon for a call that no replica has run: another process can still serve it.
func (r *callState) leavesTooSoon() bool {
	stop := r.stop.Load()
	if stop == nil || r.mayHaveRun || r.stream != nil || r.moved != nil {
		return false
	}
	return time.Now().After(stop.LastSend) && r.deadline.After(stop.End)
}

// endOf returns why a call has ended whose context is done.
func endOf(ctx context.Context) error {
	if failure.KindOf(context.Cause(ctx)) == failure.Leaving {
		return errLeaving
	}
	return failure.Wrap(errDeadline, failure.DeadlineExceeded)
}
