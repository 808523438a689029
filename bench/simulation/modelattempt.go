package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// dispatch starts an attempt: after the dial the permission is asked for, and
// the first byte is written at once.
func (r *modelRun) dispatch(asked request.Dispatch) {
	g := r.gateway
	r.endMoved()
	if asked.KV != nil {
		r.releasePlacement()
	}
	g.scheduler.AttemptStarted(r.entry, r.placement, asked)
	call := &engineCall{request: r.wireAttempt(asked), prefill: asked.Prefill}
	current := &modelAttempt{id: asked.AttemptID, engine: asked.Engine, begun: g.now(), call: call}
	r.attempt = current
	call.receive = func(event *engineapi.StreamEvent) { r.event(current, *event) }
	call.prefilled = func(reply engineapi.PrefillReply) {
		r.noteFirstToken(current)
		call.closed = true
		g.scheduler.AttemptEnded(current.engine.ID, current.id, routing.OutcomeSucceeded)
		r.input(func() []request.Output {
			return r.machine.PrefillDone(g.now(), reply.AttemptID, reply.Version, reply.KV)
		})
	}
	call.ended = func(outcome attemptOutcome) { r.attemptEnded(current, outcome) }
	target := g.world.engineAt(asked.Engine.Address)
	g.after(g.world.network.latency(&g.process, &target.process), func() {
		if call.closed {
			return
		}
		release, permitted := g.fleet.Permit(asked.Engine.ID)
		if !permitted {
			call.end(attemptOutcome{detail: "not permitted"})
			return
		}
		release()
		g.world.note(g.name, "attempt %s of request %s goes to %s", asked.AttemptID, r.asked.requestID, asked.Engine.ID)
		g.world.generate(&g.process, target, call)
	})
}

func (r *modelRun) wireAttempt(asked request.Dispatch) engineapi.GenerateRequest {
	left := max(1, (r.deadline - r.gateway.now()).Milliseconds())
	return engineapi.GenerateRequest{
		AttemptID: asked.AttemptID, RequestID: r.asked.requestID, Model: r.model.Name, Version: asked.Version,
		Prompt: r.asked.prompt, MaxTokens: r.asked.maximumTokens, DeadlineMillis: left,
		ResumeOffset: asked.ResumeOffset, KV: asked.KV,
	}
}

// event gives the machine an event of an attempt's stream.
func (r *modelRun) event(current *modelAttempt, event engineapi.StreamEvent) {
	g := r.gateway
	event.AttemptID = g.plantMatchByConnection(event.AttemptID, current.id)
	switch event.Kind {
	case engineapi.EventAccepted:
		r.input(func() []request.Output { return r.machine.AttemptAccepted(g.now(), event.AttemptID, event.Version) })
	case engineapi.EventPiece:
		if event.AttemptID == current.id {
			r.noteFirstToken(current)
		}
		r.input(func() []request.Output { return r.machine.Piece(g.now(), event.AttemptID, event.Offset, event.Tokens) })
	case engineapi.EventEnd:
		if event.AttemptID == current.id {
			current.call.closed = true
			g.scheduler.AttemptEnded(current.engine.ID, current.id, routing.OutcomeSucceeded)
		}
		r.input(func() []request.Output {
			return r.machine.End(g.now(), event.AttemptID, event.TotalTokens, event.Finish, event.PromptTokens, event.CachedTokens)
		})
	case engineapi.EventError:
		r.input(func() []request.Output {
			return r.machine.AttemptBroken(g.now(), event.AttemptID, true, "the engine gave up: "+string(event.Refusal))
		})
	}
}

func (r *modelRun) noteFirstToken(current *modelAttempt) {
	if current.produced {
		return
	}
	current.produced = true
	r.gateway.scheduler.FirstToken(current.engine.ID, current.id, r.gateway.now()-current.begun)
}

func (r *modelRun) attemptEnded(current *modelAttempt, outcome attemptOutcome) {
	g := r.gateway
	ended := routing.OutcomeFailed
	if outcome.refused {
		ended = routing.OutcomeRefused
	}
	g.scheduler.AttemptEnded(current.engine.ID, current.id, ended)
	if outcome.handedOver && !outcome.refused {
		r.engineLost(current.engine.ID, current.engine.Address)
		g.tellCancelled(current, cancelAttempts)
	}
	r.input(func() []request.Output {
		if outcome.refused {
			return r.machine.AttemptRefused(g.now(), current.id, outcome.reason)
		}
		handedOver := outcome.handedOver && g.world.plant != PlantBrokenIsNotRun
		return r.machine.AttemptBroken(g.now(), current.id, handedOver, outcome.detail)
	})
}

const (
	cancelTimeout  = 2 * time.Second
	cancelAttempts = 3
)

// cancel closes an attempt's connection and tells the engine.
func (r *modelRun) cancel(asked request.Cancel) {
	if asked.ExportKV {
		r.export(asked)
		return
	}
	if r.attempt != nil && r.attempt.id == asked.AttemptID {
		r.closeAttempt()
	}
}

func (r *modelRun) closeAttempt() {
	ended := r.attempt
	r.attempt = nil
	if ended.call.closed {
		return
	}
	ended.call.closed = true
	r.gateway.scheduler.AttemptEnded(ended.engine.ID, ended.id, routing.OutcomeCancelled)
	r.gateway.tellCancelled(ended, cancelAttempts)
}

func (g *gateway) tellCancelled(ended *modelAttempt, left int) {
	target := g.world.engineAt(ended.engine.Address)
	g.world.call(&g.process, &target.process, cancelTimeout,
		func(e *exchange) { target.cancel(e, ended.id, false) },
		func(_ any, err *callError) {
			if err != nil && left > 1 {
				g.tellCancelled(ended, left-1)
			}
		})
}

// moveFrom moves the attempt off an engine that is to be changed, if another can
// take it over.
func (r *modelRun) moveFrom(engineID string) {
	if r.attempt == nil || r.attempt.engine.ID != engineID {
		return
	}
	wanted, movable := r.machine.MovePick()
	if !movable {
		return
	}
	found := r.gateway.scheduler.Select(r.entry, wanted)
	if found == nil {
		return
	}
	r.releasePlacement()
	r.placement = found
	r.input(func() []request.Output { return r.machine.Move(r.gateway.now(), found.Serving, found.Prefill) })
}

// export ends an attempt and asks its engine to keep the KV cache. The
// connection stays open for the pieces that are still under way.
func (r *modelRun) export(asked request.Cancel) {
	g := r.gateway
	target := g.world.engineAt(asked.Engine.Address)
	g.world.call(&g.process, &target.process, cancelTimeout,
		func(e *exchange) { target.cancel(e, asked.AttemptID, true) },
		func(reply any, err *callError) {
			var source *engineapi.KVSource
			if err == nil {
				source = reply.(engineapi.CancelReply).KV
			}
			r.input(func() []request.Output { return r.machine.Exported(g.now(), asked.AttemptID, source) })
		})
}

// endMoved closes the connection of an attempt that has been moved.
func (r *modelRun) endMoved() {
	if r.attempt != nil {
		r.closeAttempt()
	}
}
