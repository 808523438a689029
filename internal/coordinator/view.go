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
	c.demand.take(c.now(), request.Address, request.Demand)
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maximumViewWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		state, changed := c.machine.read()
		if state.Version > request.Version || state.ListRevision > request.ListRevision {
			return c.viewOf(state, request), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.viewOf(state, request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Coordinator) viewOf(state region.State, request *region.ViewRequest) *region.View {
	age := c.freshness.age(c.now())
	peers, hash := c.gateways.known()
	view := &region.View{
		AgeMillis:    age.Milliseconds(),
		Zone:         c.settings.Zone,
		Version:      state.Version,
		ListRevision: state.ListRevision,
		Gateways:     len(peers),
		PeersHash:    hash,
		Coordinators: c.group.MemberAddresses(),
	}
	if age < 0 {
		view.AgeMillis = -1
	}
	if hash != request.PeersHash {
		view.Peers = peers
	}
	if state.Version > request.Version {
		view.Document = state.Document
	}
	if state.ListRevision > request.ListRevision {
		shownSince(state, request.ListRevision, view)
	}
	return view
}
