package reconcile

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
	"time"
)

// updateUnverified tracks since when the engine has been unverified.
func (t *engineTracker) updateUnverified(now time.Duration, engine *zonestate.Engine) {
	unverified := engine.Verified == nil
	if unverified && !t.unverified {
		t.unverifiedSince = now
	}
	t.unverified = unverified
}

// contradictsVerified reports whether an engine without an order contradicts its
// verified configuration: it serves another one, its last change is half done, it
// does not know its last order, or it has executed another group's order.
func contradictsVerified(engine *zonestate.Engine, reported *engineapi.State, generation uint64) bool {
	if lostOrderRecord(engine, reported) || followsAnotherGroup(engine, reported, generation) {
		return true
	}
	switch reported.Phase {
	case engineapi.PhaseHalfDone:
		return true
	case engineapi.PhaseServing:
		return !reported.Observed.Equal(*engine.Verified)
	default:
		return false
	}
}

// lostOrderRecord reports whether an engine does not know the newest order that was
// issued to it because its disk was lost or another machine replaced it. Such an
// engine would execute an old order that is still in flight, so it needs a new one.
func lostOrderRecord(engine *zonestate.Engine, reported *engineapi.State) bool {
	return reported.HighestFence.Less(engine.LastFence)
}

// followsAnotherGroup reports whether an engine has executed an order that this group
// never issued, as happens when two zones list the same engine. This group leaves it
// to the other one.
func followsAnotherGroup(engine *zonestate.Engine, reported *engineapi.State, generation uint64) bool {
	return reported.HighestFence.Generation >= generation && engine.LastFence.Less(reported.HighestFence)
}

// verify proposes to record what an unverified engine runs, and reports whether it
// did. It requires that the engine serves, that its response is to a poll sent
// after it became unverified, and that it has not lost its record of orders unless
// no configuration is desired.
func (c *Core) verify(now time.Duration, engine *zonestate.Engine, tracker *engineTracker) bool {
	serving := tracker.state.Phase == engineapi.PhaseServing && tracker.state.Observed.Model != ""
	if !serving || tracker.polls.answeredPollSentAt < tracker.unverifiedSince || (lostOrderRecord(engine, &tracker.state) && engine.Desired != nil) {
		return false
	}
	observed := tracker.state.Observed
	c.proposeEngine(now, zonestate.KindVerifyEngine, zonestate.EngineCommand{
		ID:          engine.ID,
		WithheldAt:  engine.WithheldAt,
		Fence:       tracker.state.HighestFence,
		Observed:    &observed,
		Incarnation: tracker.state.Incarnation,
	})
	return true
}
