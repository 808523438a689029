package application

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/applicationclient"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/wire"
)

const (
	// maximumOnceAttempts bounds the attempts at one call; each has its own
	// claim, made after the one before was given back.
	maximumOnceAttempts = 3
	// claimResends bounds the claims sent again after a lost reply.
	claimResends = 1
	// claimTimeout bounds one call to the group.
	claimTimeout = 2 * time.Second
	// recordAttempts bounds the tries to end a claim at once; after them it
	// joins the unended claims.
	recordAttempts = 5
	recordDelay    = 200 * time.Millisecond
)

// RunOnce runs a call that may not be repeated. It returns as soon as the caller
// can be told; a run that is still open is waited for in the background, so that
// its answer is stored.
func (r *Runner) RunOnce(ctx context.Context, call Call) Answer {
	var tried []string
	for attempt := 1; ; attempt++ {
		once := r.newOnce(&call, tried)
		answer, retriable := once.run(ctx)
		if !retriable || attempt == maximumOnceAttempts || ctx.Err() != nil || r.isHeld(&call) {
			return answer
		}
		tried = once.tried
	}
}

// onceRun is one attempt at a call. Its loop alone touches the machine.
type onceRun struct {
	runner    *Runner
	call      *Call
	machine   *request.OnceOnly
	attemptID string
	tried     []string
	// inputs are given to the machine by the loop.
	inputs    chan func() []request.OnceOutput
	told      chan Answer
	retriable bool
	released  chan bool
}

func (r *Runner) newOnce(call *Call, tried []string) *onceRun {
	attemptID := uuid.NewString()
	return &onceRun{
		runner:    r,
		call:      call,
		attemptID: attemptID,
		tried:     tried,
		machine: request.NewOnceOnly(request.OnceOnlyParameters{
			AttemptID:    attemptID,
			Deadline:     call.Deadline,
			ClaimResends: claimResends,
		}),
		inputs:   make(chan func() []request.OnceOutput, 4),
		told:     make(chan Answer, 1),
		released: make(chan bool, 1),
	}
}

// run starts the attempt's loop and waits until the caller can be told.
// retriable is true if the claim was given back for certain, so that another
// attempt may be made.
func (o *onceRun) run(ctx context.Context) (answer Answer, retriable bool) {
	o.runner.begin(o.attemptID, o.call)
	if err := o.runner.workers.Submit(func() { o.loop(ctx) }); err != nil {
		o.runner.end(o.attemptID)
		return outOfWorkers(failure.RanUnknown), false
	}
	answer = <-o.told
	if !o.retriable {
		return answer, false
	}
	select {
	case released := <-o.released:
		return answer, released
	case <-ctx.Done():
		return answer, false
	}
}

func (o *onceRun) loop(ctx context.Context) {
	defer o.runner.end(o.attemptID)
	clock := o.runner.clock
	timer := time.NewTimer(max(0, o.call.Deadline-clock()))
	defer timer.Stop()
	gone := ctx.Done()
	o.act(o.machine.Start(clock()))
	for !o.machine.Done() {
		select {
		case input := <-o.inputs:
			o.act(input())
		case <-timer.C:
			o.act(o.machine.Tick(clock()))
		case <-gone:
			gone = nil
			o.act(o.machine.CallerDisconnected(clock()))
			o.tell(refused(failure.CallerGone, failure.RanUnknown, ""))
		}
	}
}

// act tells the caller first and ends the claim afterwards: the machine asks for
// the end of the claim only as its last output.
func (o *onceRun) act(outputs []request.OnceOutput) {
	for _, output := range outputs {
		switch asked := output.(type) {
		case request.SendClaim:
			o.later(o.claim)
		case request.DispatchOnce:
			o.later(func() func() []request.OnceOutput { return o.dispatch(asked.Deadline) })
		case request.AnswerOnce:
			o.tell(Answer{Status: asked.Status, Body: asked.Body, Stored: asked.Stored})
		case request.RefuseOnce:
			o.retriable = asked.Retriable
			o.tell(refused(asked.Kind, asked.Ran, asked.Detail))
		}
	}
	for _, output := range outputs {
		switch asked := output.(type) {
		case request.StoreAnswer:
			o.store(asked)
		case request.EndClaim:
			o.endClaim(asked)
		}
	}
}

// later does something that takes time and gives its result to the loop. It
// needs no further worker from the pool, because the loop waits meanwhile; the
// pool's bound on attempts therefore bounds these too.
func (o *onceRun) later(work func() func() []request.OnceOutput) {
	go func() { o.inputs <- work() }()
}

func (o *onceRun) tell(answer Answer) {
	select {
	case o.told <- answer:
	default:
	}
}

func (o *onceRun) claim() func() []request.OnceOutput {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	reply, err := o.runner.group.Claim(ctx, &wire.ClaimRequest{
		Tenant:    o.call.Tenant,
		Key:       o.call.Key,
		BodyHash:  o.call.hash(),
		AttemptID: o.attemptID,
	})
	return func() []request.OnceOutput {
		now := o.runner.clock()
		if err == nil {
			return o.machine.Claimed(now, reply)
		}
		return o.machine.ClaimFailed(now, claimFailure(err), !certainlyNotClaimed(err), err.Error())
	}
}

// claimFailure is what the caller is told of a claim that failed.
func claimFailure(err error) failure.Kind {
	kind := failure.KindOf(err)
	if !rpc.Answered(err) || kind == failure.NotLeader || kind == failure.OutcomeUnknown {
		return failure.NoQuorum
	}
	return kind
}

// certainlyNotClaimed reports whether a failed claim was not committed.
func certainlyNotClaimed(err error) bool {
	if rpc.NotDelivered(err) {
		return true
	}
	return rpc.Answered(err) && failure.AnswerFor(err).Ran == failure.RanNo
}

// dispatch hands the request to one back end and reports how that ended.
func (o *onceRun) dispatch(by time.Duration) func() []request.OnceOutput {
	now := o.runner.clock
	if o.runner.isHeld(o.call) {
		// Only now: the answer of an earlier run is delivered.
		return func() []request.OnceOutput { return o.machine.NotSent(now(), failure.RequestHeld, heldDetail) }
	}
	able := o.runner.fleet.Snapshot().BackEndsOf(o.call.Application)
	chosen, found := o.runner.chosen.take(now(), able, o.tried)
	if !found {
		return func() []request.OnceOutput {
			return o.machine.NotSent(now(), failure.NoBackEnd, "no back end of the application takes new work")
		}
	}
	defer o.runner.chosen.give(chosen.ID)
	o.tried = append(o.tried, chosen.ID)
	ctx, cancel := context.WithTimeout(context.Background(), o.runner.runTime(now(), o.call.Deadline))
	defer cancel()
	result := o.runner.client.Do(ctx, applicationclient.Run{
		Address: chosen.Address,
		Request: o.call.wire(o.attemptID),
		Permit:  func() (func(), bool) { return o.permit(chosen.ID, by) },
	})
	o.runner.judge(ctx, o.call, chosen.ID, chosen.Address, result)
	if result.Err != nil && !errors.Is(result.Err, exchange.ErrNotPermitted) {
		o.runner.chosen.failed(now(), chosen.ID)
	}
	return func() []request.OnceOutput { return o.ended(result) }
}

// permit allows the dispatch only inside the claim's window.
func (o *onceRun) permit(backEndID string, by time.Duration) (func(), bool) {
	release, permitted := o.runner.fleet.PermitBackEnd(backEndID)
	if !permitted {
		return nil, false
	}
	if o.runner.clock() >= by {
		release()
		return nil, false
	}
	return release, true
}

func (o *onceRun) ended(result applicationclient.Result) []request.OnceOutput {
	now := o.runner.clock()
	switch {
	case result.Reply != nil:
		return o.machine.Answered(now, result.Reply.AttemptID, result.Reply.Status, result.Reply.Body)
	case result.Refusal != nil:
		return o.machine.Refused(now, result.Refusal.AttemptID, result.Refusal.Reason)
	case result.HandedOver:
		return o.machine.Broken(now, result.Err.Error())
	default:
		return o.machine.NotSent(now, failure.NoBackEnd, result.Err.Error())
	}
}

// store completes the claim.
func (o *onceRun) store(asked request.StoreAnswer) {
	o.record("complete", func(ctx context.Context) error {
		_, err := o.runner.group.Complete(ctx, &wire.CompleteRequest{
			Tenant:       o.call.Tenant,
			Key:          o.call.Key,
			AttemptID:    asked.AttemptID,
			AnswerStatus: asked.Status,
			AnswerBody:   asked.Body,
		})
		return err
	})
}

func (o *onceRun) endClaim(asked request.EndClaim) {
	o.record("release", func(ctx context.Context) error {
		reply, err := o.runner.group.Release(ctx, &wire.ReleaseRequest{
			Tenant:    o.call.Tenant,
			Key:       o.call.Key,
			AttemptID: asked.AttemptID,
			NotRun:    asked.NotRun,
		})
		if err == nil {
			o.noteReleased(reply.Released && asked.NotRun)
		}
		return err
	})
}

// record ends the claim with a few tries, and later ones in the background; the
// call may be repeated.
func (o *onceRun) record(what string, call func(context.Context) error) {
	var err error
	for range recordAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		err = call(ctx)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(recordDelay)
	}
	o.noteReleased(false)
	o.runner.unended.add(o.runner.clock, call)
	o.runner.logger.Error(failure.Wrap(err, failure.NoQuorum), "claim not ended yet", "call", what, "attempt", o.attemptID)
}

func (o *onceRun) noteReleased(released bool) {
	select {
	case o.released <- released:
	default:
	}
}

// wire is the application protocol's form of a call.
func (c *Call) wire(attemptID string) applicationapi.RunRequest {
	return applicationapi.RunRequest{
		AttemptID:      attemptID,
		RequestID:      c.RequestID,
		Tenant:         c.Tenant,
		Application:    c.Application,
		Operation:      c.Operation,
		IdempotencyKey: c.Key,
		Body:           c.Body,
	}
}
