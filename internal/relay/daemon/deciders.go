package daemon

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
)

// placementMode tracks who chooses replicas: the gateways, which report their load to each other,
// or a coordinator that they query. update must be called with viewClient.mutex held.
type placementMode struct {
	peers  *peers.Peers
	client *placement.Client
	// forwards forwards calls to other gateways.
	forwards *forwardClient
	// remote is set while coordinators choose; remoteAt is when a coordinator last said so.
	remote   bool
	remoteAt time.Duration
}

// remotePlacementHoldTime is how long gateways keep querying coordinators after one last said that
// coordinators choose replicas. A coordinator that has restarted does not know the number of
// gateways yet, and its view says that gateways choose.
const remotePlacementHoldTime = 3 * time.Second

// update applies a coordinator's view.
func (m *placementMode) update(now time.Duration, coordinator string, view *region.View) {
	if view.Places {
		m.remote, m.remoteAt = true, now
	} else if now-m.remoteAt > remotePlacementHoldTime {
		m.remote = false
	}
	if m.remote {
		m.peers.ClearAddresses()
		m.client.SetCoordinator(coordinator)
		if view.NeighborsHash != 0 && view.NeighborsHash != m.forwards.neighborsHash() {
			m.forwards.setNeighbors(view.NeighborsHash, view.Neighbors)
		}
		return
	}
	m.client.SetCoordinator("")
	if view.PeersHash != m.peers.AddressesHash() {
		m.peers.SetAddresses(view.PeersHash, view.Peers)
		m.forwards.setGateways(view.Peers)
	}
}
