package controller

import (
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/api/platformapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/rollout"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// term is the soft state of one term as leader of the zone group. It is discarded
// with the leadership, so that it holds nothing from before a time in which another
// controller led. Its mutex guards the leader's cores and is locked before the zone
// machine's.
type term struct {
	number  uint64
	began   time.Duration
	machine *zoneMachine
	wake    chan struct{}

	mutex       sync.Mutex
	core        *reconcile.Core
	planner     *planner.Planner
	rollouts    *rollout.Core
	outcomes    versionOutcomes
	shares      *admission.ShareCalculator
	gateways    map[uint64]gatewayReport
	plannerHold planner.Hold
	unplaced    []planner.Unplaced
	// prefetched holds, by engine id, the DesiredAt of the desired configuration
	// whose weights the engine was last asked to prefetch.
	prefetched map[string]uint64
	policies   policySet
}

// gatewayReport holds a gateway's last heartbeat and the last demand that one of
// its heartbeats carried, with their arrival times.
type gatewayReport struct {
	at        time.Duration
	heartbeat wire.HeartbeatRequest
	demandAt  time.Duration
	demand    []wire.ModelDemand
}

func newTerm(number uint64, now time.Duration, machine *zoneMachine, config reconcile.Config) *term {
	return &term{
		number:   number,
		began:    now,
		machine:  machine,
		wake:     make(chan struct{}, 1),
		core:     reconcile.New(now, config),
		planner:  planner.New(planner.DefaultOptions()),
		rollouts: rollout.New(rollout.DefaultOptions()),
		outcomes: versionOutcomes{},
		shares:   admission.NewShareCalculator(now, admission.DefaultShareOptions()),
		gateways: map[uint64]gatewayReport{},

		prefetched: map[string]uint64{},
	}
}

// with locks the term and calls use with the core and the committed state.
func (t *term) with(use func(core *reconcile.Core, state *zonestate.State)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.machine.Read(func(state *zonestate.State) { use(t.core, state) })
}

// requestTick wakes the leader's loop for an immediate tick.
func (t *term) requestTick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// heartbeatArrived records a heartbeat. It must be called before the read barrier
// that precedes the reply.
func (t *term) heartbeatArrived(at time.Duration, heartbeat *wire.HeartbeatRequest) {
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		core.RecordHeartbeat(at, heartbeat, state)
		t.recordHeartbeat(at, heartbeat, state)
	})
	t.requestTick()
}

// recordHeartbeat stores a heartbeat of the gateway's open session, and what it
// reports of outcomes and usage. It ignores heartbeats of other sessions, and those
// that arrived before the stored one. The caller must hold t.mutex.
func (t *term) recordHeartbeat(at time.Duration, heartbeat *wire.HeartbeatRequest, state *zonestate.State) {
	session, open := state.Sessions().Get(heartbeat.SessionID)
	if !open || session.MemberID != heartbeat.GatewayID {
		return
	}
	known, found := t.gateways[heartbeat.SessionID]
	if found && known.at > at {
		return
	}
	if found {
		t.outcomes.add(known.heartbeat.Versions, heartbeat.Versions)
	}
	report := gatewayReport{at: at, heartbeat: *heartbeat, demandAt: at, demand: heartbeat.Demand}
	if len(heartbeat.Demand) == 0 {
		report.demandAt, report.demand = known.demandAt, known.demand
	}
	t.gateways[heartbeat.SessionID] = report
	for _, usage := range heartbeat.Usage {
		t.shares.RecordUsage(heartbeat.GatewayID, usage.Tenant, float64(usage.Wanted))
	}
}

// heartbeatReply returns the reply to a heartbeat. It must be called after the read
// barrier.
func (t *term) heartbeatReply(now time.Duration, heartbeat *wire.HeartbeatRequest, zones int) *wire.HeartbeatReply {
	var reply wire.HeartbeatReply
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		reply = core.AnswerHeartbeat(heartbeat, state)
		if reply.Known {
			reply.Shares = t.renewShares(now, heartbeat, zones, state)
			known := state.Poison()
			reply.Poison = known.NewsSince(heartbeat.PoisonRevision)
		}
	})
	return &reply
}

// renewShares leases the gateway its shares of the budgets of the tenants in its
// usage report. Each zone has an equal fraction of every budget, so that zones
// together stay within it while they are cut off from each other.
func (t *term) renewShares(now time.Duration, heartbeat *wire.HeartbeatRequest, zones int, state *zonestate.State) []wire.TenantShare {
	if len(heartbeat.Usage) == 0 {
		return nil
	}
	var gateways []string
	for _, session := range state.Sessions().List() {
		gateways = append(gateways, session.MemberID)
	}
	zoneFraction := 1 / float64(max(zones, 1))
	var shares []wire.TenantShare
	for _, usage := range heartbeat.Usage {
		tenant, found := state.Tenant(usage.Tenant)
		if !found || tenant.TokensPerSecond <= 0 {
			continue
		}
		share := t.shares.Renew(now, heartbeat.GatewayID, tenant.Name, tenant.TokensPerSecond*zoneFraction, tenant.BurstTokens*zoneFraction, gateways)
		shares = append(shares, wire.TenantShare{
			Tenant:          tenant.Name,
			TokensPerSecond: share.TokensPerSecond,
			ValidMillis:     share.Valid.Milliseconds(),
		})
	}
	return shares
}

// sessionOpened records that a request that arrived at the given time has opened a
// session. It reports whether the session may be returned to the gateway.
func (t *term) sessionOpened(at time.Duration, sessionID uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordSessionOpened(at, sessionID)
	return t.core.MayReturnSession(sessionID)
}

func (t *term) proposalEnded(key string) {
	t.mutex.Lock()
	t.core.ProposalEnded(key)
	t.mutex.Unlock()
	t.requestTick()
}

func (t *term) offerConfig(snapshot *dynamic.Snapshot) {
	t.mutex.Lock()
	t.core.UpdateConfig(snapshot)
	t.mutex.Unlock()
	t.requestTick()
}

func (t *term) machinesListed(list *platformapi.MachineList) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordMachineList(list)
}

// enginePolled records the response to a poll, nil if there was none. A response
// from an address that is no longer the engine's is another machine's and counts as
// a failed poll.
func (t *term) enginePolled(sentAt, now time.Duration, poll reconcile.Poll, reported *engineapi.State) {
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		engine, found := state.Engine(poll.ID)
		if reported == nil || !found || engine.Address != poll.Address {
			core.RecordEngineNoResponse(now, poll.ID)
			return
		}
		core.RecordEngineState(sentAt, now, poll.ID, reported)
	})
}

func (t *term) backEndPolled(sentAt, now time.Duration, id string, state *applicationapi.State) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state == nil {
		t.core.RecordBackEndNoResponse(now, id)
		return
	}
	t.core.RecordBackEndState(sentAt, now, id, state)
}

func (t *term) orderSent(sentAt, now time.Duration, order *engineapi.Order, reply *engineapi.OrderReply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if reply == nil {
		t.core.RecordEngineNoResponse(now, order.EngineID)
		return
	}
	t.core.RecordOrderReply(sentAt, now, order, reply)
	t.requestTick()
}

// tick runs one tick of the core and deletes the heartbeats of ended sessions.
func (t *term) tick(now time.Duration, wallMillis int64) reconcile.Outputs {
	var outputs reconcile.Outputs
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		outputs = core.Tick(now, wallMillis, state)
		t.forgetEnded(state.Sessions())
	})
	return outputs
}

// forgetEnded deletes the heartbeats of ended sessions, and the budget shares of
// gateways that have no other open session. The caller must hold t.mutex.
func (t *term) forgetEnded(sessions *membership.Table) {
	for sessionID, report := range t.gateways {
		if _, open := sessions.Get(sessionID); open {
			continue
		}
		delete(t.gateways, sessionID)
		if _, reopened := sessions.ByMember(report.heartbeat.GatewayID); !reopened {
			t.shares.RemoveGateway(report.heartbeat.GatewayID)
		}
	}
}
