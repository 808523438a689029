package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/request"
)

// modelAnswer takes the answer to a model call, at the gateway.
type modelAnswer interface {
	tokens(tokens []string)
	finish()
	fail(refused *callError)
}

// modelRun is one model call in flight: the surroundings of request.Machine, as
// the gateway's package completion is in the daemon.
type modelRun struct {
	gateway   *gateway
	asked     modelRequest
	model     *dynamic.Model
	deadline  time.Duration
	answer    modelAnswer
	machine   *request.Machine
	entry     *scheduler.Request
	begun     time.Duration
	decision  <-chan scheduler.Decision
	admitted  bool
	placement *scheduler.Placement
	attempt   *modelAttempt
	pending   []func() []request.Output
	acting    bool
	timer     int
	// lost says that a connection to an engine has broken under the call.
	lost bool
}

// modelAttempt is the attempt that the machine waits for.
type modelAttempt struct {
	id       string
	engine   request.Engine
	begun    time.Duration
	produced bool
	call     *engineCall
}

func (g *gateway) runModel(asked modelRequest, tenant *dynamic.Tenant, model *dynamic.Model, deadline time.Duration, answer modelAnswer) {
	g.nextRequest++
	id := fmt.Sprintf("%s/%d/%d", g.name, g.life, g.nextRequest)
	tokens := engineapi.SplitTokens(asked.prompt)
	run := &modelRun{
		gateway: g, asked: asked, model: model, deadline: deadline, answer: answer, begun: g.now(),
		entry: &scheduler.Request{
			ID: id, Tenant: tenant, Model: model, Deadline: deadline,
			PromptTokens: len(tokens), OutputTokens: asked.maximumTokens,
			Blocks: engineapi.PrefixBlocks(model.Name, tokens),
		},
		machine: request.New(request.Parameters{
			AttemptPrefix: id, MaximumTokens: asked.maximumTokens, Deadline: deadline,
			AcceptTimeout: acceptTimeout, FirstTokenTimeout: firstTokenWait, StallTimeout: stallTimeout,
			Retry: g.scheduler,
		}),
	}
	g.runs = append(g.runs, run)
	run.input(func() []request.Output { return run.machine.Start(g.now()) })
}

// input gives the machine an input and does what follows from it.
func (r *modelRun) input(input func() []request.Output) {
	r.pending = append(r.pending, input)
	if r.acting {
		return
	}
	r.acting = true
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		// The machine reuses its outputs.
		for _, output := range slices.Clone(next()) {
			r.act(output)
		}
	}
	r.acting = false
	if r.machine.Done() {
		r.leave()
		return
	}
	r.arm()
}

func (r *modelRun) leave() {
	if r.decision != nil {
		r.gateway.scheduler.Leave(r.entry)
		r.decision = nil
	}
	r.releasePlacement()
	if position := slices.Index(r.gateway.runs, r); position >= 0 {
		r.gateway.runs = slices.Delete(r.gateway.runs, position, position+1)
	}
}

func (r *modelRun) arm() {
	wake := r.machine.NextWake()
	if wake == request.Never {
		return
	}
	r.timer++
	count := r.timer
	r.gateway.after(max(wake-r.gateway.now(), time.Microsecond), func() {
		if r.timer == count && !r.machine.Done() {
			r.input(func() []request.Output { return r.machine.Tick(r.gateway.now()) })
		}
	})
}

func (r *modelRun) act(output request.Output) {
	switch asked := output.(type) {
	case request.Pick:
		r.pick(asked)
	case request.Dispatch:
		r.dispatch(asked)
	case request.Relay:
		r.answer.tokens(slices.Clone(asked.Tokens))
	case request.Cancel:
		r.cancel(asked)
	case request.Finish:
		r.gateway.scheduler.Answered(r.entry, asked.Usage.OutputTokens, r.gateway.now()-r.begun, false)
		r.gateway.guard.Completed(&r.asked, r.lost)
		r.gateway.tellPoison()
		r.answer.finish()
	case request.Refuse:
		r.answer.fail(&callError{kind: asked.Kind, ran: asked.Ran, answered: true, detail: asked.Detail})
	}
}

func (r *modelRun) pick(asked request.Pick) {
	if refusal := r.refusalIfHeld(); refusal != nil {
		r.rejected(refusal)
		return
	}
	if r.admitted {
		r.placed(r.gateway.scheduler.Select(r.entry, asked))
		return
	}
	r.admitted = true
	decision, refusal := r.gateway.scheduler.Enter(r.entry)
	if refusal != nil {
		r.rejected(refusal)
		return
	}
	r.decision = decision
	r.takeDecision()
}

// takeDecision sees whether the queue has decided.
func (r *modelRun) takeDecision() {
	if r.decision == nil {
		return
	}
	select {
	case decision := <-r.decision:
		r.decision = nil
		if decision.Refusal != nil {
			r.rejected(decision.Refusal)
			return
		}
		r.placed(decision.Placement)
	default:
	}
}

func (r *modelRun) rejected(refusal *scheduler.Refusal) {
	r.input(func() []request.Output {
		return r.machine.Rejected(r.gateway.now(), refusal.Kind, refusal.RetryAfter, refusal.Detail)
	})
}

func (r *modelRun) placed(placement *scheduler.Placement) {
	r.releasePlacement()
	r.placement = placement
	r.input(func() []request.Output {
		if placement == nil {
			return r.machine.NoEngine(r.gateway.now(), 0)
		}
		return r.machine.Picked(r.gateway.now(), placement.Serving, placement.Prefill)
	})
}

func (r *modelRun) releasePlacement() {
	if r.placement != nil {
		r.gateway.scheduler.Release(r.placement)
		r.placement = nil
	}
}

var errNoConfiguration = refused(failure.NotReady, "no configuration yet")
