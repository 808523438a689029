package relay

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/traffic"
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

// verdict is what an attempt has led to.
type verdict int

const (
	// verdictAnswered: the caller has its answer.
	verdictAnswered verdict = iota
	// verdictNotRun: the replica has not run the request and never will.
	verdictNotRun
	// verdictUnknown: the replica may have run it, and no answer came.
	verdictUnknown
	// verdictFailed: the replica answered with a failure of its own.
	verdictFailed
	// verdictMoved: the stream goes on at another replica.
	verdictMoved
)

// Run serves a call until the caller has its answer or is gone.
func (r *Runner) Run(ctx context.Context, call *Call, responder Responder) {
	state := &run{Runner: r, call: call, responder: responder, deadline: call.deadline(), suspendedBefore: r.suspended()}
	r.budgets.Request(call.Service.Name)
	bounded, cancel := context.WithDeadlineCause(ctx, state.deadline, errDeadline)
	defer cancel()
	err := state.serve(bounded)
	state.tellIfWell()
	if ctx.Err() != nil {
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
		lease, handle, err := r.place(ctx)
		if err != nil {
			return err
		}
		if lease == nil {
			handle.freeUnlessTaken(r.Runner)
			return errNoReplica
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
	if !r.isModelCall() {
		return r.directory.PickAny(r.call.Service.Name, r.tried), nil, nil
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
	r.logger.Info(event.RequestRefused, "request", r.call.ID, "kind", string(answer.Kind), "status", answer.Status,
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
	return refusedRetryAfter
}

func (r *run) breakOff() {
	if r.stream != nil {
		r.stream.writer.Abort()
	}
}

// request builds the request of one send.
func (r *run) request(replica *Replica, send Send) *upstream.Request {
	send.Instance = replica.ID
	send.Tenant = r.call.Tenant
	send.Left = r.left()
	request := &upstream.Request{
		Address:  replica.Address,
		Instance: replica.ID,
		Method:   r.call.Method,
		Target:   r.call.Target,
		Host:     r.call.Host,
		Header:   append(r.call.Header[:len(r.call.Header):len(r.call.Header)], r.dialect.Fields(send)...),
		Body:     r.call.Body,
		Belongs: func(header http.Header) bool {
			marks := r.dialect.ReadMarks(header)
			return marks.RequestID == "" || marks.RequestID == r.call.ID
		},
	}
	if !r.call.Route.Repeatable() {
		request.MaximumRest = maximumRest
	}
	return request
}

// attempt sends the request to a replica and hands its answer on. The handle is
// that of the prompt, nil if the replica is to read it itself.
func (r *run) attempt(ctx context.Context, lease *Lease, handle *promptHandle) (verdict, error) {
	defer handle.freeUnlessTaken(r.Runner)
	if ctx.Err() != nil {
		return verdictNotRun, context.Cause(ctx)
	}
	send := Send{LastEvent: r.call.LastEvent}
	if r.stream != nil && r.stream.lastEvent != "" {
		send.LastEvent = r.stream.lastEvent
	}
	switch {
	case handle != nil:
		send.Source = handle.source()
		send.Moved = r.stream != nil
	case r.isModelCall():
		send.Fetch = lease.FetchFrom()
	}
	outcome, err := r.exchange(ctx, lease, send)
	if handle != nil {
		handle.taken = outcome != verdictNotRun
	}
	return outcome, err
}

// exchange makes one send.
func (r *run) exchange(ctx context.Context, lease *Lease, send Send) (verdict, error) {
	r.sends++
	choice := lease.Choice
	r.logger.V(1).Info(event.RequestSent, "request", r.call.ID, "route", r.call.Route.Name, "replica", lease.Replica.ID,
		"address", lease.Replica.Address, "source", send.Source, "fetch", send.Fetch, "send", r.sends,
		"candidates", choice.Candidates, "in_flight", choice.InFlight, "peers_age_ms", choice.PeersAge.Milliseconds(),
		"occupancy", math.Round(choice.Occupancy*100)/100, "load_age_ms", choice.LoadAge.Milliseconds(),
		"missing", lease.missing(), "wait_ms", lease.expectedWait().Milliseconds(), "placed_by", lease.placedBy())
	if send.LastEvent != "" {
		r.logger.Info(event.StreamContinued, "request", r.call.ID, "replica", lease.Replica.ID, "after_event", send.LastEvent,
			"send", r.sends, "after_ms", time.Since(r.call.Arrived).Milliseconds())
	}
	r.eventsBefore = r.eventCount()
	sentAt := time.Now()
	answer, err := r.client.Do(ctx, r.request(lease.Replica, send))
	if err != nil {
		if upstream.HandedOver(err) && !r.isModelCall() {
			// It may have run, and most such requests have.
			r.countBegun(sentAt)
		}
		return r.connectionFailed(ctx, lease, err)
	}
	defer answer.Close()
	r.arrivals++
	marks := r.dialect.ReadMarks(answer.Header)
	if marks.NotRun || answer.Status == http.StatusMisdirectedRequest {
		r.noteRefusal(lease, answer, marks)
		return verdictNotRun, failure.New(failure.BackEndRefused, http.StatusText(answer.Status))
	}
	if !send.Moved {
		r.attempts++
	}
	if !marks.Sealed {
		lease.Answered(true, marks.Load)
		return verdictUnknown, failure.New(failure.AnswerBroken, "the answer bears no mark of the replica")
	}
	if !r.isModelCall() {
		r.countBegun(sentAt)
	}
	if r.call.Route.Kind == traffic.KindStream && answer.Status < http.StatusMultipleChoices {
		return r.relayStream(ctx, lease, answer, marks, send)
	}
	return r.relayWhole(ctx, lease, answer, marks)
}

// connectionFailed judges an exchange without an answer.
func (r *run) connectionFailed(ctx context.Context, lease *Lease, err error) (verdict, error) {
	handedOver := upstream.HandedOver(err)
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadline) {
		lease.Unreachable(handedOver && !upstream.Silent(err))
		if handedOver {
			r.replicaLost(ctx, lease, err)
		}
		r.client.Forget(lease.Replica.Address, lease.Replica.ID)
	}
	if !handedOver {
		r.unsent++
		return verdictNotRun, err
	}
	r.arrivals++
	r.attempts++
	return verdictUnknown, err
}

func (r *run) noteRefusal(lease *Lease, answer *upstream.Exchange, marks Marks) {
	_, _ = answer.ReadAll()
	if answer.Status == http.StatusMisdirectedRequest {
		lease.Misdirected()
		return
	}
	lease.Full()
}

// relayWhole hands a whole answer on. A failure of the replica's own is kept
// back while another attempt may do better.
func (r *run) relayWhole(ctx context.Context, lease *Lease, answer *upstream.Exchange, marks Marks) (verdict, error) {
	body, err := answer.ReadAll()
	if err != nil {
		lease.Unreachable(true)
		r.replicaLost(ctx, lease, err)
		return verdictUnknown, err
	}
	failed := answer.Status >= http.StatusInternalServerError
	lease.Answered(failed, marks.Load)
	if failed && r.stream == nil {
		r.lastFailure = &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
		return verdictFailed, failure.New(failure.BackEndRefused, http.StatusText(answer.Status))
	}
	if r.stream != nil {
		return verdictUnknown, failure.New(failure.AnswerBroken, "the stream was not continued")
	}
	r.ranWell = answer.Status < http.StatusInternalServerError
	r.metrics.firstAnswer(r.call)
	r.responder.Answer(answer.Status, answer.Header, body)
	return verdictAnswered, nil
}

func (v verdict) String() string {
	switch v {
	case verdictAnswered:
		return "answered"
	case verdictNotRun:
		return "not_run"
	case verdictMoved:
		return "moved"
	case verdictUnknown:
		return "unknown"
	default:
		return "failed"
	}
}
