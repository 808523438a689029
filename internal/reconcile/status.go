package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Reasons why an engine makes no progress.
const (
	// ReasonLost: the engine does not respond.
	ReasonLost = "engine does not answer"
	// ReasonOrdered: the engine is executing its order.
	ReasonOrdered = "order is being carried out"
	// ReasonGateways: gateways have not acknowledged that the engine is withheld.
	ReasonGateways = "waiting for gateways to acknowledge"
	// ReasonIsolated: gateways that have lost their lease may still use the engine
	// in isolation.
	ReasonIsolated = "cut-off gateways may use the engine"
	// ReasonRunning: requests are still running.
	ReasonRunning = "waiting for running requests"
	// ReasonDrained: the engine is withheld and idle.
	ReasonDrained = "drained"
	// ReasonBusy: the engine is executing an order of an earlier generation.
	ReasonBusy = "engine is changing"
	// ReasonBackoff: the engine is in backoff after a failed order.
	ReasonBackoff = "waiting after a failed order"
	// ReasonCap: the limit on concurrent changes is reached.
	ReasonCap = "waiting for other changes"
	// ReasonLeaving: the engine or the platform has reported that it is leaving.
	ReasonLeaving = "engine is leaving"
	// ReasonUnconfigured: the engine is unverified and has no desired configuration.
	ReasonUnconfigured = "no configuration is wanted"
	// ReasonForeign: the engine executes the orders of another group.
	ReasonForeign = "engine obeys another group's orders"
	// ReasonPriorSessions: gateways with sessions of an earlier generation may still
	// start work.
	ReasonPriorSessions = "gateways of an earlier generation may still act"
)

// EngineStatus is the status of one engine as the leader sees it.
type EngineStatus struct {
	Engine zonestate.Engine
	// Reported is the newest reported state, nil if there was none.
	Reported *engineapi.State
	// SinceLastResponse is the time since the last response, or since the leader began to
	// track the engine.
	SinceLastResponse time.Duration
	// Reason is why the engine makes no progress, empty if there is no such reason.
	// WaitingFor holds the gateways that it waits for.
	Reason     string
	WaitingFor []string
}

// Status returns the status of all engines, sorted by id.
func (c *Core) Status(now time.Duration, state *zonestate.State) []EngineStatus {
	engines := state.Engines()
	list := make([]EngineStatus, 0, len(engines))
	for _, engine := range engines {
		tracker := c.engineTracker(now, engine.ID)
		status := EngineStatus{
			Engine:            *engine,
			SinceLastResponse: now - tracker.polls.lastResponseAt,
			Reason:            tracker.reason,
			WaitingFor:        tracker.waitingFor,
		}
		if tracker.polls.hasResponse {
			reported := tracker.state
			status.Reported = &reported
		}
		list = append(list, status)
	}
	return list
}
