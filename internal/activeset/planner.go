package activeset

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// DefaultLeast is the number of replicas of a service and region that are active whatever the load is. A
// process can ask, weigh and be connected to as many at any time: a list of them takes 30 KB.
const DefaultLeast = 256

const (
	// readingTarget is the wanted utilisation of readers and occupancyTarget the wanted share of slots in
	// use: at these a replica is found at once that has nothing to do, and three times the load is borne
	// until more replicas are active.
	readingTarget   = 0.25
	occupancyTarget = 0.25
	// demandMemory is the time constant with which a peak of the demand fades. Replicas that stand by have
	// to read prefixes anew that they kept, so that they are not sent to do so between two waves of load.
	demandMemory = 30 * time.Second
	// surplus is by how much the active replicas have to exceed those that are wanted before some are sent
	// to stand by, and restShare the share of the excess that is sent in one step.
	surplus   = 2.0
	restShare = 1.0 / 8
)

// Demand is what callers need of a group.
type Demand struct {
	// Reading is the number of replicas that the prompts to be read keep busy.
	Reading float64
	// Generating is the number of answers that are being generated.
	Generating float64
	// Running is the number of requests at replicas that are not model engines.
	Running float64
}

// Input is what Step decides on.
type Input struct {
	Replicas []Replica
	Demand   map[Group]Demand
}

// Change says which replicas take work from now on, and which stand by, by their ids.
type Change struct {
	Activate, Rest []string
}

// Empty reports whether nothing changes.
func (c *Change) Empty() bool { return len(c.Activate)+len(c.Rest) == 0 }

// Planner plans for all services. Least is DefaultLeast, or what the settings say.
type Planner struct {
	Least int

	at time.Duration
	// peaks are the demand of late, which fades; knownFrom is when it was first told.
	peaks     map[Group]Demand
	knownFrom map[Group]time.Duration
}

// Step takes the input in and returns the change to be made now. What is short is activated at once;
// replicas are sent to stand by slowly, and only after the demand has been watched for a time.
func (p *Planner) Step(now time.Duration, input Input) Change {
	p.observe(now, input.Demand)
	groups, pools := divide(input.Replicas)
	var change Change
	for _, at := range slices.SortedFunc(maps.Keys(pools), comparePools) {
		p.stepPool(now, at, groups[at.group], pools[at], &change)
	}
	return change
}

// divide sorts the replicas into pools, and counts those of each group.
func divide(replicas []Replica) (map[Group]int, map[pool]*members) {
	groups := map[Group]int{}
	pools := map[pool]*members{}
	for index := range replicas {
		replica := &replicas[index]
		groups[replica.Group]++
		at := pool{replica.Group, replica.Role}
		if pools[at] == nil {
			pools[at] = newMembers()
		}
		pools[at].add(replica)
	}
	return groups, pools
}

func comparePools(a, b pool) int {
	return cmp.Or(
		strings.Compare(a.group.Service, b.group.Service),
		strings.Compare(a.group.Region, b.group.Region),
		cmp.Compare(a.role, b.role),
	)
}

// stepPool changes one pool.
func (p *Planner) stepPool(now time.Duration, at pool, total int, found *members, change *Change) {
	wanted := p.wanted(at, total, found)
	if found.active < wanted {
		found.sort()
	}
	for found.active < wanted {
		id, more := found.take()
		if !more {
			return
		}
		change.Activate = append(change.Activate, id)
	}
	from, known := p.knownFrom[at.group]
	if !known || now-from < demandMemory || float64(found.active) <= surplus*float64(wanted) {
		return
	}
	found.sort()
	for range int(math.Ceil(restShare * float64(found.active-wanted))) {
		change.Rest = append(change.Rest, found.give())
	}
}

// wanted is the number of replicas of a pool that should be active.
func (p *Planner) wanted(at pool, total int, found *members) int {
	if total <= p.Least {
		return total
	}
	demand := p.peaks[at.group]
	slots := float64(max(found.slots, 1))
	switch at.role {
	case Reader:
		return max(p.Least/2, int(math.Ceil(demand.Reading/readingTarget)))
	case Generator:
		return max(p.Least/2, int(math.Ceil(demand.Generating/(slots*occupancyTarget))))
	default:
		return max(p.Least, int(math.Ceil(demand.Running/(slots*occupancyTarget))))
	}
}

// observe keeps the peaks of the demand, which fade.
func (p *Planner) observe(now time.Duration, demand map[Group]Demand) {
	if p.peaks == nil {
		p.peaks = map[Group]Demand{}
		p.knownFrom = map[Group]time.Duration{}
	}
	fade := math.Exp(-(now - p.at).Seconds() / demandMemory.Seconds())
	p.at = now
	for group, peak := range p.peaks {
		p.peaks[group] = Demand{Reading: peak.Reading * fade, Generating: peak.Generating * fade, Running: peak.Running * fade}
	}
	for group, told := range demand {
		peak := p.peaks[group]
		p.peaks[group] = Demand{
			Reading:    max(peak.Reading, told.Reading),
			Generating: max(peak.Generating, told.Generating),
			Running:    max(peak.Running, told.Running),
		}
		if _, known := p.knownFrom[group]; !known {
			p.knownFrom[group] = now
		}
	}
}
