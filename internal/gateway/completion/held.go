package completion

import (
	"strconv"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/engineclient"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/request"
)

// Digest identifies the call by its content.
func (c *Call) Digest() poison.Digest {
	content := poison.Content{
		Method: c.Model.Name,
		Host:   c.Adapter,
		Target: strconv.Itoa(c.MaximumTokens),
		Body:   []byte(c.Prompt),
	}
	if c.Tenant != nil {
		content.Caller = c.Tenant.Name
	}
	return content.Digest()
}

// TargetHash implements poison.Request.
func (c *Call) TargetHash() uint32 {
	return poison.HashTarget(c.Adapter, strconv.Itoa(c.MaximumTokens))
}

// Parts implements poison.Request. A prompt that is a text names no parts.
func (c *Call) Parts() []poison.Digest { return nil }

// refusalIfHeld refuses a call that must be sent to no engine, since it ends those that run it.
// It is asked before each attempt: the others may have learned so while one was under way.
func (r *run) refusalIfHeld() *scheduler.Refusal {
	guard := r.runner.guard
	switch {
	case guard == nil:
		return nil
	case guard.Holds(&r.call):
		r.runner.logger.Info("held request refused", "request", r.call.RequestID, "digest", r.call.Digest().String())
		return &scheduler.Refusal{Kind: failure.RequestHeld, Detail: "engines have ended under this request"}
	case r.lost.Load() && !guard.MayRetry(&r.call):
		return &scheduler.Refusal{Kind: failure.OutcomeUnknown, Detail: "engines have ended under this request, and it is not known under which of several"}
	default:
		return nil
	}
}

// MayLeave reports whether a call may be passed on to another zone.
func (r *Runner) MayLeave(call *Call) bool { return r.guard == nil || r.guard.MayForward(call) }

// engineLost notes that the connection to an engine has broken under an attempt.
func (r *run) engineLost(asked request.Dispatch, outcome engineclient.Outcome) {
	if r.runner.detector == nil || outcome.Whole || outcome.Refused || !outcome.HandedOver {
		return
	}
	r.lost.Store(true)
	r.runner.detector.ConnectionLost(asked.Engine.ID, asked.Engine.Address, poison.ConnectionLoss{Request: r.call.RequestID, Digest: r.call.Digest()})
}

// ranWell notes that an engine has run the call to its end.
func (r *run) ranWell() {
	if r.runner.guard != nil {
		r.runner.guard.Completed(&r.call, r.lost.Load())
	}
}
