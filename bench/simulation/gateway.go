package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
	"github.com/pierhaven/pierhaven/internal/session"
)

// gateway runs the gateway's session core, its merged view of the zone and its
// scheduler; its requests are modelRun and onceRun.
type gateway struct {
	process
	zoneOf        *zone
	random        *rand.Rand
	session       *session.Session
	fleet         *fleet.Fleet
	scheduler     *scheduler.Scheduler
	caller        *leaderCaller
	choice        *backEndChoice
	runs          []*modelRun
	openOnce      int
	leaving       bool
	withheld      *fleet.Withheld
	nextRequest   int
	tickCount     int
	configInForce uint64
	// firstConfig is what a planted fault goes back to at each restart.
	firstConfig uint64
	peerTurn    int
	guard       *poison.Guard
	// touchSince is the virtual time since when the gateway has a lease, 0 if it has none.
	touchSince time.Duration
}

const (
	callSlack        = 500 * time.Millisecond
	maximumSleep     = time.Second
	queueTick        = 10 * time.Millisecond
	watchTick        = 200 * time.Millisecond
	askTimeout       = time.Second
	moveAfter        = 5 * time.Second
	acceptTimeout    = 2 * time.Second
	firstTokenWait   = 20 * time.Second
	stallTimeout     = 3 * time.Second
	leavingGrace     = time.Second
	maximumWait      = 10 * time.Second
	maximumQueued    = 256
	retriesPerSecond = 1
)

func (w *world) newGateway(z *zone, number int, seed uint64) *gateway {
	return &gateway{
		process: w.newProcess(fmt.Sprintf("%s.gateway-%d", z.name, number), z.name),
		zoneOf:  z,
		random:  rand.New(rand.NewPCG(seed, 3)),
	}
}

func (g *gateway) start() {
	if g.alive {
		return
	}
	g.begin()
	g.session = session.New(session.Config{
		GatewayID: g.name, Incarnation: g.random.Uint64(), Address: g.name, PeerAddress: g.name,
		WatchWait: g.world.timing.watchWait, Random: g.random,
	})
	g.fleet = fleet.New(g.now, g)
	g.scheduler = scheduler.New(g.schedulerOptions(), g.now, g.isolationSet)
	g.fleet.OnChange(g.fleetChanged)
	g.caller = &leaderCaller{owner: &g.process, controllers: g.zoneOf.controllers}
	g.choice = newBackEndChoice()
	g.runs = nil
	g.openOnce = 0
	g.leaving = false
	g.withheld = fleet.NewWithheld(moveAfter)
	g.plantRevertedConfig()
	g.guard, g.touchSince = g.newGuard(), 0
	g.lookAtPoison()
	g.keepSession()
	g.watchEngines()
	g.tickQueues()
}

func (g *gateway) schedulerOptions() scheduler.Options {
	admitting := admission.DefaultOptions()
	admitting.MaximumItems = maximumQueued
	admitting.MaximumTenantItems = maximumQueued / 2
	routed := routing.DefaultOptions()
	routed.GatewayID = g.name
	retried := retry.DefaultOptions()
	retried.Budget.MinimumPerSecond = retriesPerSecond
	return scheduler.Options{
		Admission: admitting, Routing: routed, Retry: retried, MaximumWait: maximumWait, OtherZones: true, Seed: g.random.Uint64(),
	}
}

// MayDispatch implements fleet.Gate.
func (g *gateway) MayDispatch(now time.Duration, engineID string) bool {
	if g.world.plant == PlantDispatchToLeaving {
		return true
	}
	allowed, _ := g.session.MayDispatch(now, engineID)
	return allowed
}

// MayDispatchBackEnd implements fleet.Gate.
func (g *gateway) MayDispatchBackEnd(now time.Duration, backEndID string) bool {
	if g.world.plant == PlantDispatchToLeaving {
		return true
	}
	allowed, _ := g.session.MayDispatchBackEnd(now, backEndID)
	return allowed
}

// isolationSet lists the engines that the gateway may use while it is cut off.
func (g *gateway) isolationSet(now time.Duration) []string {
	if g.session.LeaseState(now) == membership.LeaseHeld {
		return nil
	}
	usable := []string{}
	for _, engineID := range sortedKeys(g.session.MergedView().Engines) {
		if allowed, _ := g.session.MayDispatch(now, engineID); allowed {
			usable = append(usable, engineID)
		}
	}
	return usable
}

// ready says why the gateway can't take requests, nil if it can.
func (g *gateway) ready() *callError {
	switch g.session.LeaseState(g.now()) {
	case membership.LeaseNone:
		return refused(failure.NotReady, "no session")
	case membership.LeaseExpired:
		return refused(failure.IsolationExpired, "")
	default:
		return nil
	}
}

func (g *gateway) fleetChanged(snapshot *fleet.Snapshot) {
	g.scheduler.SetFleet(snapshot)
	g.withheld.Update(g.now(), snapshot)
	g.settle()
}

// watchEngines moves streams off engines that are withheld for long.
func (g *gateway) watchEngines() {
	g.after(max(watchTick, g.world.timing.idle), func() {
		now := g.now()
		for _, engineID := range g.withheld.Due(now) {
			g.moveFrom(engineID)
		}
		for _, target := range g.session.TargetsToQuery(now) {
			g.askTarget(target)
		}
		g.watchEngines()
	})
}

// askTarget asks a target whether it takes new work, which a gateway without a
// lease has to know.
func (g *gateway) askTarget(target session.Target) {
	sentAt, asked := g.now(), g.session
	told := func(serves bool) { asked.RecordConfirmation(sentAt, target, serves) }
	if target.IsBackEnd {
		to := g.world.backEndAt(target.Address)
		g.world.call(&g.process, &to.process, askTimeout, func(e *exchange) { e.reply(to.state()) },
			func(reply any, err *callError) {
				if err == nil {
					told(reply.(applicationapi.State).Phase == applicationapi.PhaseServing)
				}
			})
		return
	}
	to := g.world.engineAt(target.Address)
	g.world.call(&g.process, &to.process, askTimeout, func(e *exchange) { e.reply(to.state()) },
		func(reply any, err *callError) {
			if err == nil {
				told(reply.(engineapi.State).Phase == engineapi.PhaseServing)
			}
		})
}

func (g *gateway) moveFrom(engineID string) {
	for _, run := range append([]*modelRun(nil), g.runs...) {
		run.moveFrom(engineID)
	}
}

func (g *gateway) tickQueues() {
	interval := queueTick
	if g.scheduler.Waiting() == 0 {
		interval = g.world.timing.idle
	}
	g.after(interval, func() {
		g.scheduler.Tick()
		g.settle()
		g.tickQueues()
	})
}

// settle hands out the decisions that the scheduler has made.
func (g *gateway) settle() {
	for _, run := range append([]*modelRun(nil), g.runs...) {
		run.takeDecision()
	}
}

// stopByPlan finishes what is in hand, closes the session and ends.
func (g *gateway) stopByPlan(ended func()) {
	if !g.alive || g.leaving {
		return
	}
	g.leaving = true
	g.world.note(g.name, "stops by plan")
	g.session.SetLeaving()
	g.after(leavingGrace, func() { g.awaitEmpty(ended) })
}

func (g *gateway) awaitEmpty(ended func()) {
	if len(g.runs) > 0 || g.openOnce > 0 {
		g.after(50*time.Millisecond, func() { g.awaitEmpty(ended) })
		return
	}
	request := g.session.Close(g.now())
	finish := func() {
		g.kill()
		ended()
	}
	if request == nil {
		finish()
		return
	}
	g.caller.call(2*time.Second, func(c *controller, e *exchange) { c.closeSession(e, request) },
		func(any, *callError) { finish() })
}

// kill ends the process with all that it has in hand.
func (g *gateway) kill() {
	g.end()
	g.runs = nil
}

func (g *gateway) restartLater(delay time.Duration) {
	life := g.life
	g.world.after(delay, func() {
		if g.life == life {
			g.start()
		}
	})
}
