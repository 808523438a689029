package coordinator

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// maximumViewWait bounds a gateway's long poll.
const maximumViewWait = time.Second

// handleView answers a gateway once there is something that it does not have,
// or when its wait has ended.
func (c *Coordinator) handleView(ctx context.Context, request *region.ViewRequest) (*region.View, error) {
	c.gateways.polled(c.now(), request.Address)
	c.builds.polled(request.Address, region.Build{Protocol: request.Protocol, Revision: request.Revision})
	c.demand.take(c.now(), request.Address, request.Demand)
	c.usage.own.Take(request.Address, request.WallNanos)
	c.takeUsage(request.Usage)
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maximumViewWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	limits := c.limits.changed()
	for {
		state, changed := c.machine.read()
		if state.Version > request.Version || state.ListRevision > request.ListRevision || state.Poison.Revision > request.PoisonRevision {
			return c.viewOf(state, request), nil
		}
		select {
		case <-changed:
		case <-limits:
			return c.viewOf(state, request), nil
		case <-timer.C:
			return c.viewOf(state, request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// settleTime is how long after its start a coordinator says nothing of the number of gateways:
// when everything has started at once, all have polled by then.
const settleTime = 500 * time.Millisecond

// countedGateways is the number of gateways to tell, 0 while too few may have polled.
func (c *Coordinator) countedGateways(known int) int {
	if c.now() < settleTime {
		return 0
	}
	return known
}

func (c *Coordinator) viewOf(state region.State, request *region.ViewRequest) *region.View {
	age := c.freshness.age(c.now())
	peers := c.gateways.known()
	members := c.zones.of(c.sortedMembers())
	view := &region.View{
		AgeMillis:    age.Milliseconds(),
		Zone:         c.settings.Zone,
		Version:      state.Version,
		ListRevision: state.ListRevision,
		Standby:      state.StandbyCount,
		Gateways:     c.countedGateways(len(peers.addresses)),
		Places:       c.places(),
		PeersHash:    peers.hash,
		MembersHash:  members.hash,
		RegionNanos:  c.usage.clock.Now().UnixNano(),
		NextWindow:   state.NextWindow,
		Poison:       state.Poison.NewsSince(request.PoisonRevision),
	}
	view.LimitNames, view.Limits = c.limits.view(request.LimitNames)
	if age < 0 {
		view.AgeMillis = -1
	}
	if peers.hash != request.PeersHash && !view.Places {
		view.Peers = peers.addresses
	}
	if members.hash != request.MembersHash {
		view.Coordinators, view.CoordinatorZones = members.addresses, members.zones
	}
	if state.Version > request.Version {
		view.Document = state.Document
	}
	if state.ListRevision > request.ListRevision {
		shownSince(state, request.ListRevision, view)
	}
	return view
}
