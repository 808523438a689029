package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// settleTimes are the virtual times at which parts were seen settled; 0 means
// not yet.
type settleTimes struct {
	groups, config, engines, requests time.Duration
}

func (s settleTimes) since(healed time.Duration) Settled {
	after := func(at time.Duration) time.Duration { return max(0, at-healed) }
	return Settled{Groups: after(s.groups), Config: after(s.config), Engines: after(s.engines), Requests: after(s.requests)}
}

const (
	settleStep = 500 * time.Millisecond
	// readyPatience is how much later than the end of the bootstrap a world
	// may be ready.
	readyPatience = 20 * time.Second
)

// checkReady holds a world without faults to have come up.
func (w *world) checkReady() {
	deadline := w.now + readyPatience
	for problem := w.unready(); problem != ""; problem = w.unready() {
		if w.now >= deadline || len(w.rules.violations) > 0 {
			w.rules.violate(ruleLiveness, "the deployment does not come up: %s", problem)
			return
		}
		w.runUntil(w.now + settleStep)
	}
}

func (w *world) unready() string {
	for _, g := range w.groups {
		if g.leader() == nil {
			return g.name + " has no leader"
		}
	}
	for _, each := range w.gateways {
		if each.session.ID() == 0 {
			return each.name + " has no session"
		}
		if config := each.session.MergedView().Config; config == nil || len(config.Tenants) < len(w.tenants) {
			return each.name + " has no configuration"
		}
	}
	return ""
}

// settle lets the time after the faults pass and holds the world to come to
// its end: groups led and whole, configurations in force, engines as wished,
// requests closed.
func (w *world) settle() {
	limit := w.now + w.scenario.settleTime
	for w.now < limit && len(w.rules.violations) == 0 {
		w.runUntil(w.now + settleStep)
		w.observeSettled()
		if w.allSettled() && w.now >= w.workloadEnd {
			return
		}
	}
	if len(w.rules.violations) == 0 {
		w.reportUnsettled()
	}
}

func (w *world) allSettled() bool {
	return w.settled.groups > 0 && w.settled.config > 0 && w.settled.engines > 0 && w.settled.requests > 0
}

// observeSettled notes when each part is settled, and forgets it when it is
// not any more.
func (w *world) observeSettled() {
	note := func(at *time.Duration, problem string) {
		switch {
		case problem != "":
			*at = 0
		case *at == 0:
			*at = w.now
		}
	}
	note(&w.settled.groups, w.unsettledGroup())
	note(&w.settled.config, w.unsettledConfig())
	note(&w.settled.engines, w.unsettledEngine())
	note(&w.settled.requests, w.openRequest())
}

func (w *world) reportUnsettled() {
	for _, problem := range []string{w.unsettledGroup(), w.unsettledConfig(), w.unsettledEngine(), w.openRequest()} {
		if problem != "" {
			w.rules.violate(ruleLiveness, "%s after the faults: %s", w.scenario.settleTime, problem)
		}
	}
}

func (w *world) unsettledGroup() string {
	for _, g := range w.groups {
		if g.leader() == nil {
			return g.name + " has no leader"
		}
		if !g.isWhole() {
			return g.name + " is not whole"
		}
	}
	return ""
}

// accepted is the newest revision that any operator was told of.
func (w *world) accepted() uint64 {
	var newest uint64
	for _, each := range w.operators {
		newest = max(newest, each.accepted)
	}
	return newest
}

func (w *world) unsettledConfig() string {
	accepted := w.accepted()
	for _, each := range w.gateways {
		if !each.alive {
			return each.name + " does not run"
		}
		if each.session.MergedView().ConfigRevision() < accepted {
			return each.name + " does not follow the newest configuration"
		}
	}
	return ""
}

func (w *world) unsettledEngine() string {
	for _, z := range w.zones {
		leader := z.group.leader()
		if leader == nil || leader.owner.term == nil {
			return z.name + " has no leader"
		}
		for _, each := range z.engines {
			row, found := leader.owner.zoneState.Engine(each.name)
			switch {
			case !found:
				return each.name + " is not registered"
			case row.Order != nil || row.NeedsChange() || !row.Dispatchable() && !row.Drained:
				return unsettledRow(leader.owner, row)
			case !each.alive || !each.core.Durable().Observed.Equal(*row.Verified):
				return each.name + " does not run what it was verified to run"
			}
		}
	}
	return ""
}

func unsettledRow(c *controller, row *zonestate.Engine) string {
	for _, status := range c.term.core.Status(c.now(), c.zoneState) {
		if status.Engine.ID == row.ID {
			return row.ID + " is not as wished: " + status.Reason
		}
	}
	return row.ID + " is not as wished"
}

func (w *world) openRequest() string {
	for _, each := range w.callers {
		if len(each.open) > 0 {
			return each.name + " waits for an answer to " + each.oldest()
		}
	}
	return ""
}
