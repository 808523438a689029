package daemon

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
)

// deciders are those who choose replicas: the gateways, which tell each other of their work,
// or a coordinator that is asked. It is guarded by the viewKeeper's mutex.
type deciders struct {
	peers *peers.Peers
	asker *placement.Client
	// asks says that the coordinators choose; saidAt is when one of them last said so.
	asks   bool
	saidAt time.Duration
}

// placesMemory is for how long a coordinator's word counts that coordinators choose: one
// that has restarted does not know yet how many gateways there are.
const placesMemory = 3 * time.Second

// take takes over what a coordinator's view says.
func (d *deciders) take(now time.Duration, coordinator string, view *region.View) {
	if view.Places {
		d.asks, d.saidAt = true, now
	} else if now-d.saidAt > placesMemory {
		d.asks = false
	}
	if d.asks {
		d.peers.Forget()
		d.asker.SetCoordinator(coordinator)
		return
	}
	d.asker.SetCoordinator("")
	if view.PeersHash != d.peers.Known() {
		d.peers.Take(view.PeersHash, view.Peers)
	}
}
