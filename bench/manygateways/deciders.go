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
	// tellGateways and tellCoordinators are the times between two messages of a process to
	// its peers.
	tellGateways     = 50 * time.Millisecond
	tellCoordinators = 10 * time.Millisecond
	// promptPeers are the gateways that a gateway tells of the prompts that it has placed.
	promptPeers = 96
	// tellDelay is after how long a coordinator hears of what happens to a lease.
	tellDelay = 4 * time.Millisecond
)

// decider is a coordinator.
type decider struct {
	world     *world
	name      string
	directory *relay.Directory
	server    *placement.Server
	sequence  uint64
	leases    uint64
	silent    bool
	told      uint64
}

func newDecider(w *world, number int) *decider {
	d := &decider{world: w, name: fmt.Sprint("coordinator-", number), directory: w.newDirectory()}
	d.server = placement.NewServer(d.directory, func() time.Duration { return w.now }, 1, logr.Discard())
	if number == 0 && w.options.Silence > 0 {
		w.queue.Add(w.options.Silence, func() { d.silent = true })
		w.queue.Add(w.options.Silence+silenceTime, func() { d.silent = false })
	}
	return d
}

var errSilent = errors.New("the coordinator is silent")

// remoteFor is how a gateway asks the coordinator. The names of leases are the coordinator's
// own, so that gateways need no sequence of messages each.
func (d *decider) remoteFor(asking *gateway) *relay.RemotePlacement {
	send := func(message *region.PlacementMessage) *region.PlacementReply {
		if d.silent {
			return nil
		}
		d.sequence++
		message.Gateway, message.Life, message.Sequence = asking.name, 1, d.sequence
		return d.server.HandleMessage(message)
	}
	return &relay.RemotePlacement{
		Query: func(_ context.Context, query *region.PlacementQuery, _ time.Duration) (*region.PlacementAnswer, string, error) {
			if query.Kind != region.QueryIdle {
				d.leases++
				query.Lease = d.leases
			}
			reply := send(&region.PlacementMessage{Question: query})
			if reply == nil {
				return nil, "", errSilent
			}
			return reply.Answer, d.name, nil
		},
		Report: func(event region.LeaseEvent) {
			d.world.queue.Add(d.world.now+tellDelay, func() {
				send(&region.PlacementMessage{Events: []region.LeaseEvent{event}})
			})
		},
	}
}

// tellPeers has the processes that choose tell each other of their work.
func (w *world) tellPeers() {
	if w.now >= runTime {
		return
	}
	if len(w.deciders) > 0 {
		w.queue.Add(w.now+tellCoordinators, w.tellPeers)
		w.tellAmongDeciders()
		return
	}
	w.queue.Add(w.now+tellGateways, w.tellPeers)
	w.tellAmongGateways()
}

func (w *world) tellAmongDeciders() {
	for _, from := range w.deciders {
		from.server.Expire()
		work, placed, costs := from.directory.Outstanding(), from.directory.Placed(from.told), from.directory.Costs()
		if len(placed) > 0 {
			from.told = placed[len(placed)-1].Sequence
		}
		for _, to := range w.deciders {
			if to == from {
				continue
			}
			to.directory.TakeOutstanding(from.name, work, true)
			to.directory.TakePlaced(placed)
			to.directory.MergeCosts(costs)
		}
	}
}

// tellAmongGateways has each gateway tell those that follow it, as package peers does.
func (w *world) tellAmongGateways() {
	count := len(w.gateways)
	for index, from := range w.gateways {
		work, placed, costs := from.directory.Outstanding(), from.directory.Placed(from.told), from.directory.Costs()
		if len(placed) > 0 {
			from.told = placed[len(placed)-1].Sequence
		}
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
