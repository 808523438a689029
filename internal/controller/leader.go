package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	tickInterval = 100 * time.Millisecond
	// minimumTickSpacing is the minimum time between two ticks, since heartbeats,
	// responses and changes of the zone's state trigger ticks too.
	minimumTickSpacing = 5 * time.Millisecond
	planInterval       = time.Second
	retryTermInterval  = 50 * time.Millisecond
)

// followLeadership runs a term while this controller leads the zone group. Each
// leadership change ends the running term.
func (c *Controller) followLeadership(ctx context.Context) {
	var running sync.WaitGroup
	end := func() {}
	stop := func() {
		end()
		running.Wait()
	}
	defer func() { stop() }()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-c.zone.Runner.LeadershipChanges():
			stop()
			c.logger.Info("zone group leadership changed", "leads", change.IsSelf, "leader", change.Address, "term", change.Term)
			if !change.IsSelf {
				continue
			}
			termContext, cancel := context.WithCancel(ctx)
			end = cancel
			running.Go(c.guard(func() { c.runTerm(termContext, change) }))
		}
	}
}

// runTerm runs one term until its context ends. It begins with a read barrier, so
// that the core starts from everything that earlier leaders have committed.
func (c *Controller) runTerm(ctx context.Context, change replica.LeadershipChange) {
	for c.zone.ReadBarrier(ctx) != nil {
		if !lifecycle.Sleep(ctx, retryTermInterval) {
			return
		}
	}
	generation, known := c.awaitGeneration(ctx)
	if !known {
		return
	}
	t := newTerm(change.Term, c.now(), c.zoneMachine, c.reconcileConfig(generation))
	c.term.Store(t)
	defer c.term.CompareAndSwap(t, nil)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(c.guard(func() { c.adoptConfiguration(ctx, t) }))
	running.Go(c.guard(func() { c.watchMachines(ctx, t) }))
	running.Go(c.guard(func() { c.plan(ctx, t) }))
	running.Go(c.guard(func() { c.manageHolds(ctx) }))
	for _, zone := range c.settings.Zones {
		if zone != c.settings.Zone {
			running.Go(c.guard(func() { c.sendHolds(ctx, zone) }))
		}
	}
	c.tickUntilDone(ctx, t)
}

func (c *Controller) reconcileConfig(generation uint64) reconcile.Config {
	parameters := zonestate.DefaultParameters(c.settings.Zones)
	parameters.Terms = membership.Terms{
		HeartbeatMillis: c.settings.SessionHeartbeat.Milliseconds(),
		LeaseMillis:     c.settings.SessionLease.Milliseconds(),
		IsolationMillis: c.settings.IsolationLimit.Milliseconds(),
	}
	parameters.OnceOnly.RetentionMillis = c.settings.OnceOnlyRetention.Milliseconds()
	parameters.OnceOnly.Entries = c.settings.OnceOnlyMaxRecords
	return reconcile.Config{
		Zone:            c.settings.Zone,
		Generation:      generation,
		Parameters:      parameters,
		Engines:         targets(c.settings.Engines),
		BackEnds:        targets(c.settings.BackEnds),
		PollInterval:    c.settings.EnginePollInterval,
		ProposalTimeout: c.settings.ProposalTimeout,
	}
}

func targets(addresses []BackEndAddress) []reconcile.Target {
	var list []reconcile.Target
	for _, address := range addresses {
		list = append(list, reconcile.Target{ID: address.ID, Address: address.Address})
	}
	return list
}

func (c *Controller) tickUntilDone(ctx context.Context, t *term) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := c.zoneMachine.changed.wait()
		c.dispatchOutputs(ctx, t, t.tick(c.now(), time.Now().UnixMilli()))
		if !lifecycle.Sleep(ctx, minimumTickSpacing) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		case <-t.wake:
		}
	}
}

// dispatchOutputs submits the work that a tick requested to the worker pool. Work
// that finds no free worker counts as failed and is requested again.
func (c *Controller) dispatchOutputs(ctx context.Context, t *term, outputs reconcile.Outputs) {
	for _, proposal := range outputs.Proposals {
		if c.workers.Submit(func() { c.runProposal(ctx, t, proposal) }) != nil {
			t.proposalEnded(proposal.Key)
		}
	}
	for _, poll := range outputs.EnginePolls {
		if c.workers.Submit(func() { c.pollEngine(ctx, t, poll) }) != nil {
			t.enginePolled(c.now(), c.now(), poll, nil)
		}
	}
	for _, poll := range outputs.BackEndPolls {
		if c.workers.Submit(func() { c.pollBackEnd(ctx, t, poll) }) != nil {
			t.backEndPolled(c.now(), c.now(), poll.ID, nil)
		}
	}
	for _, call := range outputs.Orders {
		if c.workers.Submit(func() { c.sendOrder(ctx, t, call) }) != nil {
			t.orderSent(c.now(), c.now(), &call.Order, nil)
		}
	}
}

func (c *Controller) runProposal(ctx context.Context, t *term, proposal reconcile.Proposal) {
	defer t.proposalEnded(proposal.Key)
	result, err := c.proposeZone(ctx, &proposal.Command)
	if err != nil {
		c.logger.V(1).Info("proposal failed", "kind", proposal.Command.Kind, "error", err.Error())
		return
	}
	if result.Outcome != zonestate.OutcomeDone {
		c.logger.V(1).Info("proposal rejected", "kind", proposal.Command.Kind, "outcome", result.Outcome, "detail", result.Detail)
	}
}
