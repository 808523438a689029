package reconcile

import (
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// modelEngine simulates an engine that executes fenced orders, which take seconds.
type modelEngine struct {
	env          *testEnvironment
	id           string
	down         bool
	incarnation  uint64
	phase        engineapi.Phase
	observed     engineapi.Configuration
	highestFence engineapi.Fence
	target       engineapi.Configuration
	orderFailed  bool
	running      int
	// replacedIncarnation is the first incarnation after the last replacement by
	// another machine, 0 if there was none.
	replacedIncarnation uint64
}

func newModelEngine(env *testEnvironment, number int) *modelEngine {
	return &modelEngine{
		env:         env,
		id:          fmt.Sprintf("engine-%d", number),
		incarnation: 1,
		phase:       engineapi.PhaseServing,
		observed:    engineapi.Configuration{Role: engineapi.RoleMixed, Model: "model", Version: "0"},
	}
}

func (env *testEnvironment) engine(id string) *modelEngine {
	for _, engine := range env.engines {
		if engine.id == id {
			return engine
		}
	}
	return nil
}

func (e *modelEngine) report() engineapi.State {
	return engineapi.State{
		EngineID:     e.id,
		Incarnation:  e.incarnation,
		Phase:        e.phase,
		Observed:     e.observed,
		HighestFence: e.highestFence,
		Running:      e.running,
	}
}

func (e *modelEngine) executeOrder(order *engineapi.Order) engineapi.OrderReply {
	status := e.acceptOrder(order)
	return engineapi.OrderReply{Status: status, State: e.report()}
}

func (e *modelEngine) acceptOrder(order *engineapi.Order) engineapi.OrderStatus {
	if !e.env.plantedFaults.ignoreFence {
		if order.Fence.Less(e.highestFence) {
			e.env.counts.staleOrdersRejected++
			return engineapi.OrderRefusedStale
		}
		if order.Fence == e.highestFence {
			return e.orderStatus()
		}
	}
	if e.phase == engineapi.PhaseChanging || e.running > 0 {
		return engineapi.OrderRefusedBusy
	}
	e.beginOrder(order)
	return engineapi.OrderAccepted
}

func (e *modelEngine) orderStatus() engineapi.OrderStatus {
	switch {
	case e.orderFailed:
		return engineapi.OrderFailed
	case e.phase == engineapi.PhaseChanging:
		return engineapi.OrderInProgress
	default:
		return engineapi.OrderDone
	}
}

// beginOrder starts to execute an order. It is a violation if this is not the newest
// order in the log or if a gateway may use the engine at that time.
func (e *modelEngine) beginOrder(order *engineapi.Order) {
	env := e.env
	if order.Fence.Less(e.highestFence) || order.Fence == e.highestFence {
		env.addViolation("%s executes order %+v after %+v", e.id, order.Fence, e.highestFence)
	}
	e.checkNewest(order)
	for _, gateway := range env.gateways {
		if gateway.couldDispatch(e.id) && !e.isUnseenReplacement() {
			env.addViolation("%s changes while %s may use it", e.id, gateway.id)
		}
	}
	e.highestFence = order.Fence
	e.target = order.Target
	e.orderFailed = false
	e.phase = engineapi.PhaseChanging
	incarnation := e.incarnation
	env.schedule(env.randomDuration(3*time.Second), func() { e.endOrder(incarnation, order.Fence) })
}

// isUnseenReplacement reports whether the engine was replaced by a machine without a
// record of orders that the group has not verified yet. Until then nothing can keep
// the machine from executing an old order. This is safe because it rejects requests
// while it changes and is put into service only after a new order.
func (e *modelEngine) isUnseenReplacement() bool {
	committed, found := e.env.group.state.Engine(e.id)
	return found && e.replacedIncarnation > 0 && committed.Incarnation < e.replacedIncarnation
}

// checkNewest checks that a process that the group has verified executes only the
// order in flight.
func (e *modelEngine) checkNewest(order *engineapi.Order) {
	committed, found := e.env.group.state.Engine(e.id)
	if !found || committed.Verified == nil || committed.Incarnation != e.incarnation {
		return
	}
	if committed.Order == nil || committed.Order.Fence != order.Fence {
		e.env.addViolation("%s executes the old order %+v", e.id, order.Fence)
	}
}

func (e *modelEngine) endOrder(incarnation uint64, fence engineapi.Fence) {
	if e.incarnation != incarnation || e.highestFence != fence || e.phase != engineapi.PhaseChanging {
		return
	}
	e.phase = engineapi.PhaseServing
	if !e.env.faultsEnded && e.env.chance(0.1) {
		e.orderFailed = true
		e.env.counts.ordersFailed++
		return
	}
	e.observed = e.target
	e.env.counts.ordersDone++
}

// crash loses the running requests. An engine that crashes during a change comes back
// with the change half done.
func (e *modelEngine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.running = 0
	e.incarnation++
	if e.phase == engineapi.PhaseChanging {
		e.phase = engineapi.PhaseHalfDone
		e.observed = engineapi.Configuration{Role: e.observed.Role}
	}
	incarnation := e.incarnation
	e.env.schedule(e.env.randomDuration(15*time.Second), func() {
		if e.down && e.incarnation == incarnation {
			e.restart()
		}
	})
}

func (e *modelEngine) restart() { e.down = false }

// replace replaces the engine by another machine, which has no record of orders.
func (e *modelEngine) replace() {
	e.crash()
	e.incarnation++
	e.replacedIncarnation = e.incarnation
	e.highestFence = engineapi.Fence{}
	e.orderFailed = false
	e.phase = engineapi.PhaseServing
	e.observed = engineapi.Configuration{Role: engineapi.RoleMixed, Model: "model", Version: "0"}
	e.env.counts.enginesReplaced++
	e.env.schedule(e.env.randomDuration(5*time.Second), e.restart)
}

// serve runs a request from a gateway, or rejects it if the engine does not serve.
func (e *modelEngine) serve() {
	if e.down || e.phase != engineapi.PhaseServing {
		e.env.counts.requestsRejectedByEngine++
		return
	}
	e.running++
	incarnation := e.incarnation
	e.env.schedule(e.env.randomDuration(4*time.Second), func() {
		if e.incarnation == incarnation && e.running > 0 {
			e.running--
		}
	})
}
