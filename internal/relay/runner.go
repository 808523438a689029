package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/membudget"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Runner runs calls. It is safe for concurrent use.
type Runner struct {
	directory *Directory
	placer    *Placer
	client    *upstream.Client
	dialect   Dialect
	budgets   *RetryBudgets
	metrics   *Metrics
	logger    logr.Logger
	// onStart is called once for each request of a tenant that begins to run, with the time at which
	// it began.
	onStart func(tenant string, at time.Time)
	// configurationVersion returns the version of the configuration in effect, 0 if it is unknown.
	configurationVersion func() uint64
	// listKnowledge returns how old the list of replicas is, for the log.
	listKnowledge func() ListKnowledge
	// crashDetector finds out whether the process of a replica has ended after a connection to it was lost.
	crashDetector *poison.CrashDetector
	// suspended returns how long the machine has been suspended since a fixed point in time.
	suspended func() time.Duration
	// guard knows the requests that must not be sent to any replica.
	guard *poison.Guard
	// limits tracks the rate limits that replicas declare; with nil none are tracked.
	limits *ReplicaLimits
	// forwarder hands calls to peer gateways; nil if there are none.
	forwarder Forwarder
	// probationPermit asks a coordinator whether a request on probation may be sent now. If nil, no
	// coordinator is asked.
	probationPermit func(ctx context.Context, digest poison.Digest) (wait time.Duration)
	// recordOrigin records where streams begin; nil if nothing keeps that.
	recordOrigin OriginRecorder
	// stop is nil until a planned stop begins.
	stop atomic.Pointer[Stop]
	// givenUp ends with giveUp, once calls that still run are given up.
	givenUp context.Context
	giveUp  context.CancelFunc
}

// NewRunner returns a Runner that places requests from the given directory, without a guard, rate
// limits or coordinators.
func NewRunner(directory *Directory, client *upstream.Client, dialect Dialect, budgets *RetryBudgets, metrics *Metrics, logger logr.Logger) *Runner {
	runner := &Runner{
		directory: directory,
		placer:    &Placer{Directory: directory},
		client:    client,
		dialect:   dialect,
		budgets:   budgets,
		metrics:   metrics,
		logger:    logger,
		onStart:   func(string, time.Time) {},
		suspended: func() time.Duration { return 0 },

		configurationVersion: func() uint64 { return 0 },
		listKnowledge:        func() ListKnowledge { return ListKnowledge{} },
	}
	runner.givenUp, runner.giveUp = context.WithCancel(context.Background())
	runner.crashDetector = poison.NewLoggingDetector(runner.hasEnded, logger)
	return runner
}

// OnRequestStart sets a function that is called once for each request of a tenant that begins to run,
// with the time at which it began. It must be called before the Runner is used.
func (r *Runner) OnRequestStart(onStart func(tenant string, at time.Time)) { r.onStart = onStart }

// SetGuard sets a guard that is notified of what happens to requests and asked which ones are
// held. It must be called before the Runner is used.
func (r *Runner) SetGuard(guard *poison.Guard) {
	r.guard = guard
	r.crashDetector = poison.NewGuardedDetector(guard, r.hasEnded, r.logger)
	r.crashDetector.OnCrash = func(incarnation string, under []poison.Digest) {
		r.directory.ProcessEnded(incarnation)
		guard.ReplicaCrashed(incarnation, under)
	}
}

// SetProbationPermits sets a function that asks a coordinator before a request on probation is sent. It must
// be called before the Runner is used.
func (r *Runner) SetProbationPermits(permit func(ctx context.Context, digest poison.Digest) (wait time.Duration)) {
	r.probationPermit = permit
}

// SetSuspendedTime sets a function that returns the total time for which the machine was suspended,
// so that it counts towards the time that calls have taken. Deadlines are kept by the monotonic
// clock, which stops during a suspension: without this, replicas would be told of more time than
// their callers have left. It must be called before the Runner is used.
func (r *Runner) SetSuspendedTime(suspended func() time.Duration) { r.suspended = suspended }

// SetRemotePlacement sets the remote placement, by which a coordinator is asked for replicas. It must be
// called before the Runner is used.
func (r *Runner) SetRemotePlacement(remote *RemotePlacement) { r.placer.Remote = remote }

const (
	// maximumSends bounds the replicas that a call is offered to, including those that reject it.
	maximumSends = 4
	// maximumUnsent bounds the sends and prefills of a call that reach no replica. A dead port costs
	// a few milliseconds and none of the retry budget; after the loss of a rack, several replicas
	// in a row may take no connection.
	maximumUnsent = 16
	// defaultRetryAfter is the Retry-After of a request that was rejected for a reason that implies no other
	// time. It is also the minimum if no replica has capacity for a prompt, unless the caller has little time
	// left.
	defaultRetryAfter = 150 * time.Millisecond
	// minimumTimeLeft is the least remaining time for which a request is sent.
	minimumTimeLeft = 5 * time.Millisecond
	// maximumConnectionIdle bounds how long a reused connection may have been idle if it carries a
	// request that cannot be repeated: the replica may have dropped an older one silently.
	maximumConnectionIdle = time.Second
)

// callState is the state of one call.
type callState struct {
	*Runner
	call      *Call
	responder Responder
	deadline  time.Time
	// suspendedBefore is the value of Runner.suspended at the start of the call.
	suspendedBefore time.Duration
	// attempts counts the sends that a replica may have run, sends all of them.
	attempts int
	sends    int
	// unsent counts the sends, and unsentPrefills the prefill requests, that reached no replica: no
	// connection was made, or the client held them back. Rejected requests are not among them.
	unsent         int
	unsentPrefills int
	// unconnected counts the sends and prefills among these for which no connection could be made.
	unconnected int
	// ledger counts the arrivals at replicas, and the retries that were paid for.
	ledger ledger
	// forwards counts the peers to which the call was forwarded. peersDeclined is set once no other one takes it, and
	// peerRefusal if one has refused it for good.
	forwards      int
	peersDeclined bool
	peerRefusal   error
	// requestCounted is set once the call has been added to the retry budget.
	requestCounted bool
	// tried are the replicas that are not to be sent the request again, lastTried is the last one that it was sent to.
	tried     []*Replica
	lastTried *Replica
	// denied are the replicas that declare a limit and had no capacity left for the request.
	denied []*Replica
	// prefills counts the prefill requests sent, without those that reached no replica.
	prefills int
	// mayHaveRun is set if an attempt may have run.
	mayHaveRun bool
	stream     *streamState
	// earlierEvents counts the event batches forwarded by earlier attempts.
	earlierEvents int
	// moved is set while a stream is between two replicas. stopped is set from when this gateway has had a replica
	// stop the stream until another one has continued it.
	moved   *movedStream
	stopped bool
	// lastErrorResponse is an error response of a replica, forwarded to the caller if no later attempt
	// gets an answer.
	lastErrorResponse *bufferedResponse
	// startCounted is set once the request has been counted as begun.
	startCounted bool
	// connectionLost is set if a connection to a replica broke under the request, succeeded if a
	// replica ran it to its end.
	connectionLost bool
	succeeded      bool
	// writeError is set if the answer could not be written to the caller.
	writeError error
	// streamBreak is why the connection to the stream's last replica broke, nil if it did not.
	streamBreak error
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// kept is the memory that it takes.
	kept membudget.Reservation
}

// countStart counts the request as begun at a given time. Only the first call has an effect, and none for a
// request without a tenant.
func (r *callState) countStart(at time.Time) {
	if r.startCounted || r.call.Tenant == "" {
		return
	}
	r.startCounted = true
	r.onStart(r.call.Tenant, at)
}

// Run serves a call until the caller has its answer or has disconnected.
func (r *Runner) Run(ctx context.Context, call *Call, responder Responder) {
	state := &callState{Runner: r, call: call, responder: responder, deadline: call.deadline(), suspendedBefore: r.suspended()}
	state.attempts, state.ledger, state.mayHaveRun = call.Progress.Attempts, newLedger(call.Progress), call.Progress.MayHaveRun
	deadlineCtx, cancel := context.WithDeadlineCause(ctx, state.deadline, errDeadline)
	defer cancel()
	bounded, unbind := endingWith(deadlineCtx, r.givenUp, errLeaving)
	defer unbind()
	defer state.releaseErrorResponse()
	err := state.serve(bounded)
	state.returnUnused()
	call.Runs = state.attempts
	state.reportSuccess()
	if ctx.Err() != nil || state.writeError != nil {
		state.logCallerGone(ctx)
		r.metrics.countRequest(call, outcomeCallerGone)
		state.abortStream()
		return
	}
	if state.stream == nil {
		responder.OnWriteError(state.logUnwritten)
	}
	if err != nil {
		state.refuse(err)
		return
	}
	r.metrics.countRequest(call, outcomeAnswered)
	r.logger.V(1).Info(event.RequestAnswered, "request", call.ID, "route", call.Route.Name, "sends", state.sends,
		"events", state.eventCount(), "first_ms", state.timeToFirstEvent().Milliseconds(),
		"longest_pause_ms", state.longestEventGap().Milliseconds(), "after_ms", time.Since(call.Arrived).Milliseconds())
}

// timeLeft returns the time that the caller has left.
func (r *callState) timeLeft() time.Duration {
	return time.Until(r.deadline) - (r.suspended() - r.suspendedBefore)
}

// eventCount returns the number of event batches forwarded.
func (r *callState) eventCount() int {
	if r.stream == nil {
		return 0
	}
	return r.stream.events
}

// timeToFirstEvent returns the time from arrival to the first forwarded event, 0 if there was none.
func (r *callState) timeToFirstEvent() time.Duration {
	if r.stream == nil {
		return 0
	}
	return r.stream.firstAt.Sub(r.call.Arrived)
}

// longestEventGap returns the longest time between two forwarded events.
func (r *callState) longestEventGap() time.Duration {
	if r.stream == nil {
		return 0
	}
	return r.stream.longestEventGap
}

var errDeadline = errors.New("the time of the request has ended")

// serve makes attempts until one is answered or no other may be made.
func (r *callState) serve(ctx context.Context) error {
	for {
		if r.mayForward() {
			outcome, err := r.serveByPeer(ctx)
			if outcome == verdictAnswered || outcome == verdictFailed {
				return err
			}
		}
		if r.unserviceable() {
			return cutOffError()
		}
		r.countRequest()
		lease, handle, err := r.next(ctx)
		if errors.Is(err, errForward) {
			continue
		}
		if err != nil && (r.awaitContinuation(ctx, err) || r.awaitNewSoftware(ctx, err)) {
			continue
		}
		if err != nil {
			return err
		}
		r.tried, r.lastTried = append(r.tried, lease.Replica), lease.Replica
		outcome, cause := r.attemptSend(ctx, lease, handle)
		lease.Release()
		r.metrics.countAttempt(outcome)
		if outcome == verdictAnswered {
			return nil
		}
		if outcome == verdictMoved && cause == nil {
			continue
		}
		r.logger.Info(event.AttemptEnded, "request", r.call.ID, "replica", lease.Replica.ID, "verdict", outcome.String(),
			"cause", failure.Text(cause), "after_ms", time.Since(r.call.Arrived).Milliseconds(), "sends", r.sends)
		if outcome == verdictUnknown || outcome == verdictFailed {
			r.mayHaveRun = true
		}
		if ctx.Err() != nil {
			return endOf(ctx)
		}
	}
}

// serveByPeer forwards the call, unless no further attempt may be made. The verdict is verdictFailed if it ends with the
// error.
func (r *callState) serveByPeer(ctx context.Context) (verdict, error) {
	if err := r.checkAttemptAllowed(); err != nil {
		return verdictFailed, err
	}
	outcome, err := r.forwardCall(ctx)
	if outcome == verdictUnknown {
		r.mayHaveRun = true
	}
	if ctx.Err() != nil && outcome != verdictAnswered {
		return verdictFailed, endOf(ctx)
	}
	return outcome, err
}

// countRequest adds the call to the retry budget before its first send. Where it is forwarded, the peer does so.
func (r *callState) countRequest() {
	if !r.requestCounted {
		r.requestCounted = true
		r.budgets.Request(r.call.Service.Name)
	}
}

// next leases the replica for the next send, with the handle of the prompt or the moved stream if there is one. It
// returns the reason if no further send may be made or no replica was found.
func (r *callState) next(ctx context.Context) (*Lease, *promptHandle, error) {
	if err := r.checkSendAllowed(); err != nil {
		r.releaseMoved()
		return nil, nil, err
	}
	if err := r.checkProbation(ctx); err != nil {
		r.releaseMoved()
		return nil, nil, err
	}
	lease, handle, err := r.place(ctx)
	if lease == nil {
		handle.freeUnlessConsumed(r.Runner)
	}
	if errors.Is(err, errForward) {
		return nil, nil, err
	}
	if err != nil {
		return nil, nil, r.explainNoReplica(err)
	}
	if lease == nil {
		return nil, nil, r.noReplicaError()
	}
	if r.stopped && handle == nil && !r.payWithDebt(retryContinuation) {
		lease.Release()
		return nil, nil, failure.New(failure.AttemptsExhausted, "the retry budget is overdrawn")
	}
	return lease, handle, nil
}

// checkSendAllowed returns the reason why no further send may be made, or nil. It pays for the send, except for one of a
// stream that this gateway has stopped: that is paid for once a replica was found.
func (r *callState) checkSendAllowed() error {
	if err := r.checkAttemptAllowed(); err != nil {
		return err
	}
	if r.moved == nil && !r.stopped && !r.pay(retrySend) {
		return errRetryBudget
	}
	return nil
}

var errRetryBudget = failure.New(failure.AttemptsExhausted, "the retry budget is used up")

// checkAttemptAllowed returns the reason why no further attempt may be made, here or by a peer, or nil.
func (r *callState) checkAttemptAllowed() error {
	if r.isHeld() {
		return failure.New(failure.RequestHeld, "replicas have ended under this request")
	}
	if r.connectionLost && r.guard != nil && !r.guard.MayRetry(r.call) {
		return failure.New(failure.OutcomeUnknown, "replicas have ended under this request, and it is not known under which of several")
	}
	if r.timeLeft() < minimumTimeLeft {
		return failure.Wrap(errDeadline, failure.DeadlineExceeded)
	}
	if r.leavesTooSoon() {
		return errLeaving
	}
	if r.moved != nil {
		return nil
	}
	if r.mayHaveRun && !r.call.Route.Repeatable() {
		return failure.New(failure.OutcomeUnknown, "the request may have run and may not be repeated")
	}
	if r.sends > 0 && r.directory.disabled[mechanism.Retries] {
		return failure.New(failure.AttemptsExhausted, "no further attempt is allowed")
	}
	if r.attemptsUsedUp() || !r.stopped && r.sendsUsedUp() {
		return failure.New(failure.AttemptsExhausted, "no further attempt is allowed")
	}
	return nil
}

// attemptsUsedUp reports whether as many replicas may have run the request as its route allows.
func (r *callState) attemptsUsedUp() bool { return r.attempts >= max(r.call.Route.MaximumAttempts, 1) }

// sendsUsedUp reports whether the request was offered to as many replicas as a call may be.
func (r *callState) sendsUsedUp() bool { return r.sends-r.unsent >= maximumSends || r.tooManyUnsent() }

// tooManyUnsent reports whether too many sends and prefills have reached no replica.
func (r *callState) tooManyUnsent() bool { return r.unsent+r.unsentPrefills >= maximumUnsent }

// isModelCall reports whether the call is for model engines.
func (r *callState) isModelCall() bool { return r.call.Service.Engine != nil && r.call.Prompt != nil }

// place leases the replica for the next send, nil if there is none. The handle is that of the prompt
// if another replica has prefilled it, or of a moved stream's memory, and otherwise nil.
func (r *callState) place(ctx context.Context) (*Lease, *promptHandle, error) {
	if moved := r.moved; moved != nil {
		r.moved = nil
		return moved.lease, moved.handle, nil
	}
	// Replicas without capacity for an earlier try may have some by now.
	r.denied = nil
	if !r.isModelCall() {
		lease, err := r.permitted(ctx, func() (*Lease, error) {
			wanted := Wanted{Rank: r.rank(), Excluded: r.excluded(), Unlimited: r.onlyUnlimitedReplicas(), Software: r.call.Software, BeginsStream: r.call.beginsStream()}
			return r.directory.PickAny(r.call.Service.Name, wanted), nil
		})
		return lease, nil, err
	}
	return r.placeModelCall(ctx)
}

// refuse ends a call that no replica has answered. A stream that has begun is broken off. Otherwise, an error
// response of a replica takes precedence over an error of the gateway.
func (r *callState) refuse(err error) {
	if r.stream != nil {
		r.logStreamBrokenOff(err)
		r.metrics.countRequest(r.call, outcomeBrokenOff)
		r.abortStream()
		return
	}
	if response := r.lastErrorResponse; response != nil {
		r.logger.Info(event.FailureHandedOn, "request", r.call.ID, "status", response.status, "cause", err.Error())
		r.metrics.countRequest(r.call, outcomeReplicaFailed)
		r.responder.Answer(response.status, response.header, response.body)
		return
	}
	if r.peerRefusal != nil {
		err = r.peerRefusal
	} else if failure.KindOf(err) == failure.RequestHeld {
		if r.mayHaveRun {
			err = failure.Wrap(err, failure.RequestHeld, failure.WithRan(failure.RanUnknown))
		}
	} else if failure.KindOf(err) == failure.StreamNotResumed && !r.mayHaveRun {
		err = failure.Wrap(err, failure.StreamNotResumed, failure.WithRetryAfter(defaultRetryAfter))
	} else if kind := failure.KindOf(err); kind != failure.CutOff && kind != failure.Leaving && !r.mayHaveRun {
		// Whatever ended the call, no replica has run it or will run it later.
		err = failure.Wrap(err, failure.BackEndRefused, failure.WithRetryAfter(r.retryAfter(err)))
	} else if r.mayHaveRun && failure.KindOf(err) != failure.DeadlineExceeded && !(r.call.Forwarded && failure.KindOf(err) == failure.CutOff) {
		err = failure.Wrap(err, failure.OutcomeUnknown)
	}
	response := failure.AnswerFor(err)
	heldDigest, heldPart := r.heldDigestForLog()
	r.logger.Info(event.RequestRefused, "request", r.call.ID, "route", r.call.Route.Name, "tenant", r.call.Tenant,
		"rank", r.call.Route.Priority, "kind", string(response.Kind), "status", response.Status, "retry_after_ms", response.RetryAfter.Milliseconds(),
		"cause", err.Error(), "sends", r.sends, "digest", heldDigest, "part", heldPart, "after_ms", time.Since(r.call.Arrived).Milliseconds())
	r.metrics.countRequest(r.call, string(response.Kind))
	r.responder.Refuse(err)
}

// retryAfter returns the time after which the caller should retry. If err is due to a lack of capacity, a
// backoff or a rate limit, this is when capacity was expected to be free, by what was known at the time of the
// refusal. If the request is on probation and another gateway is trying it, it is how long the outcome of that
// try may stay unknown. For all other errors, it is defaultRetryAfter.
func (r *callState) retryAfter(err error) time.Duration {
	var noCapacity *noCapacityError
	if errors.As(err, &noCapacity) {
		return noCapacity.until
	}
	var backoff *backoffError
	if errors.As(err, &backoff) {
		return backoff.wait
	}
	var limited *limitedError
	if errors.As(err, &limited) {
		return limited.wait
	}
	var probation *probationError
	if errors.As(err, &probation) {
		return probation.wait
	}
	return defaultRetryAfter
}

func (r *callState) abortStream() {
	if r.stream != nil {
		r.stream.writer.Abort()
	}
}
