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

// sum adds up what fresh sources told, by service.
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

// demandFor adds up what the region's gateways tell of a service. What is told is extrapolated to
// the gateways that tell nothing.
func (c *Coordinator) demandFor(now time.Duration, service string) region.ServiceDemand {
	sum := region.ServiceDemand{Service: service}
	for _, each := range append(c.demand.sum(now), c.reported.sum(now)...) {
		if each.Service == service {
			sum = addDemand([]region.ServiceDemand{sum}, each)[0]
		}
	}
	silent := silentShare(sum.Gateways, len(c.gateways.all(now)))
	sum.Generating *= silent
	sum.Expected *= silent
	sum.Reading *= silent
	return sum
}

// maximumSilent bounds what is concluded from gateways that tell nothing.
const maximumSilent = 3

// silentShare is the factor by which demand is greater than what is told, if the
// known gateways that tell nothing have as much as the others: they may serve their
// callers though no coordinator hears of them.
func silentShare(telling, known int) float64 {
	if telling == 0 || known <= telling {
		return 1
	}
	return min(float64(known)/float64(telling), maximumSilent)
}

func addDemand(sums []region.ServiceDemand, added region.ServiceDemand) []region.ServiceDemand {
	for index := range sums {
		if sums[index].Service == added.Service {
			sums[index].Generating += added.Generating
			sums[index].Expected += added.Expected
			sums[index].Reading += added.Reading
			sums[index].Gateways += added.Gateways
			sums[index].Unreachable = append(sums[index].Unreachable, added.Unreachable...)
			return sums
		}
	}
	added.Unreachable = slices.Clone(added.Unreachable)
	return append(sums, added)
}
