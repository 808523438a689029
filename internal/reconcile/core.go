package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Core holds the soft state of one leadership. Create a new one each time this
// replica becomes the leader, once a read barrier has succeeded. It is not safe
// for concurrent use.
type Core struct {
	config          Config
	leaderSince     time.Duration
	liveness        *membership.Liveness
	engineTrackers  map[string]*engineTracker
	backEndTrackers map[string]*backEndTracker
	machines        machineList
	// machineListSuspect reports whether the platform's list is likely wrong. Its
	// hints then withhold no machine, and removals wait for removeSuspectAfter.
	machineListSuspect bool
	offeredConfig      *dynamic.Snapshot
	// pending maps the key of each unfinished proposal to the time it was made.
	pending map[string]time.Duration
	// endingSessions holds the sessions whose end has been proposed. Since the end
	// may be committed at any time, their heartbeats are answered as for unknown
	// sessions.
	endingSessions map[uint64]struct{}
	// isolationAssignedAt is when each session's last isolation set was proposed.
	isolationAssignedAt map[uint64]time.Duration
	// isolationCheckedAt is the revision at which each session's isolation set was
	// last found to be up to date. The engines have not changed while the revision
	// stays the same.
	isolationCheckedAt map[uint64]uint64
	// unresponsive lists the targets in service that have not responded recently.
	unresponsive    []string
	nextTimeAdvance time.Duration
	outputs         Outputs
	wallMillis      int64
}

// New returns the Core of a leadership that begins at now.
func New(now time.Duration, config Config) *Core {
	config = config.withDefaults()
	return &Core{
		config:              config,
		leaderSince:         now,
		liveness:            membership.NewLiveness(config.Margin),
		engineTrackers:      make(map[string]*engineTracker),
		backEndTrackers:     make(map[string]*backEndTracker),
		machines:            newMachineList(),
		pending:             make(map[string]time.Duration),
		endingSessions:      make(map[uint64]struct{}),
		isolationAssignedAt: make(map[uint64]time.Duration),
		isolationCheckedAt:  make(map[uint64]uint64),
	}
}

// Tick decides what to do at now. wallMillis is the wall clock in Unix
// milliseconds, which is used only as the log time of once-only claims.
func (c *Core) Tick(now time.Duration, wallMillis int64, state *zonestate.State) Outputs {
	c.outputs = Outputs{}
	c.wallMillis = wallMillis
	if !state.Founded() {
		c.propose(now, "found", zonestate.Command{
			Kind: zonestate.KindFound,
			Found: &zonestate.Found{
				Zone:       c.config.Zone,
				Generation: c.config.Generation,
				Parameters: c.config.Parameters,
			},
		})
		return c.outputs
	}
	c.tickGroup(now, state)
	c.tickMachines(now, state)
	c.tickSessions(now, state)
	c.tickRegistrations(now, state)
	c.tickEngines(now, state)
	c.tickBackEnds(now, state)
	c.tickUnresponsive(now, state)
	return c.outputs
}

// propose adds a proposal, unless one with the same key is pending. It reports
// whether the proposal was added.
func (c *Core) propose(now time.Duration, key string, command zonestate.Command) bool {
	if c.isPending(now, key) {
		return false
	}
	c.pending[key] = now
	command.TimeMillis = c.wallMillis
	c.outputs.Proposals = append(c.outputs.Proposals, Proposal{Key: key, Command: command})
	return true
}

func (c *Core) isPending(now time.Duration, key string) bool {
	at, found := c.pending[key]
	return found && now-at < c.config.ProposalTimeout
}

// ProposalEnded records that a proposal was applied or failed.
func (c *Core) ProposalEnded(key string) { delete(c.pending, key) }

// UpdateConfig records the newest committed configuration of the config group. Older
// revisions are ignored.
func (c *Core) UpdateConfig(snapshot *dynamic.Snapshot) {
	if c.offeredConfig == nil || snapshot.Revision > c.offeredConfig.Revision {
		c.offeredConfig = snapshot
	}
}

func (c *Core) tickGroup(now time.Duration, state *zonestate.State) {
	if !sameParameters(state.Parameters(), c.config.Parameters) {
		parameters := c.config.Parameters
		c.propose(now, "configure", zonestate.Command{Kind: zonestate.KindConfigure, Parameters: &parameters})
	}
	if state.PriorSessions() && now-c.leaderSince > c.config.Margin.Stretch(state.Parameters().Terms.Isolation()) {
		c.propose(now, "prior", zonestate.Command{Kind: zonestate.KindEndPriorSessions})
	}
	if c.offeredConfig != nil && c.offeredConfig.Revision > state.ConfigRevision() {
		c.propose(now, "config", zonestate.Command{Kind: zonestate.KindAdoptConfig, Config: c.offeredConfig})
	}
	if now >= c.nextTimeAdvance && c.propose(now, "advance", zonestate.Command{Kind: zonestate.KindAdvanceTime}) {
		c.nextTimeAdvance = now + c.config.AdvanceInterval
	}
}

func sameParameters(left, right zonestate.Parameters) bool {
	if len(left.Zones) != len(right.Zones) {
		return false
	}
	for i := range left.Zones {
		if left.Zones[i] != right.Zones[i] {
			return false
		}
	}
	return left.Terms == right.Terms && left.OnceOnly == right.OnceOnly
}

// RecordHeartbeat records a heartbeat that arrived at now. It must be called before
// the read barrier that precedes AnswerHeartbeat.
func (c *Core) RecordHeartbeat(now time.Duration, request *wire.HeartbeatRequest, state *zonestate.State) {
	session, open := state.Sessions().Get(request.SessionID)
	if open && session.MemberID == request.GatewayID {
		c.liveness.RecordHeartbeat(now, request.SessionID, request.AppliedRevision)
	}
}

// AnswerHeartbeat returns the reply to a heartbeat. It must be called after a read
// barrier that was requested after the heartbeat arrived. This ensures that no
// later leader started to measure the time since the gateway's last heartbeat
// before the gateway sent this one.
func (c *Core) AnswerHeartbeat(request *wire.HeartbeatRequest, state *zonestate.State) wire.HeartbeatReply {
	session, open := state.Sessions().Get(request.SessionID)
	_, ending := c.endingSessions[request.SessionID]
	if !open || ending || session.MemberID != request.GatewayID {
		return wire.HeartbeatReply{}
	}
	reply := wire.HeartbeatReply{Known: true, Revision: state.Revision(), Terms: wire.Terms(session.Terms)}
	if request.AppliedRevision < state.Revision() {
		view := state.ViewFor(&wire.WatchRequest{
			SessionID:      request.SessionID,
			Revision:       request.AppliedRevision,
			ConfigRevision: request.ConfigRevision,
		})
		reply.View = &view
	}
	reply.Unheard = c.unresponsive
	return reply
}

// RecordSessionOpened records that a request which arrived at receivedAt has opened a
// session or found it open. It must be called before the request is answered.
func (c *Core) RecordSessionOpened(receivedAt time.Duration, sessionID uint64) {
	c.liveness.RecordHeartbeat(receivedAt, sessionID, 0)
}

// MayReturnSession reports whether a session may still be returned to a gateway. It
// may not once the end of the session has been proposed.
func (c *Core) MayReturnSession(sessionID uint64) bool {
	_, ending := c.endingSessions[sessionID]
	return !ending
}

// SinceLastHeartbeat returns the time since the last heartbeat of a session that
// arrived at this leader.
func (c *Core) SinceLastHeartbeat(now time.Duration, sessionID uint64) time.Duration {
	return c.liveness.SinceLastHeartbeat(now, sessionID)
}

// Acknowledged returns the revision of the newest view that a session has
// acknowledged to this leader.
func (c *Core) Acknowledged(sessionID uint64) uint64 {
	return c.liveness.Acknowledged(sessionID)
}
