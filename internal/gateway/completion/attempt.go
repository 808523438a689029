package completion

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	logevent "github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/gateway/engineclient"
	"github.com/pierhaven/pierhaven/internal/request"
)

// dispatch starts an attempt on a worker. If there is none, the attempt has
// provably not been sent.
func (r *run) dispatch(asked request.Dispatch) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r.endMoved()
	r.runner.scheduler.AttemptStarted(r.entry, r.placement, asked)
	if asked.KV != nil {
		// A first stage that was reserved is not needed.
		r.releasePlacement()
	}
	moved := &atomic.Bool{}
	r.attempt = &attempt{
		id:       asked.AttemptID,
		engineID: asked.Engine.ID,
		address:  asked.Engine.Address,
		prefill:  asked.Prefill,
		begun:    r.runner.clock(),
		moved:    moved,
		cancel:   cancel,
	}
	sent := r.wireAttempt(asked)
	task := func() { r.perform(ctx, cancel, moved, asked, sent) }
	if err := r.runner.workers.Submit(task); err != nil {
		r.noteEnded(false, asked, engineclient.Outcome{Refused: true})
		cancel(nil)
		r.then(func() []request.Output {
			return r.machine.AttemptRefused(r.runner.clock(), asked.AttemptID, engineapi.RefusalNotServing)
		})
	}
}

// wireAttempt is the engine protocol's form of an attempt.
func (r *run) wireAttempt(asked request.Dispatch) engineclient.Attempt {
	wired := engineapi.GenerateRequest{
		AttemptID:    asked.AttemptID,
		RequestID:    r.call.RequestID,
		Model:        r.call.Model.Name,
		Version:      asked.Version,
		Adapter:      r.call.Adapter,
		Prompt:       r.call.Prompt,
		MaxTokens:    r.call.MaximumTokens,
		Priority:     r.call.Priority,
		ResumeOffset: asked.ResumeOffset,
		KV:           asked.KV,
	}
	if r.call.Deadline > 0 {
		left := r.call.Deadline - r.runner.clock()
		wired.DeadlineMillis = max(1, left.Milliseconds())
	}
	engineID := asked.Engine.ID
	return engineclient.Attempt{
		Address: asked.Engine.Address,
		Request: wired,
		Permit:  func() (func(), bool) { return r.runner.permits.Permit(engineID) },
	}
}

// perform runs an attempt on a worker and tells the run what happens.
func (r *run) perform(ctx context.Context, cancel context.CancelCauseFunc, moved *atomic.Bool, asked request.Dispatch, sent engineclient.Attempt) {
	defer cancel(nil)
	var outcome engineclient.Outcome
	if asked.Prefill {
		var reply engineapi.PrefillReply
		reply, outcome = r.runner.engines.Prefill(ctx, sent)
		if outcome.Whole {
			r.send(event{prefill: &reply, attemptID: asked.AttemptID})
		}
	} else {
		outcome = r.runner.engines.Generate(ctx, sent, func(stream *engineapi.StreamEvent) bool {
			return r.send(event{stream: *stream, attemptID: asked.AttemptID})
		})
	}
	r.logMalformed(asked, outcome)
	cutByUs := ctx.Err() != nil
	blameless := moved.Load() || (cutByUs && !errors.Is(context.Cause(ctx), errSilent))
	r.noteEnded(blameless, asked, outcome)
	if !blameless && !cutByUs {
		r.engineLost(asked, outcome)
	}
	if cutByUs && mayStillRun(outcome) {
		r.runner.tellCancelled(asked)
	}
	r.send(event{outcome: &outcome, attemptID: asked.AttemptID})
	if !cutByUs && mayStillRun(outcome) {
		r.runner.tellCancelled(asked)
	}
}

// logMalformed logs that an engine has sent something in the place of an answer.
func (r *run) logMalformed(asked request.Dispatch, outcome engineclient.Outcome) {
	if fault := answer.FaultOf(outcome.Err); fault != "" {
		r.runner.logger.Info(logevent.AnswerLost, "request", r.call.RequestID, "replica", asked.Engine.ID, "attempt", asked.AttemptID, "fault", fault)
	}
}

// mayStillRun reports whether an engine may go on with an attempt that is of no
// use any more: the end of its connection alone does not stop it.
func mayStillRun(outcome engineclient.Outcome) bool {
	return outcome.HandedOver && !outcome.Whole && !outcome.Refused
}

// send gives an event to the run's loop and reports whether it still takes any.
func (r *run) send(sent event) bool {
	select {
	case r.events <- sent:
		return true
	case <-r.ended:
		return false
	}
}

func (r *run) noteEnded(cancelled bool, asked request.Dispatch, outcome engineclient.Outcome) {
	r.runner.scheduler.AttemptEnded(asked.Engine.ID, asked.AttemptID, routingOutcome(outcome, cancelled))
}

const (
	cancelTimeout  = 2 * time.Second
	cancelAttempts = 3
)

// cancel ends an attempt by closing its connection; the worker that has the
// attempt then tells the engine. So a cancel never waits for a free worker.
func (r *run) cancel(asked request.Cancel) {
	if asked.ExportKV {
		r.export(asked)
		return
	}
	if r.attempt != nil && r.attempt.id == asked.AttemptID {
		r.attempt.cancel(causeOf(asked))
		r.attempt = nil
	}
}

// errSilent is why an attempt is ended whose engine has failed it; the router
// counts it against the engine.
var errSilent = errors.New("the engine failed the attempt")

func causeOf(asked request.Cancel) error {
	if asked.Failed {
		return errSilent
	}
	return nil
}

// tellCancelled tells an engine that an attempt is of no use any more.
func (r *Runner) tellCancelled(asked request.Dispatch) {
	for range cancelAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		_, err := r.engines.Cancel(ctx, asked.Engine.Address, engineapi.CancelRequest{AttemptID: asked.AttemptID})
		cancel()
		if err == nil {
			return
		}
		r.logger.V(1).Info("cancel failed", "attempt", asked.AttemptID, "error", err.Error())
	}
}
