package reconcile

import (
	"fmt"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// tickSessions ends the sessions of gateways that are certain to have stopped, and
// keeps the isolation sets of the others up to date.
func (c *Core) tickSessions(now time.Duration, state *zonestate.State) {
	var outdated []zonestate.SessionCommand
	for _, session := range state.Sessions().List() {
		_, ending := c.endingSessions[session.ID]
		if ending || c.liveness.IsolationEnded(now, session) {
			c.endSession(now, session)
			continue
		}
		if c.needsIsolationSet(now, state, session) {
			outdated = append(outdated, zonestate.SessionCommand{
				SessionID: session.ID, Acknowledged: c.liveness.Acknowledged(session.ID),
			})
		}
	}
	c.assignIsolation(now, outdated)
	c.pruneEnded(state.Sessions())
}

// assignIsolation proposes new isolation sets for the given sessions in one command.
func (c *Core) assignIsolation(now time.Duration, sessions []zonestate.SessionCommand) {
	if len(sessions) == 0 {
		return
	}
	if !c.propose(now, "isolation", zonestate.Command{Kind: zonestate.KindAssignIsolation, Sessions: sessions}) {
		return
	}
	for _, session := range sessions {
		c.isolationAssignedAt[session.SessionID] = now
	}
}

func (c *Core) endSession(now time.Duration, session *membership.Session) {
	c.endingSessions[session.ID] = struct{}{}
	c.propose(now, sessionKey(session.ID), zonestate.Command{
		Kind:    zonestate.KindEndSession,
		Session: &zonestate.SessionCommand{SessionID: session.ID, GatewayID: session.MemberID},
	})
}

func sessionKey(id uint64) string { return fmt.Sprintf("session/%d", id) }

// needsIsolationSet reports whether a session's isolation set is out of date: it is
// no longer the set that the gateway would be assigned now, since the models or roles
// that engines should run have changed, or which engines are drained or leaving. It
// returns false while the session has not acknowledged its current set, has lost its
// lease, or was assigned a set less than isolationInterval ago.
func (c *Core) needsIsolationSet(now time.Duration, state *zonestate.State, session *membership.Session) bool {
	last, assigned := c.isolationAssignedAt[session.ID]
	if assigned && now-last < isolationInterval {
		return false
	}
	current := session.CurrentSet()
	if c.liveness.Acknowledged(session.ID) < current.AssignedAt || c.liveness.LeaseEnded(now, session) {
		return false
	}
	if c.isolationCheckedAt[session.ID] == state.Revision() {
		return false
	}
	if slices.Equal(current.Targets, state.IsolationTargets(session.MemberID)) {
		c.isolationCheckedAt[session.ID] = state.Revision()
		return false
	}
	return true
}

func (c *Core) pruneEnded(sessions *membership.Table) {
	isOpen := func(id uint64) bool {
		_, open := sessions.Get(id)
		return open
	}
	c.liveness.Forget(isOpen)
	for id := range c.isolationAssignedAt {
		if !isOpen(id) {
			delete(c.isolationAssignedAt, id)
		}
	}
	for id := range c.isolationCheckedAt {
		if !isOpen(id) {
			delete(c.isolationCheckedAt, id)
		}
	}
	for id := range c.endingSessions {
		if !isOpen(id) {
			delete(c.endingSessions, id)
		}
	}
}

// activeGateways lists the gateways that may still start new work on an engine that
// has been withheld since its WithheldAt.
func (c *Core) activeGateways(now time.Duration, state *zonestate.State, engine *zonestate.Engine) []string {
	var users []string
	for _, session := range state.Sessions().List() {
		if !c.liveness.HasStopped(now, session, engine.ID, engine.WithheldAt) {
			users = append(users, session.MemberID)
		}
	}
	return users
}

// isolatedHolders lists the gateways that have lost their lease but may use the
// engine in isolation, so that withholding it now would take long.
func (c *Core) isolatedHolders(now time.Duration, state *zonestate.State, engineID string) []string {
	var holders []string
	for _, session := range state.Sessions().List() {
		isolated := c.liveness.LeaseEnded(now, session) && !c.liveness.IsolationEnded(now, session)
		if isolated && session.MayUseIsolated(engineID, c.liveness.Acknowledged(session.ID)) {
			holders = append(holders, session.MemberID)
		}
	}
	return holders
}

// ChangeableQuickly reports whether no isolated gateway can delay a change of the
// engine. The planner prefers such engines.
func (c *Core) ChangeableQuickly(now time.Duration, state *zonestate.State, engineID string) bool {
	return len(c.isolatedHolders(now, state, engineID)) == 0
}
