package manygateways

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

const (
	// gatewayReportInterval and coordinatorReportInterval are the intervals at which a process reports its work to its
	// peers.
	gatewayReportInterval     = 50 * time.Millisecond
	coordinatorReportInterval = 10 * time.Millisecond
	// promptPeers is the number of gateways to which a gateway reports the prompts that it has placed.
	promptPeers = 96
	// leaseEventDelay is the time until a coordinator receives an event of a lease.
	leaseEventDelay = 4 * time.Millisecond
)

// coordinator models a coordinator that places requests for gateways.
type coordinator struct {
	placing
	world    *world
	server   *placement.Server
	sequence uint64
	leases   uint64
	silent   bool
}

func newCoordinator(w *world, number int) *coordinator {
	c := &coordinator{world: w, placing: w.newPlacing(fmt.Sprint("coordinator-", number))}
	c.server = placement.NewServer(c.directory, func() time.Duration { return w.now }, 1, logr.Discard())
	if number == 0 && w.options.Silence > 0 {
		w.queue.Add(w.options.Silence, func() { c.silent = true })
		w.queue.Add(w.options.Silence+silenceTime, func() { c.silent = false })
	}
	return c
}

var errSilent = errors.New("the coordinator is silent")

// remoteFor returns the functions with which a gateway queries the coordinator. Lease IDs and sequence numbers are
// assigned by the coordinator, so that gateways need none of their own.
func (c *coordinator) remoteFor(asking *gateway) *relay.RemotePlacement {
	send := func(message *region.PlacementMessage) *region.PlacementReply {
		if c.silent {
			return nil
		}
		c.sequence++
		message.Gateway, message.Life, message.Sequence = asking.name, 1, c.sequence
		return c.server.HandleMessage(message)
	}
	return &relay.RemotePlacement{
		Query: func(_ context.Context, query *region.PlacementQuery, _ time.Duration) (*region.PlacementAnswer, string, error) {
			if query.Kind != region.QueryIdle {
				c.leases++
				query.Lease = c.leases
			}
			reply := send(&region.PlacementMessage{Question: query})
			if reply == nil {
				return nil, "", errSilent
			}
			return reply.Answer, c.name, nil
		},
		Report: func(event region.LeaseEvent) {
			c.world.queue.Add(c.world.now+leaseEventDelay, func() {
				send(&region.PlacementMessage{Events: []region.LeaseEvent{event}})
			})
		},
	}
}

// placing is what a process that places requests knows.
type placing struct {
	name      string
	directory *relay.Directory
	// lastReported is the sequence number of the last placement that was reported to peers.
	lastReported uint64
}

func (w *world) newPlacing(name string) placing {
	return placing{name: name, directory: w.newDirectory()}
}

// report returns the process's work, its placements since the last report, and the costs that it has learned.
func (p *placing) report() ([]region.OutstandingWork, []region.PlacedPrompt, []region.EngineCost) {
	work, placed := p.directory.Outstanding(), p.directory.Placed(p.lastReported)
	if len(placed) > 0 {
		p.lastReported = placed[len(placed)-1].Sequence
	}
	return work, placed, p.directory.Costs()
}

// exchangeReports makes the processes that place requests report their work to each other.
func (w *world) exchangeReports() {
	if w.now >= runTime {
		return
	}
	if len(w.coordinators) > 0 {
		w.queue.Add(w.now+coordinatorReportInterval, w.exchangeReports)
		w.reportAmongCoordinators()
		return
	}
	w.queue.Add(w.now+gatewayReportInterval, w.exchangeReports)
	w.reportAmongGateways()
}

func (w *world) reportAmongCoordinators() {
	for _, from := range w.coordinators {
		from.server.Expire()
		work, placed, costs := from.report()
		for _, to := range w.coordinators {
			if to == from {
				continue
			}
			to.directory.TakeOutstanding(from.name, work, true)
			to.directory.TakePlaced(placed)
			to.directory.MergeCosts(costs)
		}
	}
}

// reportAmongGateways makes each gateway report to those that follow it, as package peers does.
func (w *world) reportAmongGateways() {
	count := len(w.gateways)
	for index, from := range w.gateways {
		work, placed, costs := from.report()
		for offset := 1; offset < min(count, promptPeers+1); offset++ {
			to := w.gateways[(index+offset)%count]
			to.directory.TakePlaced(placed)
			if offset <= peers.MaximumWorkPeers {
				to.directory.TakeOutstanding(from.name, work, true)
				to.directory.MergeCosts(costs)
			}
		}
	}
}
