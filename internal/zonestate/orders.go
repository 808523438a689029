package zonestate

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

func (e *Engine) beginChange(part *EngineCommand) Result {
	if e.Order != nil || e.DesiredAt != part.DesiredAt || !e.NeedsChange() {
		return stale("nothing to change, or another wish came first")
	}
	e.Changing = true
	return done()
}

// cancelChange ends a change without an order, so that the engine may go back into
// service as it is. The desired configuration stays, so the change may begin again.
func (e *Engine) cancelChange(part *EngineCommand) Result {
	if e.Order != nil || e.DesiredAt != part.DesiredAt || !e.Changing {
		return stale("there is no change, or its order was issued")
	}
	e.Changing = false
	return done()
}

// issueOrder issues an order. The guard WithheldAt ensures that the engine is still
// withheld without interruption since the log index from which on all gateways were
// observed not to use it.
func (s *State) issueOrder(index uint64, engine *Engine, part *EngineCommand) Result {
	if s.priorSessions {
		return Result{Outcome: OutcomeNotReady, Detail: "gateways of an earlier generation may still act"}
	}
	if engine.Order != nil {
		return stale("engine has an order in flight")
	}
	if engine.WithheldAt == 0 || engine.WithheldAt != part.WithheldAt {
		return stale("engine is not withheld since the awaited position")
	}
	if engine.DesiredAt != part.DesiredAt || !engine.NeedsChange() {
		return stale("nothing to change, or another wish came first")
	}
	engine.Order = &Order{
		Fence:  engineapi.Fence{Generation: s.generation, Index: index},
		Target: *engine.Desired,
	}
	engine.LastFence = engine.Order.Fence
	return done()
}

func (e *Engine) completeOrder(part *EngineCommand) Result {
	if e.Order == nil || e.Order.Fence != part.Fence {
		return stale("that order is not in flight")
	}
	target := e.Order.Target
	e.Verified = &target
	e.Incarnation = part.Incarnation
	e.endOrder()
	e.Failures = 0
	e.FailureDetail = ""
	return done()
}

// failOrder ends an order that the engine could not execute. The engine is then
// unverified, unless it reported what it runs.
func (e *Engine) failOrder(part *EngineCommand) Result {
	if e.Order == nil || e.Order.Fence != part.Fence {
		return stale("that order is not in flight")
	}
	if part.Observed != nil && !validConfiguration(part.Observed) {
		return invalid("observed configuration is out of bounds")
	}
	e.Verified = part.Observed
	e.endOrder()
	e.Failures++
	e.FailureDetail = truncate(part.Detail, maximumTextBytes)
	return done()
}

// endOrder also ends the change, unless the engine still needs one.
func (e *Engine) endOrder() {
	e.Order = nil
	e.Changing = e.NeedsChange()
}

func (e *Engine) abandonChange(index uint64, part *EngineCommand) Result {
	if e.Order != nil || e.DesiredAt != part.DesiredAt || e.Verified == nil {
		return stale("the change has an order, was replaced, or its engine is in doubt")
	}
	kept := *e.Verified
	e.Abandoned = e.Desired
	e.Desired = &kept
	e.DesiredAt = index
	e.Changing = false
	e.Failures = 0
	return done()
}
