package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	// poisonPrefix begins prompts that end the engine which begins to run them.
	poisonPrefix = "ends engines "
	// poisonEvery is the mean time between two tries of such a prompt.
	poisonEvery = 400 * time.Millisecond
	// poisonDown is the mean time that an engine is down after it.
	poisonDown = time.Second
	// contactTime is how long processes that reach each other may take to know what one knows.
	contactTime = 3 * time.Second
	// lateArrivals of a prompt may come from gateways in touch later than contactTime after it has
	// ended the third engine.
	lateArrivals = 3
	endLook      = 20 * time.Millisecond
	tellPause    = 50 * time.Millisecond
	tellTimeout  = 500 * time.Millisecond
	poisonTick   = 100 * time.Millisecond
	poisonMemory = 24 * time.Hour
)

// TargetHash implements poison.Request.
func (r *modelRequest) TargetHash() uint32 { return poison.HashTarget("", r.tenant) }

// Digest implements poison.Request.
func (r *modelRequest) Digest() poison.Digest {
	return poison.Content{Target: r.tenant, Body: []byte(r.prompt)}.Digest()
}

// Parts implements poison.Request.
func (r *modelRequest) Parts() []poison.Digest { return nil }

// newGuard returns what a gateway knows of prompts that end engines.
func (g *gateway) newGuard() *poison.Guard {
	return poison.NewGuard(poison.Options{
		Now:         g.now,
		InSync:      func() bool { return g.session.LeaseState(g.now()) == membership.LeaseHeld },
		ContactTime: contactTime,
		Retention:   poisonMemory,
	})
}

// lookAtPoison has the guard look at its own evidence, and notes since when the gateway is in touch.
func (g *gateway) lookAtPoison() {
	g.guard.CheckLocalEvidence()
	if g.session.LeaseState(g.now()) != membership.LeaseHeld {
		g.touchSince = 0
	} else if g.touchSince == 0 {
		g.touchSince = g.world.now
	}
	g.after(poisonTick, g.lookAtPoison)
}

// refusalIfHeld refuses a call whose prompt is held.
func (r *modelRun) refusalIfHeld() *scheduler.Refusal {
	switch {
	case r.gateway.world.plant == PlantNothingHeld:
		return nil
	case r.gateway.guard.Holds(&r.asked):
		return &scheduler.Refusal{Kind: failure.RequestHeld, Detail: "engines have ended under this request"}
	case r.lost && !r.gateway.guard.MayRetry(&r.asked):
		return &scheduler.Refusal{Kind: failure.OutcomeUnknown, Detail: "engines have ended under this request"}
	default:
		return nil
	}
}

// engineLost sees, a while after a connection has broken, whether the engine's process has ended.
func (r *modelRun) engineLost(engineID, address string) {
	g := r.gateway
	r.lost = true
	g.after(endLook, func() {
		if target := g.world.engineAt(address); !target.alive && g.world.network.passes(&g.process, &target.process) {
			g.scheduler.ProcessEnded(engineID)
			g.guard.ReplicaCrashed(engineID, []poison.Digest{r.asked.Digest()})
			g.tellPoison()
		}
	})
}

// tellPoison tells the zone group what the guard has learned.
func (g *gateway) tellPoison() {
	g.after(tellPause, func() {
		report := g.guard.Report(g.name)
		if report == nil {
			return
		}
		g.caller.call(tellTimeout, func(c *controller, e *exchange) { c.takePoison(e, report) }, func(_ any, err *callError) {
			if err != nil {
				g.guard.Requeue(report)
				g.tellPoison()
			}
		})
	})
}

// takePoison takes a gateway's report at the leader. An engine's ends are told apart by its lives.
func (c *controller) takePoison(e *exchange, report *poison.Report) {
	if c.term == nil {
		e.refuse(c.notLeading())
		return
	}
	command := &poison.Command{At: c.wallMillis() * int64(time.Millisecond), Completions: report.Completions}
	for _, end := range report.Crashes {
		life := c.world.engineAt(end.Replica).life
		command.Crashes = append(command.Crashes, poison.Crash{Replica: fmt.Sprint(end.Replica, "@", life), Requests: end.Requests})
	}
	c.proposePoison(command, func(err *callError) {
		if err != nil {
			e.refuse(err)
			return
		}
		e.reply(nil)
	})
}

func (c *controller) proposePoison(command *poison.Command, done func(*callError)) {
	c.proposeZone(&zonestate.Command{Kind: zonestate.KindPoison, Poison: command}, func(_ *zonestate.Result, err *callError) { done(err) })
}

// holdPoison holds the prompts that the evidence convicts, at the leader.
func (t *term) holdPoison() {
	c := t.owner
	known := c.zoneState.Poison()
	now := c.wallMillis() * int64(time.Millisecond)
	if due := known.Due(now, poison.SettleTime(contactTime)); len(due) > 0 && !t.holding {
		t.holding = true
		c.proposePoison(&poison.Command{At: now, Hold: due}, func(*callError) { t.holding = false })
	}
}

// tellHolds tells the other zones' leaders what this zone holds, each until it has taken it.
func (t *term) tellHolds() {
	c := t.owner
	known := c.zoneState.Poison()
	for _, z := range c.world.zones {
		if z.name == c.zone || t.telling[z.name] {
			continue
		}
		untold := slices.DeleteFunc(known.HeldDigests(), func(digest poison.Digest) bool { return t.told[toldHold{z.name, digest}] })
		if len(untold) == 0 {
			continue
		}
		t.telling[z.name] = true
		caller := &leaderCaller{owner: &c.process, controllers: z.controllers}
		caller.call(tellTimeout, func(other *controller, e *exchange) { other.takeHolds(e, untold) }, func(_ any, err *callError) {
			t.telling[z.name] = false
			for _, digest := range untold {
				t.told[toldHold{z.name, digest}] = err == nil
			}
		})
	}
}

// toldHold is a held prompt that a zone was told of.
type toldHold struct {
	zone   string
	digest poison.Digest
}

// takeHolds takes what another zone holds, at the leader.
func (c *controller) takeHolds(e *exchange, held []poison.Digest) {
	if c.term == nil {
		e.refuse(c.notLeading())
		return
	}
	command := &poison.Command{At: c.wallMillis() * int64(time.Millisecond), HeldElsewhere: held}
	c.proposePoison(command, func(err *callError) {
		if err != nil {
			e.refuse(err)
			return
		}
		e.reply(nil)
	})
}

// noAnswer takes an answer that nobody waits for.
type noAnswer struct{}

func (noAnswer) tokens([]string) {}
func (noAnswer) finish()         {}
func (noAnswer) fail(*callError) {}

// sendPoison has a prompt that ends engines sent to the gateways of a zone again and again.
func (f *faultInjector) sendPoison(z *zone, content int) {
	w := f.world
	w.injector = f
	w.after(w.exponential(poisonEvery), func() {
		if w.now >= w.workloadEnd {
			return
		}
		g := pick(w, z.gateways)
		asked := modelRequest{
			requestID: fmt.Sprint("poison ", content, " at ", w.now), tenant: w.tenants[0],
			prompt: fmt.Sprint(poisonPrefix, content), maximumTokens: 4, left: requestDeadline,
		}
		if g.alive {
			g.run(g.life, func() { g.serveModel(asked, noAnswer{}) })
		}
		f.sendPoison(z, content)
	})
}

// endsEngines has a prompt in each zone end engines from the beginning of the workload on.
func endsEngines(f *faultInjector) {
	for number, z := range f.world.zones {
		f.sendPoison(z, number)
	}
}

// poisoned are the ends of engines under one prompt, and its arrivals from gateways in touch that
// came too late.
type poisoned struct {
	ends []time.Duration
	late int
}

// endUnder ends the engine if an attempt's prompt does that, and reports whether it did.
func (e *engine) endUnder(from *process, call *engineCall) bool {
	w := e.world
	prompt := call.request.Prompt
	if !strings.HasPrefix(prompt, poisonPrefix) {
		return false
	}
	for _, g := range w.gateways {
		if &g.process == from {
			w.rules.poisonArrives(g, e, prompt)
		}
	}
	w.note(e.name, "ends under attempt %s", call.request.AttemptID)
	w.poisonFault(e)
	link := w.newStream(&e.process, from)
	link.send(func() { call.end(attemptOutcome{handedOver: true, detail: "connection reset"}) })
	e.crash()
	return true
}

// poisonFault notes an engine's end under a prompt as a fault, and starts it again after a while.
func (w *world) poisonFault(e *engine) {
	w.injector.begin(e.name, "ended by a prompt", w.exponential(poisonDown), e.start)
}

// poisonArrives checks that a prompt reaches few engines once it has ended three.
func (r *rules) poisonArrives(from *gateway, at *engine, prompt string) {
	if r.poisoned == nil {
		r.poisoned = map[string]*poisoned{}
	}
	known := r.poisoned[prompt]
	if known == nil {
		known = &poisoned{}
		r.poisoned[prompt] = known
	}
	if len(known.ends) >= lateArrivals {
		from.countLate(known, at)
	}
	known.ends = append(known.ends, r.world.now)
}

// countLate counts an arrival from this gateway if it came too late for one that was in touch.
func (g *gateway) countLate(known *poisoned, at *engine) {
	w := g.world
	if w.now < known.ends[lateArrivals-1]+contactTime || g.touchSince == 0 || w.now < g.touchSince+contactTime {
		return
	}
	known.late++
	if known.late == lateArrivals+1 {
		w.rules.violate(ruleEnding, "%s sends %s a prompt that has ended %d engines, the third %v ago", g.name, at.name,
			len(known.ends), w.now-known.ends[lateArrivals-1])
	}
}
