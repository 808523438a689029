package simulation

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	maximumOnceAttempts = 3
	claimResends        = 1
	recordTimeout       = time.Second
	claimTimeout        = 2 * time.Second
	recordAttempts      = 5
	recordDelay         = 200 * time.Millisecond
	unendedDelay        = time.Second
	runLimit            = 20 * time.Second
)

// onceAnswer is what the caller of an application call gets.
type onceAnswer struct {
	body    []byte
	refused *callError
}

// onceRun is one attempt at a call that may not be repeated: the surroundings
// of request.OnceOnly, as the gateway's package application is in the daemon.
type onceRun struct {
	gateway   *gateway
	asked     applicationRequest
	deadline  time.Duration
	machine   *request.OnceOnly
	attemptID string
	attempt   int
	tried     []string
	tell      func(onceAnswer)
	// held is a retriable refusal, which waits for the claim's release.
	held *onceAnswer
	told bool
}

func (g *gateway) runOnce(asked applicationRequest, deadline time.Duration, attempt int, tried []string, tell func(onceAnswer)) {
	g.nextRequest++
	g.openOnce++
	attemptID := fmt.Sprintf("%s/%d/%d", g.name, g.life, g.nextRequest)
	o := &onceRun{
		gateway: g, asked: asked, deadline: deadline, attemptID: attemptID, attempt: attempt, tried: tried, tell: tell,
		machine: request.NewOnceOnly(request.OnceOnlyParameters{
			AttemptID: attemptID, Deadline: deadline, ClaimResends: claimResends,
		}),
	}
	g.after(max(time.Millisecond, deadline-g.now()), func() {
		if !o.machine.Done() {
			o.act(o.machine.Tick(g.now()))
		}
	})
	o.act(o.machine.Start(g.now()))
}

// act tells the caller first and ends the claim afterwards.
func (o *onceRun) act(outputs []request.OnceOutput) {
	outputs = slices.Clone(outputs)
	for _, output := range outputs {
		switch asked := output.(type) {
		case request.SendClaim:
			o.claim()
		case request.DispatchOnce:
			o.dispatch(asked.Deadline)
		case request.AnswerOnce:
			o.answer(onceAnswer{body: asked.Body})
		case request.RefuseOnce:
			answer := onceAnswer{refused: &callError{kind: asked.Kind, ran: asked.Ran, answered: true, detail: asked.Detail}}
			if asked.Retriable && o.attempt < maximumOnceAttempts {
				o.held = &answer
				continue
			}
			o.answer(answer)
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
	o.noteDone(outputs)
}

// noteDone counts the attempt as closed if nothing is left to record.
func (o *onceRun) noteDone(outputs []request.OnceOutput) {
	if !o.machine.Done() {
		return
	}
	for _, output := range outputs {
		switch output.(type) {
		case request.StoreAnswer, request.EndClaim:
			return
		}
	}
	if len(outputs) > 0 {
		o.gateway.openOnce--
	}
}

func (o *onceRun) answer(answer onceAnswer) {
	if !o.told {
		o.told = true
		o.tell(answer)
	}
}

func (o *onceRun) claim() {
	g := o.gateway
	if o.plantDispatchFirst() {
		return
	}
	o.sendClaim(func(reply any, err *callError) {
		if err == nil {
			o.act(o.machine.Claimed(g.now(), reply.(*wire.ClaimReply)))
			return
		}
		certainlyNot := err.notDelivered || (err.answered && err.ran == failure.RanNo)
		o.act(o.machine.ClaimFailed(g.now(), claimFailure(err), !certainlyNot, err.detail))
	})
}

func (o *onceRun) sendClaim(done func(any, *callError)) {
	g := o.gateway
	claim := &wire.ClaimRequest{
		Zone: g.zone, GatewayID: g.name, SessionID: g.session.ID(),
		Tenant: o.asked.tenant, Key: o.asked.key, BodyHash: bodyHash(o.asked.body), AttemptID: o.attemptID,
	}
	call := g.world.rules.claims.begin(o, claimOperation)
	g.caller.call(recordTimeout, func(c *controller, e *exchange) { c.claim(e, claim) },
		func(reply any, err *callError) {
			call.claimed(reply, err)
			done(reply, err)
		})
}

func bodyHash(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// claimFailure is what the caller is told of a claim that failed.
func claimFailure(err *callError) failure.Kind {
	if !err.answered || err.kind == failure.NotLeader || err.kind == failure.OutcomeUnknown {
		return failure.NoQuorum
	}
	return err.kind
}

// dispatch hands the request to one back end.
func (o *onceRun) dispatch(by time.Duration) {
	g := o.gateway
	chosen, found := g.choice.take(g.now(), g.ableBackEnds(), o.tried)
	if !found {
		o.act(o.machine.NotSent(g.now(), failure.NoBackEnd, "no back end takes new work"))
		return
	}
	o.tried = append(o.tried, chosen)
	target := g.world.backEndAt(chosen)
	g.after(g.world.network.latency(&g.process, &target.process), func() {
		release, permitted := g.fleet.PermitBackEnd(chosen)
		if permitted {
			release()
		}
		if !permitted || g.now() >= by {
			g.choice.give(chosen)
			o.act(o.machine.NotSent(g.now(), failure.NoBackEnd, "not permitted"))
			return
		}
		g.world.note(g.name, "attempt %s of request %s, key %s, goes to %s", o.attemptID, o.asked.requestID, o.asked.key, chosen)
		g.world.call(&g.process, &target.process, runLimit,
			func(e *exchange) { target.serve(e, o.wire()) },
			func(reply any, err *callError) {
				g.choice.give(chosen)
				if err != nil {
					g.choice.failed(g.now(), chosen)
				}
				o.act(o.ended(reply, err))
			})
	})
}

func (o *onceRun) ended(reply any, err *callError) []request.OnceOutput {
	now := o.gateway.now()
	if err != nil {
		if err.notDelivered || o.gateway.world.plant == PlantBrokenIsNotRun {
			return o.machine.NotSent(now, failure.NoBackEnd, err.detail)
		}
		return o.machine.Broken(now, err.detail)
	}
	answered := reply.(runReply)
	if answered.refusal != nil {
		return o.machine.Refused(now, answered.refusal.AttemptID, answered.refusal.Reason)
	}
	attemptID := o.gateway.plantMatchByConnection(answered.reply.AttemptID, o.attemptID)
	return o.machine.Answered(now, attemptID, answered.reply.Status, answered.reply.Body)
}

func (o *onceRun) wire() applicationapi.RunRequest {
	return applicationapi.RunRequest{
		AttemptID: o.attemptID, RequestID: o.asked.requestID, Tenant: o.asked.tenant, Application: applicationName,
		Operation: onceOperation, IdempotencyKey: o.asked.key, Body: o.asked.body,
	}
}

func (o *onceRun) store(asked request.StoreAnswer) {
	o.record(recordAttempts, completeOperation, &zonestate.Command{
		Kind: zonestate.KindComplete,
		OnceOnly: &zonestate.OnceOnlyCommand{
			Tenant: o.asked.tenant, Key: o.asked.key, AttemptID: asked.AttemptID,
			Answer: &onceonly.Answer{Status: asked.Status, Body: asked.Body},
		},
	})
}

func (o *onceRun) endClaim(asked request.EndClaim) {
	kind := releaseUnknownOperation
	if asked.NotRun {
		kind = releaseNotRunOperation
	}
	o.record(recordAttempts, kind, &zonestate.Command{
		Kind: zonestate.KindRelease,
		OnceOnly: &zonestate.OnceOnlyCommand{
			Tenant: o.asked.tenant, Key: o.asked.key, AttemptID: asked.AttemptID, NotRun: asked.NotRun,
		},
	})
}

// record ends the claim with a few tries, and further ones in the background;
// the call may be repeated.
func (o *onceRun) record(left int, kind claimKind, command *zonestate.Command) {
	g := o.gateway
	call := g.world.rules.claims.begin(o, kind)
	g.caller.call(recordTimeout, func(c *controller, e *exchange) { c.endClaim(e, command) },
		func(reply any, err *callError) {
			call.recorded(reply, err)
			if err != nil {
				o.recordAgain(left, kind, command)
				return
			}
			if left > 0 {
				g.openOnce--
			}
			o.claimEnded(reply.(onceonly.Status) == onceonly.StatusDone && kind == releaseNotRunOperation)
		})
}

// recordAgain tries once more; after the last try at once the caller no longer
// waits.
func (o *onceRun) recordAgain(left int, kind claimKind, command *zonestate.Command) {
	pause := recordDelay
	if left == 1 {
		o.gateway.openOnce--
		o.claimEnded(false)
	}
	if left <= 1 {
		pause = unendedDelay
	}
	o.gateway.after(pause, func() { o.record(left-1, kind, command) })
}

// claimEnded makes another attempt if the claim was given back for certain.
func (o *onceRun) claimEnded(released bool) {
	if o.held == nil || o.told {
		return
	}
	if !released || o.gateway.now() >= o.deadline {
		o.answer(*o.held)
		return
	}
	o.told = true
	o.gateway.runOnce(o.asked, o.deadline, o.attempt+1, o.tried, o.tell)
}
