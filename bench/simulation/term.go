package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/api/platformapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// term is one time of leading the zone group: the leader's core and what the
// daemon does around it.
type term struct {
	owner  *controller
	number uint64
	core   *reconcile.Core
	ended  bool
	// nextTick is the virtual time of the tick that is scheduled.
	nextTick  time.Duration
	tickCount int
	// offered is the newest configuration that was offered to the core.
	offered *dynamic.Snapshot
	// guessed are the orders that a planted fault sends before their commit.
	guessed map[string]bool
	// holding says that a hold is being proposed.
	holding bool
	// told are the holds that other zones were told of, and telling the zones that are being told.
	told    map[toldHold]bool
	telling map[string]bool
}

const (
	leaderTick         = 100 * time.Millisecond
	minimumTickSpacing = 5 * time.Millisecond
	retryTermInterval  = 50 * time.Millisecond
	pollTimeout        = 1500 * time.Millisecond
	orderTimeout       = 2 * time.Second
	// staleTerm is the longest time for which a term goes on after its replica
	// has lost the leadership, as goroutines of the daemon may.
	staleTerm = 100 * time.Millisecond
)

// leadershipChanged ends the present term and begins the next.
func (c *controller) leadershipChanged(number uint64) {
	if old := c.term; old != nil {
		c.after(c.world.upTo(staleTerm), func() { c.endTerm(old) })
	}
	if number != 0 {
		c.lead(number)
	}
}

func (c *controller) endTerm(old *term) {
	old.ended = true
	if c.term == old {
		c.term = nil
	}
}

// lead begins a term with a read barrier, so that the core starts from
// everything that earlier leaders have committed.
func (c *controller) lead(number uint64) {
	if c.zoneReplica.leads != number {
		return
	}
	c.zoneReplica.readBarrier(func(err *callError) {
		if err != nil {
			c.after(retryTermInterval, func() { c.lead(number) })
			return
		}
		c.beginTerm(number)
	})
}

func (c *controller) beginTerm(number uint64) {
	if c.zoneReplica.leads != number {
		return
	}
	if c.term != nil {
		c.endTerm(c.term)
	}
	t := &term{owner: c, number: number, core: reconcile.New(c.now(), c.reconcileConfig()), guessed: map[string]bool{}, told: map[toldHold]bool{}, telling: map[string]bool{}}
	c.term = t
	c.world.note(c.name, "begins term %d of %s", number, c.zone)
	t.offerOwn()
	t.pullConfiguration()
	t.readMachines()
	t.tick()
}

func (c *controller) reconcileConfig() reconcile.Config {
	timing := c.world.timing
	parameters := zonestate.DefaultParameters(c.world.zoneNames())
	parameters.Terms = timing.terms
	return reconcile.Config{
		Zone:            c.zone,
		Generation:      c.zoneReplica.node.Status().Generation,
		Parameters:      parameters,
		Engines:         c.zoneOf.engineTargets(),
		BackEnds:        c.zoneOf.backEndTargets(),
		PollInterval:    timing.pollInterval,
		LostAfter:       timing.lostAfter,
		ProposalTimeout: timing.proposalTimeout,
		MaximumAway:     1,
		SkipDrainWait:   c.world.plant == PlantDrainNotAwaited,
	}
}

// hurry lets the next tick come soon.
func (t *term) hurry() { t.scheduleTick(minimumTickSpacing) }

func (t *term) scheduleTick(delay time.Duration) {
	w := t.owner.world
	at := w.now + delay
	if t.ended || (t.nextTick > w.now && t.nextTick <= at) {
		return
	}
	t.nextTick = at
	t.tickCount++
	count := t.tickCount
	t.owner.after(delay, func() {
		if !t.ended && t.tickCount == count {
			t.tick()
		}
	})
}

// tick works out what to do and starts it.
func (t *term) tick() {
	c := t.owner
	outputs := t.core.Tick(c.now(), c.wallMillis(), c.zoneState)
	for _, proposal := range outputs.Proposals {
		t.propose(proposal)
	}
	for _, poll := range outputs.EnginePolls {
		t.pollEngine(poll)
	}
	for _, poll := range outputs.BackEndPolls {
		t.pollBackEnd(poll)
	}
	for _, order := range outputs.Orders {
		t.sendOrder(order)
	}
	t.holdPoison()
	t.tellHolds()
	t.nextTick = 0
	t.scheduleTick(c.world.timing.leaderTick)
}

func (t *term) propose(proposal reconcile.Proposal) {
	t.plantUncommittedOrder(&proposal.Command)
	t.owner.proposeZone(&proposal.Command, func(_ *zonestate.Result, _ *callError) {
		t.core.ProposalEnded(proposal.Key)
		t.hurry()
	})
}

func (t *term) pollEngine(poll reconcile.Poll) {
	c := t.owner
	sentAt := c.now()
	engine := c.world.engineAt(poll.Address)
	c.world.call(&c.process, &engine.process, pollTimeout,
		func(e *exchange) { e.reply(engine.state()) },
		func(reply any, err *callError) {
			if err != nil {
				t.core.RecordEngineNoResponse(c.now(), poll.ID)
				return
			}
			state := reply.(engineapi.State)
			t.core.RecordEngineState(sentAt, c.now(), poll.ID, &state)
		})
}

func (t *term) pollBackEnd(poll reconcile.Poll) {
	c := t.owner
	sentAt := c.now()
	backEnd := c.world.backEndAt(poll.Address)
	c.world.call(&c.process, &backEnd.process, pollTimeout,
		func(e *exchange) { e.reply(backEnd.state()) },
		func(reply any, err *callError) {
			if err != nil {
				t.core.RecordBackEndNoResponse(c.now(), poll.ID)
				return
			}
			state := reply.(applicationapi.State)
			t.core.RecordBackEndState(sentAt, c.now(), poll.ID, &state)
		})
}

// sendOrder sends an order that is committed. A controller that has lost its
// authority may send one late.
func (t *term) sendOrder(call reconcile.OrderCall) {
	c := t.owner
	c.world.note(c.name, "sends %s order %v to %v", call.Order.EngineID, call.Order.Fence, call.Order.Target)
	sentAt := c.now()
	engine := c.world.engineAt(call.Address)
	c.world.call(&c.process, &engine.process, orderTimeout,
		func(e *exchange) { engine.order(e, call.Order) },
		func(reply any, err *callError) {
			if err != nil {
				t.core.RecordEngineNoResponse(c.now(), call.Order.EngineID)
				return
			}
			answer := reply.(engineapi.OrderReply)
			t.core.RecordOrderReply(sentAt, c.now(), &call.Order, &answer)
			t.hurry()
		})
}

// readMachines reads the platform's list again and again.
func (t *term) readMachines() {
	if t.ended {
		return
	}
	c := t.owner
	platform := c.world.platform
	again := func() { c.after(c.world.timing.platformInterval, t.readMachines) }
	c.world.call(&c.process, &platform.process, pollTimeout,
		func(e *exchange) { e.reply(platform.list()) },
		func(reply any, err *callError) {
			if err == nil {
				list := reply.(platformapi.MachineList)
				t.core.RecordMachineList(&list)
			}
			again()
		})
}
