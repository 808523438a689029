package daemon

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/regionclock"
	"github.com/pierhaven/pierhaven/internal/usage"
)

// usageReporter counts tenants' requests at this gateway by the region's clock, and reports the
// counts to coordinators.
type usageReporter struct {
	incarnation int64
	clock       *regionclock.Clock
	ledger      *usage.Ledger
	// reportedTo is the coordinator that has received all earlier reports; any other one is sent
	// all counts. It is accessed only by the polling goroutine.
	reportedTo string
}

// recordStart counts a request that began to run at a time of this process's clock.
func (c *usageReporter) recordStart(tenant string, at time.Time) {
	c.ledger.CountRequest(tenant, c.clock.At(at))
}

// report returns the counts to send to a coordinator, nil if counting is disabled.
func (c *usageReporter) report(gateway, coordinator string) *region.GatewayUsage {
	if !c.ledger.Enabled() {
		return nil
	}
	return &region.GatewayUsage{
		Gateway: gateway,
		Life:    c.incarnation,
		ToldAt:  c.clock.Now().UnixNano(),
		Counts:  c.ledger.Report(coordinator != c.reportedTo),
	}
}

// acknowledge applies a coordinator's answer to a report; receivedAt is when the answer arrived.
func (c *usageReporter) acknowledge(coordinator string, report *region.GatewayUsage, view *region.View, receivedAt time.Time) {
	if report == nil {
		return
	}
	c.reportedTo = coordinator
	c.ledger.Acknowledge(report.Counts)
	c.ledger.FinalizeBefore(view.NextWindow)
	if view.RegionNanos > 0 {
		c.clock.Set(receivedAt, time.Unix(0, view.RegionNanos))
	}
}
