package simulation

import (
	"strconv"
	"time"

	"github.com/pierhaven/pierhaven/bench/truth"
	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// keepSession makes the calls that the session's core asks for.
func (g *gateway) keepSession() {
	for _, call := range g.session.Tick(g.now()) {
		g.callGroup(call)
	}
	g.tickCount++
	count := g.tickCount
	sleep := min(max(maximumSleep, g.world.timing.idle), max(time.Millisecond, g.session.NextTick()-g.now()))
	g.after(sleep, func() {
		if g.tickCount == count {
			g.keepSession()
		}
	})
}

func (g *gateway) callGroup(call session.Call) {
	failed := func() {
		g.session.Failed(g.now(), call.Number)
		g.keepSession()
	}
	switch {
	case call.Open != nil:
		g.caller.call(call.Timeout, func(c *controller, e *exchange) { c.openSession(e, call.Open) },
			func(reply any, err *callError) {
				if err != nil {
					failed()
					return
				}
				opened := reply.(*wire.OpenSessionReply)
				g.feed(func() { g.session.Opened(g.now(), call.Number, opened) })
			})
	case call.Heartbeat != nil:
		g.scheduler.Report(call.Heartbeat)
		call.Heartbeat.PoisonRevision = g.guard.Revision()
		g.caller.call(call.Timeout, func(c *controller, e *exchange) { c.heartbeat(e, call.Heartbeat) },
			func(reply any, err *callError) {
				if err != nil {
					failed()
					return
				}
				answered := reply.(*wire.HeartbeatReply)
				g.guard.ApplyNews(answered.Poison)
				g.feed(func() { g.session.HeartbeatAnswered(g.now(), call.Number, answered) })
			})
	case call.Watch != nil:
		g.caller.call(call.Timeout+callSlack, func(c *controller, e *exchange) { c.watch(e, call.Watch) },
			func(reply any, err *callError) {
				if err != nil {
					failed()
					return
				}
				g.feed(func() { g.session.WatchAnswered(g.now(), call.Number, reply.(*wire.WatchReply)) })
			})
	}
}

// feed gives a reply to the session's core and installs its merged view.
func (g *gateway) feed(input func()) {
	before := g.session.ID()
	g.fleet.Exclusively(func() *session.MergedView {
		input()
		return g.session.MergedView()
	})
	if id := g.session.ID(); id != before {
		g.world.note(g.name, "session %d, view %d", id, g.session.MergedView().Revision)
	}
	g.noteConfig()
	g.keepSession()
}

// noteConfig records the configuration that is in force.
func (g *gateway) noteConfig() {
	config := g.session.MergedView().Config
	if config == nil || config.Revision == g.configInForce {
		return
	}
	g.configInForce = config.Revision
	if g.firstConfig == 0 {
		g.firstConfig = config.Revision
	}
	g.world.record(truth.ConfigInForce{
		Process: g.name, Revision: config.Revision, Digest: strconv.FormatUint(digest(config), 16),
	})
}
