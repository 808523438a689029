package daemon

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/regionclock"
	"github.com/pierhaven/pierhaven/internal/usage"
)

// countedUsage is what this gateway counts of its tenants' requests, and the region's time by
// which it does.
type countedUsage struct {
	life   int64
	clock  *regionclock.Clock
	ledger *usage.Ledger
	// toldTo is the coordinator that knows all that was told before; another one is told all
	// anew. It belongs to the goroutine that polls.
	toldTo string
}

// begun counts a request that began to run at a moment of this process.
func (c *countedUsage) begun(tenant string, at time.Time) { c.ledger.Begun(tenant, c.clock.At(at)) }

// report is what a coordinator is to be told, nil if nothing is counted.
func (c *countedUsage) report(gateway, coordinator string) *region.GatewayUsage {
	if !c.ledger.Counts() {
		return nil
	}
	return &region.GatewayUsage{
		Gateway: gateway,
		Life:    c.life,
		ToldAt:  c.clock.Now().UnixNano(),
		Counts:  c.ledger.Report(coordinator != c.toldTo),
	}
}

// told notes a coordinator's answer to a report, which came at a moment.
func (c *countedUsage) told(coordinator string, report *region.GatewayUsage, view *region.View, came time.Time) {
	if report == nil {
		return
	}
	c.toldTo = coordinator
	c.ledger.Taken(report.Counts)
	c.ledger.Fixed(view.NextWindow)
	if view.RegionNanos > 0 {
		c.clock.Set(came, time.Unix(0, view.RegionNanos))
	}
}
