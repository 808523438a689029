package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// tickUnresponsive lists the engines and back ends in service that have not responded
// to this leader for longer than a poll interval and its timeout. The leader would
// not learn that such a target is leaving, and gateways would go on using it, so the
// heartbeat replies name these targets.
func (c *Core) tickUnresponsive(now time.Duration, state *zonestate.State) {
	c.unresponsive = nil
	engines, backEnds := state.Engines(), state.BackEnds()
	limit := c.pollInterval(len(engines)) + c.config.PollTimeout
	for _, engine := range engines {
		tracker := c.engineTracker(now, engine.ID)
		if engine.Dispatchable() && tracker.polls.isUnresponsive(now, limit) {
			c.unresponsive = append(c.unresponsive, engine.ID)
		}
	}
	limit = c.pollInterval(len(backEnds)) + c.config.PollTimeout
	for _, backEnd := range backEnds {
		tracker := c.backEndTracker(now, backEnd.ID)
		if backEnd.Serving && tracker.polls.isUnresponsive(now, limit) {
			c.unresponsive = append(c.unresponsive, backEnd.ID)
		}
	}
}

func (p *pollState) isUnresponsive(now, limit time.Duration) bool {
	return !p.hasResponse || now-p.lastResponseAt > limit
}
