package coordinator

import (
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// demandTable holds the latest demand report of each source, a gateway or another coordinator.
type demandTable struct {
	mutex   sync.Mutex
	reports map[string]demandReport
}

type demandReport struct {
	services []region.ServiceDemand
	at       time.Duration
}

// demandReportLifetime is how long a source's report counts.
const demandReportLifetime = 2 * time.Second

func newDemandTable() *demandTable { return &demandTable{reports: map[string]demandReport{}} }

func (d *demandTable) put(now time.Duration, source string, services []region.ServiceDemand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reports[source] = demandReport{services: services, at: now}
}

// sum adds up the demand of the reports that still count, by service and region. It deletes the others.
func (d *demandTable) sum(now time.Duration) []region.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var sums []region.ServiceDemand
	for source, report := range d.reports {
		if now-report.at > demandReportLifetime {
			delete(d.reports, source)
			continue
		}
		for _, each := range report.services {
			sums = addDemand(sums, each)
		}
	}
	return sums
}

// demandFor returns the demand for a service in all regions, extrapolated to the known gateways that
// report nothing.
func (c *Coordinator) demandFor(now time.Duration, service string) region.ServiceDemand {
	sum := c.reportedDemand(now, func(demand *region.ServiceDemand) bool { return demand.Service == service })
	return extrapolate(sum, len(c.gateways.all(now).addresses))
}

// demandIn returns the demand for a service in a region. knownGateways is given the number of gateways that report
// and returns the number to which the sum is extrapolated.
func (c *Coordinator) demandIn(now time.Duration, group stageGroup, knownGateways func(reporting int) int) region.ServiceDemand {
	sum := c.reportedDemand(now, func(demand *region.ServiceDemand) bool {
		return demand.Service == group.service && demand.Region == group.region
	})
	return extrapolate(sum, knownGateways(sum.Gateways))
}

// reportedDemand adds up the reported demand for which wanted returns true.
func (c *Coordinator) reportedDemand(now time.Duration, wanted func(*region.ServiceDemand) bool) region.ServiceDemand {
	var sum region.ServiceDemand
	for _, each := range append(c.gatewayDemand.sum(now), c.coordinatorDemand.sum(now)...) {
		if wanted(&each) {
			addTo(&sum, each)
		}
	}
	return sum
}

// extrapolate scales the reported demand to a number of known gateways.
func extrapolate(sum region.ServiceDemand, known int) region.ServiceDemand {
	factor := extrapolationFactor(sum.Gateways, known)
	sum.Generating *= factor
	sum.Expected *= factor
	sum.Reading *= factor
	sum.Kept *= factor
	sum.Prompts *= factor
	sum.Slack *= factor
	sum.Squares *= factor
	sum.Delayed *= factor
	return sum
}

// maximumExtrapolation bounds the factor that accounts for gateways that report nothing.
const maximumExtrapolation = 3

// extrapolationFactor returns the factor between all demand and the reported demand, assuming
// that the known gateways that report nothing have as much as the others: they may serve
// their callers without reaching a coordinator.
func extrapolationFactor(reporting, known int) float64 {
	if reporting == 0 || known <= reporting {
		return 1
	}
	return min(float64(known)/float64(reporting), maximumExtrapolation)
}

// recentMaximum tracks the maximum of a number over a period that varies between gatewayRetention and twice
// gatewayRetention.
type recentMaximum struct {
	current, previous int
	startedAt         time.Duration
}

// update adds a number and returns the recent maximum.
func (r *recentMaximum) update(now time.Duration, number int) int {
	if now-r.startedAt >= gatewayRetention {
		r.previous, r.current, r.startedAt = r.current, 0, now
	}
	r.current = max(r.current, number)
	return max(r.current, r.previous)
}

func addDemand(sums []region.ServiceDemand, added region.ServiceDemand) []region.ServiceDemand {
	for index := range sums {
		if sums[index].Service == added.Service && sums[index].Region == added.Region {
			addTo(&sums[index], added)
			return sums
		}
	}
	added.Unreachable, added.Refusing = slices.Clone(added.Unreachable), slices.Clone(added.Refusing)
	return append(sums, added)
}

func addTo(sum *region.ServiceDemand, added region.ServiceDemand) {
	sum.Generating += added.Generating
	sum.Expected += added.Expected
	sum.Reading += added.Reading
	sum.Kept += added.Kept
	sum.Prompts += added.Prompts
	sum.Slack += added.Slack
	sum.Squares += added.Squares
	sum.Delayed += added.Delayed
	sum.Gateways += added.Gateways
	sum.Running += added.Running
	sum.Unreachable = append(sum.Unreachable, added.Unreachable...)
	sum.Refusing = append(sum.Refusing, added.Refusing...)
}
