package relay

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// ender is who has ended a call before its answer was complete.
type ender string

const (
	endedByCaller ender = "caller"
	// endedByReplica: the connection to the replica broke, and no other replica could continue the stream.
	endedByReplica ender = "replica"
	// endedByGateway: this gateway has ended the call, for instance at its deadline.
	endedByGateway ender = "gateway"
)

// SetConfigurationVersion sets a function that returns the version of the configuration in effect, for the log. It
// must be called before the Runner is used.
func (r *Runner) SetConfigurationVersion(version func() uint64) { r.configurationVersion = version }

// logIncomplete logs a call whose answer was not completed: who has ended it, where it stood, and what was in
// effect at its begin and now.
func (r *callState) logIncomplete(logged event.Event, by ender, cause string) {
	last, bytes := "", 0
	if r.stream != nil {
		last, bytes = r.stream.lastEvent, r.stream.bytes
	}
	replica := ""
	if r.lastTried != nil {
		replica = r.lastTried.name
	}
	r.logger.Info(logged, "request", r.call.ID, "route", r.call.Route.Name, "ended_by", string(by), "cause", cause,
		"events", r.eventCount(), "last_event", last, "bytes", bytes, "replica", replica, "sends", r.sends,
		"version", r.call.Version, "version_now", r.configurationVersion(), "list_age_ms", r.directory.listAge().Milliseconds(),
		"after_ms", time.Since(r.call.Arrived).Milliseconds())
}

// logCallerGone logs that the caller has disconnected, or has not taken its answer.
func (r *callState) logCallerGone(ctx context.Context) {
	cause := failure.Text(r.writeError)
	if r.writeError == nil {
		cause = "the caller's connection has ended: " + failure.Text(context.Cause(ctx))
	}
	r.logIncomplete(event.CallerGone, endedByCaller, cause)
}

// logUnwritten logs that the caller has not taken its answer, which is no stream.
func (r *callState) logUnwritten(err error) {
	r.logIncomplete(event.CallerGone, endedByCaller, "the answer can't be written: "+err.Error())
}

// logStreamBrokenOff logs that a stream is broken off because of err.
func (r *callState) logStreamBrokenOff(err error) {
	by, cause := endedByGateway, err.Error()
	if r.streamBreak != nil && !r.stopped && failure.KindOf(err) != failure.DeadlineExceeded {
		by = endedByReplica
	}
	if r.streamBreak != nil {
		cause += "; before that: " + failure.Text(r.streamBreak)
	}
	r.logIncomplete(event.StreamBrokenOff, by, cause)
}
