package daemon

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

const (
	// linkProbeInterval is the interval at which the gateway checks whether its links have to be probed.
	linkProbeInterval = 50 * time.Millisecond
	// probeConnections is the number of unused connections to a replica above which that of a probe is not kept.
	probeConnections = 2
)

// probeLinks connects to replicas while it is in doubt whether the gateway's links to them work.
func (d *Daemon) probeLinks(ctx context.Context) {
	for lifecycle.Sleep(ctx, linkProbeInterval) {
		for _, probe := range d.directory.Probes() {
			// The directory hears of the result from the client.
			go func() { _ = d.upstreams.Connect(ctx, probe.Address, probe.Name(), probeConnections) }()
		}
	}
}
