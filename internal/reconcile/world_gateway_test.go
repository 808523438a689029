package reconcile

import (
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// modelGateway runs the session core of a gateway with a drifting clock.
type modelGateway struct {
	env          *testEnvironment
	id           string
	incarnation  uint64
	session      *session.Session
	clockRate    float64
	alive        bool
	disconnected bool
	pausedUntil  time.Duration
	// highestConfig is the highest configuration revision that the gateway has
	// used.
	highestConfig uint64
}

func newModelGateway(env *testEnvironment, number int) *modelGateway {
	gateway := &modelGateway{env: env, id: fmt.Sprintf("gateway-%d", number)}
	gateway.start()
	return gateway
}

func (g *modelGateway) start() {
	env := g.env
	g.incarnation = env.random.Uint64()
	g.clockRate = env.clockRate()
	g.alive = true
	g.session = session.New(session.Config{
		GatewayID:   g.id,
		Incarnation: g.incarnation,
		Address:     g.id + ":1",
		Random:      env.random,
	})
	incarnation := g.incarnation
	var tick, dispatch func()
	tick = func() {
		if g.incarnation != incarnation || !g.alive {
			return
		}
		if g.isRunning() {
			g.tick()
		}
		env.schedule(100*time.Millisecond, tick)
	}
	dispatch = func() {
		if g.incarnation != incarnation || !g.alive {
			return
		}
		if g.isRunning() {
			g.dispatch()
		}
		env.schedule(env.randomDuration(400*time.Millisecond), dispatch)
	}
	env.schedule(env.randomDuration(time.Second), tick)
	env.schedule(env.randomDuration(time.Second), dispatch)
}

func (g *modelGateway) clock() time.Duration {
	return time.Duration(float64(g.env.now) * g.clockRate)
}

func (g *modelGateway) isRunning() bool { return g.alive && g.env.now >= g.pausedUntil }

func (g *modelGateway) mayDispatch(engineID string) bool {
	if !g.alive {
		return false
	}
	permitted, _ := g.session.MayDispatch(g.clock(), engineID)
	return permitted
}

// couldDispatch reports whether the gateway may dispatch to the engine, or may do so
// as soon as the engine confirms that it serves.
func (g *modelGateway) couldDispatch(engineID string) bool {
	if !g.alive {
		return false
	}
	permitted, reason := g.session.MayDispatch(g.clock(), engineID)
	return permitted || reason == session.ReasonUnconfirmed
}

func (g *modelGateway) kill() {
	if !g.alive {
		return
	}
	g.alive = false
	incarnation := g.incarnation
	g.env.schedule(g.env.randomDuration(30*time.Second), func() {
		if !g.alive && g.incarnation == incarnation {
			g.start()
		}
	})
}

func (g *modelGateway) pause(duration time.Duration) {
	g.pausedUntil = max(g.pausedUntil, g.env.now+duration)
}

func (g *modelGateway) disconnect(duration time.Duration) {
	g.disconnected = true
	g.env.schedule(duration, func() { g.disconnected = false })
}

func (g *modelGateway) restore() {
	g.disconnected = false
	g.pausedUntil = 0
	if !g.alive {
		g.start()
	}
}

// dispatch sends a request to a random engine. The message delay allows for a pause
// of the process between the check and the sending.
func (g *modelGateway) dispatch() {
	env := g.env
	engine := env.engines[env.random.IntN(len(env.engines))]
	if !g.mayDispatch(engine.id) {
		return
	}
	if committed, found := env.group.state.Engine(engine.id); found && committed.Order != nil {
		env.addViolation("%s may use %s while order %+v is in flight", g.id, engine.id, committed.Order.Fence)
	}
	env.counts.dispatches++
	if g.session.LeaseState(g.clock()) == membership.LeaseIsolated {
		env.counts.isolatedDispatches++
	}
	env.schedule(env.messageDelay(), engine.serve)
}

func (g *modelGateway) tick() {
	for _, call := range g.session.Tick(g.clock()) {
		g.call(call)
	}
	for _, target := range g.session.TargetsToQuery(g.clock()) {
		g.queryEngine(target)
	}
	g.checkConfig()
}

// queryEngine asks an engine whether it is serving.
func (g *modelGateway) queryEngine(target session.Target) {
	env := g.env
	sentAt, asked := g.clock(), g.session
	env.schedule(env.messageDelay(), func() {
		engine := env.engine(target.ID)
		if engine != nil && !engine.down {
			asked.RecordConfirmation(sentAt, target, engine.phase == engineapi.PhaseServing)
		}
	})
}

// checkConfig checks that the gateway's configuration revision never decreases and
// is never ahead of the committed one.
func (g *modelGateway) checkConfig() {
	revision := g.session.MergedView().ConfigRevision()
	if g.session.ID() == 0 {
		return
	}
	if revision < g.highestConfig {
		g.env.addViolation("%s went back from configuration %d to %d", g.id, g.highestConfig, revision)
	}
	if committed := g.env.group.state.ConfigRevision(); revision > committed {
		g.env.addViolation("%s uses configuration %d, but only %d is committed", g.id, revision, committed)
	}
	g.highestConfig = revision
}

// call sends a call to the leader, or to a deposed leader that still acts as one.
func (g *modelGateway) call(call session.Call) {
	env := g.env
	leader := env.group.leader
	if staleLeaders := env.group.staleLeaders; len(staleLeaders) > 0 && env.chance(0.3) {
		leader = staleLeaders[env.random.IntN(len(staleLeaders))]
	}
	if leader.stopped {
		leader = env.group.leader
	}
	if g.disconnected || env.messageLost() {
		g.fail(call)
		return
	}
	incarnation := g.incarnation
	finish := func(run func()) { g.deliverReply(incarnation, run) }
	// A call may still arrive after its gateway was killed.
	env.schedule(env.messageDelay(), func() { g.handle(leader, call, finish) })
}

func (g *modelGateway) fail(call session.Call) {
	g.runAfter(g.incarnation, call.Timeout, func() { g.session.Failed(g.clock(), call.Number) })
}

// deliverReply delivers a reply after a message delay, once the gateway is running.
func (g *modelGateway) deliverReply(incarnation uint64, run func()) {
	g.runAfter(incarnation, g.env.messageDelay(), run)
}

func (g *modelGateway) runAfter(incarnation uint64, delay time.Duration, run func()) {
	g.env.schedule(delay, func() {
		if g.incarnation != incarnation || !g.alive {
			return
		}
		if !g.isRunning() {
			g.runAfter(incarnation, g.pausedUntil-g.env.now+time.Microsecond, run)
			return
		}
		run()
	})
}

func (g *modelGateway) handle(leader *modelLeader, call session.Call, finish func(func())) {
	failed := func() { g.session.Failed(g.clock(), call.Number) }
	switch {
	case call.Open != nil:
		reply := leader.open(call.Open)
		if reply == nil {
			finish(failed)
			return
		}
		finish(func() { g.session.Opened(g.clock(), call.Number, reply) })
	case call.Heartbeat != nil:
		leader.heartbeat(call.Heartbeat, func(reply *wire.HeartbeatReply) {
			if reply == nil {
				finish(failed)
				return
			}
			finish(func() { g.session.HeartbeatAnswered(g.clock(), call.Number, reply) })
		})
	case call.Watch != nil:
		// Every replica serves watches, including a deposed leader.
		g.env.schedule(500*time.Millisecond, func() {
			view := leader.visibleState().ViewFor(call.Watch)
			leader.exposeUncommittedConfig(&view)
			finish(func() { g.session.WatchAnswered(g.clock(), call.Number, &wire.WatchReply{View: view}) })
		})
	}
}
