package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// simulatedZone runs the cores of a leading controller in virtual time: proposals
// are committed at once, one gateway acknowledges each view, and engines take
// orderDuration to execute an order.
type simulatedZone struct {
	t         *testing.T
	term      *term
	now       time.Duration
	index     uint64
	sessionID uint64
	engines   map[string]*engineapi.State
	doneAt    map[string]time.Duration
	orders    []engineapi.Order
}

const orderDuration = 3 * time.Second

func newSimulatedZone(t *testing.T, engines int, models ...dynamic.Model) *simulatedZone {
	z := &simulatedZone{t: t, engines: map[string]*engineapi.State{}, doneAt: map[string]time.Duration{}}
	config := reconcile.Config{Zone: "zone-a", Generation: 1, Parameters: zonestate.DefaultParameters([]string{"zone-a"})}
	for number := range engines {
		id := fmt.Sprintf("engine-%d", number)
		config.Engines = append(config.Engines, reconcile.Target{ID: id, Address: id + ":1"})
		z.engines[id] = &engineapi.State{
			EngineID: id, Incarnation: 1, Phase: engineapi.PhaseServing,
			Observed: engineapi.Configuration{Role: engineapi.RoleMixed, Model: models[0].Name, Version: models[0].Version},
		}
	}
	z.term = newTerm(1, 0, newZoneMachine(), config)
	z.submit(dynamic.Snapshot{Revision: 1, Models: models})
	z.run(5 * time.Second)
	z.sessionID = z.commit(zonestate.Command{Kind: zonestate.KindOpenSession, Session: &zonestate.SessionCommand{
		GatewayID: "gateway", Incarnation: 1, Address: "gateway:1", PeerAddress: "gateway:2", Ticket: z.index,
	}}).SessionID
	require.NotZero(t, z.sessionID)
	return z
}

func (z *simulatedZone) submit(config dynamic.Snapshot) { z.term.offerConfig(&config) }

func (z *simulatedZone) commit(command zonestate.Command) zonestate.Result {
	z.index++
	data, err := command.Encode()
	require.NoError(z.t, err)
	result, err := zonestate.DecodeResult(z.term.machine.Apply(z.index, data))
	require.NoError(z.t, err)
	return result
}

// run advances the virtual time in steps of half a second, with a heartbeat and a
// tick in each and a step of the planner every second.
func (z *simulatedZone) run(duration time.Duration) {
	for end := z.now + duration; z.now < end; {
		z.now += 500 * time.Millisecond
		z.heartbeat()
		outputs := z.term.tick(z.now, z.now.Milliseconds())
		for _, proposal := range outputs.Proposals {
			z.commit(proposal.Command)
			z.term.proposalEnded(proposal.Key)
		}
		for _, poll := range outputs.EnginePolls {
			z.term.enginePolled(z.now, z.now, poll, z.engineReport(poll.ID))
		}
		for _, call := range outputs.Orders {
			reply := engineapi.OrderReply{Status: z.executeOrder(&call.Order), State: *z.engineReport(call.Order.EngineID)}
			z.term.orderSent(z.now, z.now, &call.Order, &reply)
		}
		if z.now%time.Second == 0 {
			z.plan()
		}
	}
}

func (z *simulatedZone) heartbeat() {
	if z.sessionID == 0 {
		return
	}
	z.term.heartbeatArrived(z.now, &wire.HeartbeatRequest{
		GatewayID: "gateway", SessionID: z.sessionID, AppliedRevision: z.term.machine.Revision(), ConfigRevision: 1,
	})
}

func (z *simulatedZone) plan() {
	for _, command := range z.term.stepRollouts(z.now, "zone-a").Commands {
		z.commit(command)
	}
	if _, desired := z.term.decide(z.now, "zone-a"); len(desired) > 0 {
		z.commit(zonestate.Command{Kind: zonestate.KindSetDesired, Desired: desired})
	}
}

func (z *simulatedZone) engineReport(id string) *engineapi.State {
	engine := z.engines[id]
	if doneAt, changing := z.doneAt[id]; changing && z.now >= doneAt {
		engine.Phase = engineapi.PhaseServing
		engine.Observed = z.orders[len(z.orders)-1].Target
		delete(z.doneAt, id)
	}
	reported := *engine
	return &reported
}

// executeOrder starts an order or returns its status.
func (z *simulatedZone) executeOrder(order *engineapi.Order) engineapi.OrderStatus {
	engine := z.engines[order.EngineID]
	z.engineReport(order.EngineID)
	if order.Fence == engine.HighestFence {
		if engine.Phase == engineapi.PhaseChanging {
			return engineapi.OrderInProgress
		}
		return engineapi.OrderDone
	}
	require.Empty(z.t, z.doneAt, "only one engine may change at a time")
	engine.HighestFence, engine.Phase = order.Fence, engineapi.PhaseChanging
	z.doneAt[order.EngineID] = z.now + orderDuration
	z.orders = append(z.orders, *order)
	return engineapi.OrderAccepted
}

// servingByModel returns the number of dispatchable engines of each model.
func (z *simulatedZone) servingByModel() map[string]int {
	counts := map[string]int{}
	z.term.machine.Read(func(state *zonestate.State) {
		for _, engine := range state.Engines() {
			if engine.Dispatchable() {
				counts[engine.Verified.Model]++
			}
		}
	})
	return counts
}

func TestSubmittedPolicyMovesEnginesToAnotherModel(t *testing.T) {
	models := []dynamic.Model{
		{Name: "reading", Version: "1", FirstTokenMillis: 300, BetweenTokensMillis: 30},
		{Name: "writing", Version: "7", FirstTokenMillis: 300, BetweenTokensMillis: 30, Adapters: []string{"street"}},
	}
	z := newSimulatedZone(t, 4, models...)
	z.run(30 * time.Second)
	require.Equal(t, map[string]int{"reading": 4}, z.servingByModel())
	require.Empty(t, z.orders)

	placement := func(writing int, adapters ...string) []dynamic.Policy {
		return []dynamic.Policy{{Name: "evening", RoleChange: dynamic.RoleChangeRule{MaximumAway: 1}, Placement: []dynamic.PlacementRule{
			{Model: "reading", Version: "1", Minimum: 2},
			{Model: "writing", Version: "7", Minimum: writing, Adapters: adapters, Condition: "engine.index > 0"},
		}}}
	}
	z.submit(dynamic.Snapshot{Revision: 2, Models: models, Policies: placement(2)})
	z.run(time.Minute)
	require.Equal(t, map[string]int{"reading": 2, "writing": 2}, z.servingByModel())
	require.Len(t, z.orders, 2)
	for _, order := range z.orders {
		require.NotEqual(t, "engine-0", order.EngineID)
		require.Equal(t, engineapi.Configuration{Role: engineapi.RoleMixed, Model: "writing", Version: "7"}, order.Target)
	}

	z.submit(dynamic.Snapshot{Revision: 3, Models: models, Policies: placement(2, "street")})
	z.run(time.Minute)
	require.Len(t, z.orders, 4, "a change of adapters alone needs an order, too")
	require.Equal(t, []string{"street"}, z.orders[3].Target.Adapters)
	require.Equal(t, map[string]int{"reading": 2, "writing": 2}, z.servingByModel())

	z.submit(dynamic.Snapshot{Revision: 4, Models: models, Policies: placement(3, "street")})
	z.run(time.Minute)
	require.Len(t, z.orders, 4, "the minimums need five engines, and there are four")
	require.Len(t, z.term.unplaced, 1)
	require.Equal(t, "placement: model writing has 2 engines by its rules, minimum 3: minimums_exceed_engines", unplacedWarning(z.term.unplaced[0]))
}
