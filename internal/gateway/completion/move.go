package completion

import (
	"context"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/request"
)

// moveFrom moves the attempt off an engine that is to be changed, if another can
// take it over; else it stays, and is asked again.
func (r *run) moveFrom(engineID string) {
	if r.attempt == nil || r.attempt.engineID != engineID {
		return
	}
	wanted, movable := r.machine.MovePick()
	if !movable {
		return
	}
	found := r.runner.scheduler.Select(r.entry, wanted)
	if found == nil {
		return
	}
	r.releasePlacement()
	r.placement = found
	r.act(r.machine.Move(r.runner.clock(), found.Serving, found.Prefill))
}

// export ends an attempt and asks its engine to keep the KV cache. The connection
// stays open for the pieces that are still under way.
func (r *run) export(asked request.Cancel) {
	if r.attempt != nil && r.attempt.id == asked.AttemptID {
		r.attempt.moved.Store(true)
	}
	task := func() {
		reply := r.runner.exportKV(asked)
		r.send(event{exported: &reply, attemptID: asked.AttemptID})
	}
	if err := r.runner.workers.Submit(task); err != nil {
		r.then(func() []request.Output { return r.machine.Exported(r.runner.clock(), asked.AttemptID, nil) })
	}
}

// exportKV asks once. If that fails the attempt may still be running; its worker
// cancels it when its connection is closed.
func (r *Runner) exportKV(asked request.Cancel) engineapi.CancelReply {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	wanted := engineapi.CancelRequest{AttemptID: asked.AttemptID, ExportKV: true}
	reply, err := r.engines.Cancel(ctx, asked.Engine.Address, wanted)
	if err == nil {
		return reply
	}
	r.logger.V(1).Info("KV cache not exported", "attempt", asked.AttemptID, "error", err.Error())
	return engineapi.CancelReply{}
}

// endMoved closes the connection of an attempt that has been moved.
func (r *run) endMoved() {
	if r.attempt != nil {
		r.attempt.cancel(nil)
	}
}
