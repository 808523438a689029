package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// followOrder sends the order in flight until the engine runs its target or reports
// that it can't. A new leader continues with the same fencing token.
func (c *Core) followOrder(now time.Duration, engine *zonestate.Engine, tracker *engineTracker) {
	fence := engine.Order.Fence
	reported := &tracker.state
	switch {
	case tracker.polls.hasResponse && reported.HighestFence == fence && reported.Phase == engineapi.PhaseServing && reported.Observed.Equal(engine.Order.Target):
		c.proposeEngine(now, zonestate.KindCompleteOrder, zonestate.EngineCommand{
			ID:          engine.ID,
			Fence:       fence,
			Incarnation: reported.Incarnation,
		})
	case tracker.polls.hasResponse && fence.Less(reported.HighestFence):
		c.failOrder(now, engine, tracker, "engine has obeyed a higher fence")
	case tracker.polls.hasResponse && reported.HighestFence == fence && reported.Phase == engineapi.PhaseHalfDone:
		c.failOrder(now, engine, tracker, "engine came back half done")
	case tracker.failedFence == fence:
		c.failOrder(now, engine, tracker, tracker.failedDetail)
	default:
		c.sendOrder(now, engine, tracker)
	}
}

// failOrder ends the order in flight as failed. It records what the engine serves
// now; an engine that does not serve becomes unverified.
func (c *Core) failOrder(now time.Duration, engine *zonestate.Engine, tracker *engineTracker, detail string) {
	part := zonestate.EngineCommand{ID: engine.ID, Fence: engine.Order.Fence, Detail: detail}
	if tracker.state.Phase == engineapi.PhaseServing && tracker.state.Observed.Model != "" {
		observed := tracker.state.Observed
		part.Observed = &observed
	}
	tracker.failedAt = now
	c.proposeEngine(now, zonestate.KindFailOrder, part)
}

func (c *Core) sendOrder(now time.Duration, engine *zonestate.Engine, tracker *engineTracker) {
	tracker.reason = ReasonOrdered
	if c.isLost(now, tracker) {
		tracker.reason = ReasonLost
	}
	if tracker.orderSent && now-tracker.orderSentAt < c.config.PollInterval {
		return
	}
	tracker.orderSent = true
	tracker.orderSentAt = now
	c.outputs.Orders = append(c.outputs.Orders, OrderCall{
		Address: engine.Address,
		Order:   engineapi.Order{EngineID: engine.ID, Fence: engine.Order.Fence, Target: engine.Order.Target},
	})
}

// changeEngine takes the next step from what an engine without an order runs to its
// desired configuration.
func (c *Core) changeEngine(now time.Duration, state *zonestate.State, engine *zonestate.Engine, tracker *engineTracker) {
	switch {
	case engine.Changing && !engine.NeedsChange():
		c.cancelChange(now, engine)
	case !engine.NeedsChange():
		c.explainWithheld(now, state, engine, tracker)
	case !engine.Changing && engine.Verified != nil:
		// beginChanges decides, within the limit on concurrent changes.
	case engine.Leaving:
		tracker.reason = ReasonLeaving
	case engine.Failures >= c.config.MaximumFailures && engine.Verified != nil:
		c.proposeEngine(now, zonestate.KindAbandonChange, zonestate.EngineCommand{ID: engine.ID, DesiredAt: engine.DesiredAt})
	case c.inBackoff(now, engine, tracker):
		tracker.reason = ReasonBackoff
	default:
		c.prepareOrder(now, state, engine, tracker)
	}
}

// explainWithheld sets the reason of an engine that is withheld without a change.
func (c *Core) explainWithheld(now time.Duration, state *zonestate.State, engine *zonestate.Engine, tracker *engineTracker) {
	switch {
	case engine.Verified == nil:
		tracker.reason = ReasonUnconfigured
	case !engine.Dispatchable() && c.isDrained(now, state, engine, tracker):
		tracker.reason = ReasonDrained
	}
}

func (c *Core) cancelChange(now time.Duration, engine *zonestate.Engine) {
	c.proposeEngine(now, zonestate.KindCancelChange, zonestate.EngineCommand{ID: engine.ID, DesiredAt: engine.DesiredAt})
}

// inBackoff reports whether the engine is in backoff after a failed order. A new
// leader starts the backoff again when its leadership begins.
func (c *Core) inBackoff(now time.Duration, engine *zonestate.Engine, tracker *engineTracker) bool {
	if engine.Failures == 0 {
		return false
	}
	failedAt := max(tracker.failedAt, c.leaderSince)
	wait := c.config.FailureBackoff
	for range engine.Failures - 1 {
		wait = min(2*wait, maximumBackoff)
	}
	return now-failedAt < wait
}

// prepareOrder issues an order once no gateway can start new work on the engine and
// the engine has been seen idle after that.
func (c *Core) prepareOrder(now time.Duration, state *zonestate.State, engine *zonestate.Engine, tracker *engineTracker) {
	if !c.config.SkipDrainWait && !c.isDrained(now, state, engine, tracker) {
		return
	}
	if state.PriorSessions() {
		tracker.reason = ReasonPriorSessions
		return
	}
	c.proposeEngine(now, zonestate.KindIssueOrder, zonestate.EngineCommand{
		ID:         engine.ID,
		WithheldAt: engine.WithheldAt,
		DesiredAt:  engine.DesiredAt,
	})
	tracker.orderSent = false
}

// isDrained reports whether all gateways have stopped using a withheld engine and it
// has since reported that it is idle. If not, it sets the reason.
func (c *Core) isDrained(now time.Duration, state *zonestate.State, engine *zonestate.Engine, tracker *engineTracker) bool {
	if tracker.stoppedWithheldAt != engine.WithheldAt {
		if !c.allGatewaysStopped(now, state, engine, tracker) {
			return false
		}
		tracker.stoppedWithheldAt = engine.WithheldAt
		tracker.stoppedAt = now
	}
	// The poll must have been sent after the last gateway was seen to have
	// stopped; the response to an earlier one may not include its last request.
	if tracker.polls.answeredPollSentAt < tracker.stoppedAt || tracker.state.Running > 0 {
		tracker.reason = ReasonRunning
		return false
	}
	if tracker.state.Phase == engineapi.PhaseChanging {
		tracker.reason = ReasonBusy
		return false
	}
	return true
}

// allGatewaysStopped reports whether no gateway can start new work on the engine. If
// an isolated gateway may use the engine for hours more, the change of an engine that
// is verified and has no failed order is cancelled, which puts it back into service.
func (c *Core) allGatewaysStopped(now time.Duration, state *zonestate.State, engine *zonestate.Engine, tracker *engineTracker) bool {
	users := c.activeGateways(now, state, engine)
	if len(users) == 0 {
		return true
	}
	tracker.reason, tracker.waitingFor = ReasonGateways, users
	holders := c.isolatedHolders(now, state, engine.ID)
	if len(holders) > 0 {
		tracker.reason, tracker.waitingFor = ReasonIsolated, holders
		if engine.Changing && engine.Verified != nil && engine.Failures == 0 {
			c.cancelChange(now, engine)
		}
	}
	return false
}
