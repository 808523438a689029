package daemon

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
)

// placementMode tracks who chooses replicas: the gateways, which report their load to each other,
// or a coordinator that they ask. It is guarded by viewClient.mutex.
type placementMode struct {
	peers  *peers.Peers
	client *placement.Client
	// remote reports whether coordinators choose; remoteAt is when a coordinator last said so.
	remote   bool
	remoteAt time.Duration
}

// placesHoldTime is how long a coordinator's statement that coordinators choose replicas remains
// valid. A coordinator that has restarted does not know the number of gateways yet.
const placesHoldTime = 3 * time.Second

// update applies a coordinator's view.
func (m *placementMode) update(now time.Duration, coordinator string, view *region.View) {
	if view.Places {
		m.remote, m.remoteAt = true, now
	} else if now-m.remoteAt > placesHoldTime {
		m.remote = false
	}
	if m.remote {
		m.peers.Forget()
		m.client.SetCoordinator(coordinator)
		return
	}
	m.client.SetCoordinator("")
	if view.PeersHash != m.peers.Known() {
		m.peers.Take(view.PeersHash, view.Peers)
	}
}
