package application

import (
	"context"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/applicationclient"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// Digest identifies the call by its content, whatever idempotency key it has.
func (c *Call) Digest() poison.Digest {
	return poison.Content{Caller: c.Tenant, Host: c.Application, Target: c.Operation, Body: c.Body}.Digest()
}

// TargetHash implements poison.Request.
func (c *Call) TargetHash() uint32 { return poison.HashTarget(c.Application, c.Operation) }

// Parts implements poison.Request. A call has no prompt.
func (c *Call) Parts() []poison.Digest { return nil }

// isHeld reports whether a call must be sent to no back end, since it ends those that run it.
func (r *Runner) isHeld(call *Call) bool {
	return r.guard != nil && r.guard.Holds(call)
}

// heldDetail is the message to a caller whose call is held.
const heldDetail = "back ends have ended under this request"

// judge notes what a send has led to: a back end that has run the call to its end, or a connection
// that has broken under it.
func (r *Runner) judge(ctx context.Context, call *Call, backEndID, address string, result applicationclient.Result) {
	if fault := answer.FaultOf(result.Err); fault != "" {
		r.logger.Info(event.AnswerLost, "request", call.RequestID, "replica", backEndID, "fault", fault)
	}
	switch {
	case r.guard == nil:
	case result.Reply != nil:
		r.guard.Completed(call, false)
	case result.Err != nil && result.HandedOver && ctx.Err() == nil:
		r.detector.ConnectionLost(backEndID, address, poison.ConnectionLoss{Request: call.RequestID, Digest: call.Digest()})
	}
}

// refusedAsHeld answers a call that is held and that has not run.
func refusedAsHeld() Answer { return refused(failure.RequestHeld, failure.RanNo, heldDetail) }
