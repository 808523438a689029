package reconcile

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
	"time"
)

// engineTracker is the leader's soft state of an engine.
type engineTracker struct {
	// address is the address at which the engine is polled. Responses from another
	// address say nothing about the engine.
	address string
	polls   pollState
	// state is the newest reported state, valid if polls.hasResponse.
	state engineapi.State
	// stoppedWithheldAt is the WithheldAt for which all gateways were seen to have
	// stopped using the engine, at stoppedAt.
	stoppedWithheldAt uint64
	stoppedAt         time.Duration
	// unverified reports whether the engine is unverified, first seen at
	// unverifiedSince. Only the response to a poll sent after that verifies it.
	unverified      bool
	unverifiedSince time.Duration
	// orderSentAt is when the order in flight was last sent, valid if orderSent.
	orderSentAt time.Duration
	orderSent   bool
	// failedFence is the fencing token of the last order that the engine reported
	// as failed. failedAt is when an order last failed.
	failedFence  engineapi.Fence
	failedDetail string
	failedAt     time.Duration
	// reason is why the engine makes no progress, as Status returns it, and
	// waitingFor the gateways that it waits for.
	reason     string
	waitingFor []string
}

func engineKey(id string) string { return "engine/" + id }

func (c *Core) engineTracker(now time.Duration, id string) *engineTracker {
	tracker, found := c.engineTrackers[id]
	if !found {
		tracker = &engineTracker{polls: pollState{lastResponseAt: now}}
		c.engineTrackers[id] = tracker
	}
	return tracker
}

// engineTrackerAt returns the engine's tracker, and resets it if the engine has
// moved to another address.
func (c *Core) engineTrackerAt(now time.Duration, engine *zonestate.Engine) *engineTracker {
	tracker := c.engineTracker(now, engine.ID)
	if tracker.address != "" && tracker.address != engine.Address {
		tracker = &engineTracker{polls: pollState{lastResponseAt: now, validFrom: now}}
		c.engineTrackers[engine.ID] = tracker
	}
	tracker.address = engine.Address
	return tracker
}

// RecordEngineState records the response to a poll that was sent at sentAt.
func (c *Core) RecordEngineState(sentAt, now time.Duration, engineID string, state *engineapi.State) {
	tracker := c.engineTracker(now, engineID)
	if tracker.polls.recordResponse(sentAt, now) {
		tracker.state = *state
	}
}

// RecordEngineNoResponse records a poll or an order that got no response.
func (c *Core) RecordEngineNoResponse(now time.Duration, engineID string) {
	c.engineTracker(now, engineID).polls.inFlight = false
}

// RecordOrderReply records the response to an order that was sent at sentAt.
func (c *Core) RecordOrderReply(sentAt, now time.Duration, order *engineapi.Order, reply *engineapi.OrderReply) {
	tracker := c.engineTracker(now, order.EngineID)
	if tracker.polls.recordResponse(sentAt, now) {
		tracker.state = reply.State
	}
	if reply.Status == engineapi.OrderFailed {
		tracker.failedFence = order.Fence
		tracker.failedDetail = reply.Detail
		tracker.failedAt = now
	}
}

func (c *Core) tickEngines(now time.Duration, state *zonestate.State) {
	engines := state.Engines()
	interval := c.pollInterval(len(engines))
	for _, engine := range engines {
		tracker := c.engineTrackerAt(now, engine)
		c.pollEngine(now, engine, tracker, interval)
		tracker.reason, tracker.waitingFor = "", nil
		tracker.updateUnverified(now, engine)
		c.decideEngine(now, state, engine, tracker)
	}
	c.beginChanges(now, state, engines)
	for id := range c.engineTrackers {
		if _, found := state.Engine(id); !found {
			delete(c.engineTrackers, id)
		}
	}
}

func (c *Core) pollEngine(now time.Duration, engine *zonestate.Engine, tracker *engineTracker, interval time.Duration) {
	if engine.Changing || engine.Order != nil || engine.Verified == nil {
		interval = c.config.PollInterval / changePollDivisor
	}
	if tracker.polls.startIfDue(now, interval, c.config.PollTimeout) {
		c.outputs.EnginePolls = append(c.outputs.EnginePolls, Poll{ID: engine.ID, Address: engine.Address})
	}
}

// decideEngine takes the next step for one engine. Each engine has at most one
// pending proposal.
func (c *Core) decideEngine(now time.Duration, state *zonestate.State, engine *zonestate.Engine, tracker *engineTracker) {
	if c.isPending(now, engineKey(engine.ID)) {
		return
	}
	switch {
	case c.isRemovable(now, engine, tracker):
		c.proposeEngine(now, zonestate.KindRemoveEngine, zonestate.EngineCommand{ID: engine.ID})
	case engine.Order != nil:
		c.followOrder(now, engine, tracker)
	case !tracker.polls.hasResponse || c.isLost(now, tracker):
		tracker.reason = ReasonLost
		c.updateLeaving(now, engine, engine.Leaving || c.isReportedUnavailable(engine.ID))
	case engine.Verified != nil && contradictsVerified(engine, &tracker.state, state.Generation()):
		c.proposeEngine(now, zonestate.KindDoubtEngine, zonestate.EngineCommand{ID: engine.ID})
	case c.updateLeaving(now, engine, c.isLeaving(engine, tracker)):
	case followsAnotherGroup(engine, &tracker.state, state.Generation()):
		tracker.reason = ReasonForeign
	case engine.Verified == nil && c.verify(now, engine, tracker):
	default:
		c.changeEngine(now, state, engine, tracker)
	}
}

func (c *Core) proposeEngine(now time.Duration, kind zonestate.Kind, part zonestate.EngineCommand) {
	c.propose(now, engineKey(part.ID), zonestate.Command{Kind: kind, Engine: &part})
}

func (c *Core) isRemovable(now time.Duration, engine *zonestate.Engine, tracker *engineTracker) bool {
	return c.goneLongEnough(now, tracker.polls.lastResponseAt, engine.ID) && !c.isConfigured(c.config.Engines, engine.ID)
}

func (c *Core) isLost(now time.Duration, tracker *engineTracker) bool {
	return now-tracker.polls.lastResponseAt > c.config.LostAfter
}

func (c *Core) isLeaving(engine *zonestate.Engine, tracker *engineTracker) bool {
	return tracker.state.Phase == engineapi.PhaseLeaving || c.isReportedLeaving(engine.ID)
}

// updateLeaving proposes to record whether the engine is leaving, and reports
// whether that has changed.
func (c *Core) updateLeaving(now time.Duration, engine *zonestate.Engine, leaving bool) bool {
	if leaving == engine.Leaving {
		return false
	}
	c.proposeEngine(now, zonestate.KindSetEngineLeaving, zonestate.EngineCommand{ID: engine.ID, Leaving: leaving})
	return true
}
