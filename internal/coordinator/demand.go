package coordinator

import (
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// demandTable holds what each of several sources last told of the demand.
type demandTable struct {
	mutex   sync.Mutex
	sources map[string]toldDemand
}

type toldDemand struct {
	services []region.ServiceDemand
	at       time.Duration
}

// demandMemory is how long a source's word counts.
const demandMemory = 2 * time.Second

func newDemandTable() *demandTable { return &demandTable{sources: map[string]toldDemand{}} }

func (d *demandTable) take(now time.Duration, source string, services []region.ServiceDemand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sources[source] = toldDemand{services: services, at: now}
}

// sum adds up what fresh sources told, by service and region.
func (d *demandTable) sum(now time.Duration) []region.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var sums []region.ServiceDemand
	for source, told := range d.sources {
		if now-told.at > demandMemory {
			delete(d.sources, source)
			continue
		}
		for _, each := range told.services {
			sums = addDemand(sums, each)
		}
	}
	return sums
}

// demandFor adds up what the gateways of all regions tell of a service. What is told is extrapolated
// to the gateways that tell nothing.
func (c *Coordinator) demandFor(now time.Duration, service string) region.ServiceDemand {
	sum := c.toldDemand(now, func(told *region.ServiceDemand) bool { return told.Service == service })
	return withSilent(sum, len(c.gateways.all(now).addresses))
}

// demandIn adds up what is told of a service in a region, with that of a number of known gateways
// that tell nothing, by those that tell.
func (c *Coordinator) demandIn(now time.Duration, group stageGroup, known func(telling int) int) region.ServiceDemand {
	sum := c.toldDemand(now, func(told *region.ServiceDemand) bool {
		return told.Service == group.service && told.Region == group.region
	})
	return withSilent(sum, known(sum.Gateways))
}

// toldDemand adds up what is told, as far as it is wanted.
func (c *Coordinator) toldDemand(now time.Duration, wanted func(*region.ServiceDemand) bool) region.ServiceDemand {
	var sum region.ServiceDemand
	for _, each := range append(c.demand.sum(now), c.reported.sum(now)...) {
		if wanted(&each) {
			addTo(&sum, each)
		}
	}
	return sum
}

// withSilent extrapolates what is told to a number of known gateways.
func withSilent(sum region.ServiceDemand, known int) region.ServiceDemand {
	silent := silentFactor(sum.Gateways, known)
	sum.Generating *= silent
	sum.Expected *= silent
	sum.Reading *= silent
	sum.Kept *= silent
	sum.Prompts *= silent
	sum.Slack *= silent
	sum.Squares *= silent
	sum.Delayed *= silent
	return sum
}

// maximumSilent bounds what is concluded from gateways that tell nothing.
const maximumSilent = 3

// silentFactor is the factor by which demand is greater than what is told, if the
// known gateways that tell nothing have as much as the others: they may serve their
// callers though no coordinator hears of them.
func silentFactor(telling, known int) float64 {
	if telling == 0 || known <= telling {
		return 1
	}
	return min(float64(known)/float64(telling), maximumSilent)
}

// recentMost is the greatest of late of a number: over gatewayMemory at least, and twice that at
// most.
type recentMost struct {
	most, before int
	begun        time.Duration
}

// note takes a number in, and returns the greatest of late.
func (r *recentMost) note(now time.Duration, number int) int {
	if now-r.begun >= gatewayMemory {
		r.before, r.most, r.begun = r.most, 0, now
	}
	r.most = max(r.most, number)
	return max(r.most, r.before)
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
