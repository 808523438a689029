package coordinator

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// maximumViewWait bounds a gateway's long poll.
const maximumViewWait = time.Second

// handleView answers a gateway's poll once there is something that the gateway does
// not have, or when its wait has ended.
func (c *Coordinator) handleView(ctx context.Context, request *region.ViewRequest) (*region.View, error) {
	came := c.now()
	c.gateways.recordPoll(came, request.Address)
	c.builds.recordGateway(request.Address, region.Build{Protocol: request.Protocol, Revision: request.Revision})
	c.gatewayDemand.put(c.now(), request.Address, request.Demand)
	c.usage.ownClocks.Record(request.Address, request.WallNanos)
	c.recordUsage(request.Usage)
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maximumViewWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	limits := c.limits.changed()
	c.renewGatewayView(came, request, nil)
	for {
		state, changed := c.machine.read()
		if state.Version > request.Version || request.LacksList(state.ListRevision) || state.Poison.Revision > request.PoisonRevision ||
			request.LacksNewOrigins(&state) {
			return c.answerView(state, request, came), nil
		}
		select {
		case <-changed:
		case <-limits:
			return c.answerView(state, request, came), nil
		case <-timer.C:
			return c.answerView(state, request, came), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answerView answers a gateway's poll that came at a time, and renews the gateway's lease on what it has.
func (c *Coordinator) answerView(state region.State, request *region.ViewRequest, came time.Duration) *region.View {
	view := c.buildView(state, request)
	now := c.now()
	view.HeldMillis = (now - came).Milliseconds()
	c.renewGatewayView(now, request, &state)
	return view
}

// gatewaySettleTime is the time after its start for which a coordinator reports no number of gateways. If all
// processes have started at once, all gateways have polled by then.
const gatewaySettleTime = 500 * time.Millisecond

// reportedGatewayCount returns the number of gateways to report. Until gatewaySettleTime after the start, it
// returns 0, which stands for unknown, since some gateways may not have polled yet.
func (c *Coordinator) reportedGatewayCount(known int) int {
	if c.now() < gatewaySettleTime {
		return 0
	}
	return known
}

// addNeighbors adds the peers to which the gateway may forward calls, if it does not know them.
func addNeighbors(gateways []string, request *region.ViewRequest, view *region.View) {
	neighbors := region.Neighbors(gateways, request.Address)
	view.NeighborsHash = region.HashAddresses(neighbors)
	if view.NeighborsHash != request.NeighborsHash {
		view.Neighbors = neighbors
	}
}

func (c *Coordinator) buildView(state region.State, request *region.ViewRequest) *region.View {
	age := c.freshness.age(c.now())
	peers := c.gateways.known()
	members := c.zones.withZones(c.sortedMembers())
	view := &region.View{
		AgeMillis:    age.Milliseconds(),
		Zone:         c.settings.Zone,
		Version:      state.Version,
		ListRevision: state.ListRevision,
		Standby:      state.StandbyCount,
		Gateways:     c.reportedGatewayCount(len(peers.addresses)),
		Places:       c.placementEnabled(),
		PeersHash:    peers.hash,
		MembersHash:  members.hash,
		RegionNanos:  c.usage.clock.Now().UnixNano(),
		NextWindow:   state.NextWindow,
		Poison:       state.Poison.NewsSince(request.PoisonRevision),
	}
	view.FormerSoftware, view.SoftwareComplete = c.formerSoftware(state)
	view.NewSoftware, view.SoftwareGated = state.NewSoftware, state.SoftwareGated
	view.NewRoutes, view.RoutesKept = state.NewRoutes, state.RoutesSince != 0
	view.FormerRoutes, view.RoutesComplete = c.formerRoutes(&state)
	view.LimitNames, view.Limits = c.limits.view(request.LimitNames)
	view.ListMillis, view.PageMillis = c.listAges.at(c.now())
	if age < 0 {
		view.AgeMillis = -1
	}
	if peers.hash != request.PeersHash && !view.Places {
		view.Peers = peers.addresses
	}
	if view.Places {
		addNeighbors(peers.addresses, request, view)
	}
	if members.hash != request.MembersHash {
		view.Coordinators, view.CoordinatorZones = members.addresses, members.zones
	}
	if state.Version > request.Version {
		view.Document = state.Document
	}
	if request.LacksList(state.ListRevision) {
		addList(state, request, view)
	}
	return view
}
