package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Runner runs calls. It may be used concurrently.
type Runner struct {
	directory *Directory
	placer    *Placer
	client    *upstream.Client
	dialect   Dialect
	budgets   *Budgets
	metrics   *Metrics
	logger    logr.Logger
	// begun is told of each request of a tenant that begins to run, once, and when.
	begun func(tenant string, at time.Time)
	ends  *poison.EndWatch
	// suspended is for how long the machine was suspended since some moment.
	suspended func() time.Duration
	// guard knows the requests that must be sent to no replica.
	guard *poison.Guard
	// limits keeps the limits that replicas name; nil keeps none.
	limits *ReplicaLimits
	// permit asks whether a request on probation may be sent now; nil asks nobody.
	permit func(ctx context.Context, digest poison.Digest) (wait time.Duration)
}

// NewRunner returns a runner.
func NewRunner(directory *Directory, client *upstream.Client, dialect Dialect, budgets *Budgets, metrics *Metrics, logger logr.Logger) *Runner {
	runner := &Runner{
		directory: directory,
		placer:    &Placer{Directory: directory},
		client:    client,
		dialect:   dialect,
		budgets:   budgets,
		metrics:   metrics,
		logger:    logger,
		begun:     func(string, time.Time) {},
		suspended: func() time.Duration { return 0 },
	}
	runner.ends = poison.NewLoggedWatch(upstream.Refuses, logger)
	return runner
}

// CountBegun has a function told of each request of a tenant that begins to run, once, and when.
// It is called before any use.
func (r *Runner) CountBegun(begun func(tenant string, at time.Time)) { r.begun = begun }

// GuardWith has a guard told of what happens to requests, and asked which are held. It is called
// before any use.
func (r *Runner) GuardWith(guard *poison.Guard) {
	r.guard = guard
	r.ends = poison.NewGuardedWatch(guard, upstream.Refuses, r.logger)
	r.ends.Ended = func(life string, under []poison.Digest) {
		r.directory.Ended(life)
		guard.Ended(life, under)
	}
}

// AskPermits has a coordinator asked before a request on probation is sent. It is called before any
// use.
func (r *Runner) AskPermits(permit func(ctx context.Context, digest poison.Digest) (wait time.Duration)) {
	r.permit = permit
}

// CountSuspensions has the machine's suspensions counted into the time that calls have taken: the
// steady clock, by which their deadlines are kept, stands still meanwhile, and replicas would be told
// of more time than their callers have left. It is called before any use.
func (r *Runner) CountSuspensions(suspended func() time.Duration) { r.suspended = suspended }

// AskPlacements has a coordinator asked for replicas. It is called before any use.
func (r *Runner) AskPlacements(remote *RemotePlacement) { r.placer.Remote = remote }

const (
	// maximumSends bounds the replicas that a call is offered to, those that
	// refuse it included.
	maximumSends = 4
	// maximumUnconnected bounds the replicas that take no connection for a call. Each costs
	// some milliseconds where a port is dead, and nobody's budget; after a rack has gone a
	// few in a row are met.
	maximumUnconnected = 16
	// refusedRetryAfter is the advice to a caller whose request found no place.
	refusedRetryAfter = 150 * time.Millisecond
	// minimumLeft is the least time worth sending a request for.
	minimumLeft = 5 * time.Millisecond
	// maximumRest bounds the rest of a connection that carries a request which
	// can't be repeated.
	maximumRest = time.Second
)

// run is the state of one call.
type run struct {
	*Runner
	call      *Call
	responder Responder
	deadline  time.Time
	// suspendedBefore is Runner.suspended when the call arrived.
	suspendedBefore time.Duration
	// attempts are the sends that a replica may have run; sends are all.
	attempts int
	sends    int
	// unsent are the sends, and unread the calls to read, for which the replica took no
	// connection.
	unsent int
	unread int
	// arrivals are the sends that may have reached a replica.
	arrivals int
	tried    []*Replica
	// denied are the replicas that name a limit and had no room for the request.
	denied []*Replica
	// reads are the calls that read the prompt apart.
	reads int
	// unknown says that an attempt may have run.
	unknown bool
	stream  *streamState
	// eventsBefore are the event batches that earlier attempts have brought.
	eventsBefore int
	// moved is set while a stream is between two replicas.
	moved *movedStream
	// lastFailure is a replica's own failure, handed on if nothing better comes.
	lastFailure *wholeAnswer
	// counted says that the request has been counted as begun.
	counted bool
	// lost says that a connection to a replica has broken under the request, and ranWell that one
	// has run it to its end.
	lost    bool
	ranWell bool
	// callerLost says that the answer could not be written to the caller.
	callerLost bool
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// countBegun counts the request as one that began to run at a moment, the first time.
func (r *run) countBegun(at time.Time) {
	if r.counted || r.call.Tenant == "" {
		return
	}
	r.counted = true
	r.begun(r.call.Tenant, at)
}

// Run serves a call until the caller has its answer or is gone.
func (r *Runner) Run(ctx context.Context, call *Call, responder Responder) {
	state := &run{Runner: r, call: call, responder: responder, deadline: call.deadline(), suspendedBefore: r.suspended()}
	r.budgets.Request(call.Service.Name)
	bounded, cancel := context.WithDeadlineCause(ctx, state.deadline, errDeadline)
	defer cancel()
	err := state.serve(bounded)
	call.Runs = state.attempts
	state.tellIfWell()
	if ctx.Err() != nil || state.callerLost {
		r.logger.Info(event.CallerGone, "request", call.ID, "after_ms", time.Since(call.Arrived).Milliseconds(),
			"sends", state.sends)
		r.metrics.request(call, outcomeGone)
		state.breakOff()
		return
	}
	if err != nil {
		state.refuse(err)
		return
	}
	r.metrics.request(call, outcomeAnswered)
	r.logger.V(1).Info(event.RequestAnswered, "request", call.ID, "route", call.Route.Name, "sends", state.sends,
		"events", state.eventCount(), "first_ms", state.firstAfter().Milliseconds(),
		"longest_pause_ms", state.longestPause().Milliseconds(), "after_ms", time.Since(call.Arrived).Milliseconds())
}

// left is the time that the caller has left.
func (r *run) left() time.Duration {
	return time.Until(r.deadline) - (r.suspended() - r.suspendedBefore)
}

// eventCount is the number of event batches handed on.
func (r *run) eventCount() int {
	if r.stream == nil {
		return 0
	}
	return r.stream.events
}

// firstAfter is after how long the first event was handed on, 0 if there was none.
func (r *run) firstAfter() time.Duration {
	if r.stream == nil {
		return 0
	}
	return r.stream.firstAt.Sub(r.call.Arrived)
}

// longestPause is the longest time between two events that were handed on.
func (r *run) longestPause() time.Duration {
	if r.stream == nil {
		return 0
	}
	return r.stream.longestPause
}

var errDeadline = errors.New("the time of the request has ended")

// serve makes attempts until one is answered or no other may be made.
func (r *run) serve(ctx context.Context) error {
	for {
		if err := r.mayGoOn(); err != nil {
			r.dropMoved()
			return err
		}
		if err := r.mayTry(ctx); err != nil {
			return err
		}
		lease, handle, err := r.place(ctx)
		if lease == nil {
			handle.freeUnlessTaken(r.Runner)
		}
		if err != nil {
			return r.limitedOrNone(err)
		}
		if lease == nil {
			return r.noReplica()
		}
		r.tried = append(r.tried, lease.Replica)
		outcome, cause := r.attempt(ctx, lease, handle)
		lease.Release()
		r.metrics.attempt(outcome)
		if outcome == verdictAnswered {
			return nil
		}
		if outcome == verdictMoved {
			continue
		}
		r.logger.Info(event.AttemptEnded, "request", r.call.ID, "replica", lease.Replica.ID, "verdict", outcome.String(),
			"cause", failure.Text(cause), "after_ms", time.Since(r.call.Arrived).Milliseconds(), "sends", r.sends)
		if outcome == verdictUnknown || outcome == verdictFailed {
			r.unknown = true
		}
		if ctx.Err() != nil {
			return failure.Wrap(errDeadline, failure.DeadlineExceeded)
		}
	}
}

// mayGoOn returns why no further send may be made, or nil.
func (r *run) mayGoOn() error {
	if r.isHeld() {
		return failure.New(failure.RequestHeld, "replicas have ended under this request")
	}
	if r.lost && r.guard != nil && !r.guard.MayRepeat(r.call) {
		return failure.New(failure.OutcomeUnknown, "replicas have ended under this request, and it is not known under which of several")
	}
	if r.left() < minimumLeft {
		return failure.Wrap(errDeadline, failure.DeadlineExceeded)
	}
	if r.moved != nil {
		return nil
	}
	if r.unknown && !r.call.Route.Repeatable() {
		return failure.New(failure.OutcomeUnknown, "the request may have run and may not be repeated")
	}
	if r.sends > 0 && r.directory.off[mechanism.Retries] {
		return failure.New(failure.AttemptsExhausted, "no further attempt is allowed")
	}
	if r.attempts >= max(r.call.Route.MaximumAttempts, 1) || r.sends-r.unsent >= maximumSends || r.isUnconnected() {
		return failure.New(failure.AttemptsExhausted, "no further attempt is allowed")
	}
	if r.arrivals > 0 && !r.budgets.Withdraw(r.call.Service.Name) {
		return failure.New(failure.AttemptsExhausted, "the retry budget is used up")
	}
	return nil
}

// isUnconnected reports whether too many replicas have taken no connection.
func (r *run) isUnconnected() bool { return r.unsent+r.unread >= maximumUnconnected }

// isModelCall reports whether the call is for model engines.
func (r *run) isModelCall() bool { return r.call.Service.Engine != nil && r.call.Prompt != nil }

// place leases the replica of the next send, nil if there is none, with the prompt that
// another has read for it.
func (r *run) place(ctx context.Context) (*Lease, *promptHandle, error) {
	if moved := r.moved; moved != nil {
		r.moved = nil
		return moved.lease, moved.handle, nil
	}
	// Replicas that had no room for an earlier try may have some by now.
	r.denied = nil
	if !r.isModelCall() {
		lease, err := r.permitted(ctx, func() (*Lease, error) {
			wanted := Wanted{Rank: rankOf(r.call.Route.Priority), Excluded: r.excluded(), Unlimited: r.onlyUnlimited()}
			return r.directory.PickAny(r.call.Service.Name, wanted), nil
		})
		return lease, nil, err
	}
	return r.placeModelCall(ctx)
}

// refuse ends a call that no replica has answered. A replica's own failure goes
// before the gateway's.
func (r *run) refuse(err error) {
	if r.stream != nil {
		r.logger.Info(event.StreamBrokenOff, "request", r.call.ID, "events", r.stream.events, "cause", err.Error())
		r.metrics.request(r.call, outcomeBroken)
		r.breakOff()
		return
	}
	if answer := r.lastFailure; answer != nil {
		r.logger.Info(event.FailureHandedOn, "request", r.call.ID, "status", answer.status, "cause", err.Error())
		r.metrics.request(r.call, outcomeFailed)
		r.responder.Answer(answer.status, answer.header, answer.body)
		return
	}
	if failure.KindOf(err) == failure.RequestHeld {
		if r.unknown {
			err = failure.Wrap(err, failure.RequestHeld, failure.WithRan(failure.RanUnknown))
		}
	} else if !r.unknown {
		// Whatever ended the call, no replica has run it or ever will.
		err = failure.Wrap(err, failure.BackEndRefused, failure.WithRetryAfter(r.comeBackAfter(err)))
	} else if failure.KindOf(err) != failure.DeadlineExceeded {
		err = failure.Wrap(err, failure.OutcomeUnknown)
	}
	answer := failure.AnswerFor(err)
	r.logger.Info(event.RequestRefused, "request", r.call.ID, "route", r.call.Route.Name, "tenant", r.call.Tenant,
		"rank", r.call.Route.Priority, "kind", string(answer.Kind), "status", answer.Status, "retry_after_ms", answer.RetryAfter.Milliseconds(),
		"cause", err.Error(), "sends", r.sends, "digest", r.heldDigest(), "after_ms", time.Since(r.call.Arrived).Milliseconds())
	r.metrics.request(r.call, string(answer.Kind))
	r.responder.Refuse(err)
}

// comeBackAfter is when the caller of a request that has not run should come back: when
// there is room by what was known as it was refused.
func (r *run) comeBackAfter(err error) time.Duration {
	var full *noRoomError
	if errors.As(err, &full) {
		return full.until
	}
	var resting *restingError
	if errors.As(err, &resting) {
		return resting.wait
	}
	var limited *limitedError
	if errors.As(err, &limited) {
		return limited.wait
	}
	var tried *probationError
	if errors.As(err, &tried) {
		return tried.wait
	}
	return refusedRetryAfter
}

func (r *run) breakOff() {
	if r.stream != nil {
		r.stream.writer.Abort()
	}
}
