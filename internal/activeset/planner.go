package activeset

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// DefaultMinimumActive is the minimum number of active replicas of a service and region, whatever the load is. A
// process can query, score and be connected to that many at any time: a list of them takes 30 KB.
const DefaultMinimumActive = 256

const (
	// prefillUtilisationTarget is the target utilisation of prefill replicas, and slotOccupancyTarget the
	// target share of slots in use at the others. At these an idle replica is found at once, and three times
	// the load can be handled until more replicas are active.
	prefillUtilisationTarget = 0.25
	slotOccupancyTarget      = 0.25
	// demandDecay is the time constant with which a peak of the demand decays. Replicas on standby would
	// have to prefill their cached prefixes again, so none should be sent to standby between two waves of
	// load.
	demandDecay = 30 * time.Second
	// deactivationRatio is the ratio of active to wanted replicas above which some are sent to standby, and
	// deactivationShare the share of the excess that is sent in one step.
	deactivationRatio = 2.0
	deactivationShare = 1.0 / 8
)

// Demand is the load that callers put on a group.
type Demand struct {
	// BusyPrefillReplicas is the number of replicas that are kept busy by prompts to prefill.
	BusyPrefillReplicas float64
	// DecodingAnswers is the number of answers being decoded.
	DecodingAnswers float64
	// NonModelRequests is the number of requests at replicas that are not model engines.
	NonModelRequests float64
}

// Input is the state that Step decides on.
type Input struct {
	Replicas []Replica
	Demand   map[Group]Demand
}

// Change lists the ids of the replicas to activate and of those to send to standby.
type Change struct {
	Activate, Deactivate []string
}

// Empty reports whether the change contains no replicas.
func (c *Change) Empty() bool { return len(c.Activate)+len(c.Deactivate) == 0 }

// Planner plans the active replicas of all services. MinimumActive is the minimum number of active replicas of a
// service and region, DefaultMinimumActive or the configured value. Prefill and Decode replicas make up half of it
// each.
type Planner struct {
	MinimumActive int

	lastStep time.Duration
	// peaks are the decaying peaks of each group's demand; firstReportedAt is when its demand was first
	// reported.
	peaks           map[Group]Demand
	firstReportedAt map[Group]time.Duration
}

// Step returns the change to be made now. Missing replicas are activated at once; excess replicas are sent
// to standby gradually, and only once the demand has been observed for demandDecay.
func (p *Planner) Step(now time.Duration, input Input) Change {
	p.observe(now, input.Demand)
	groups, pools := groupByPool(input.Replicas)
	var change Change
	for _, key := range slices.SortedFunc(maps.Keys(pools), comparePools) {
		p.stepPool(now, key, groups[key.group], pools[key], &change)
	}
	return change
}

// groupByPool groups the replicas by pool, and counts those of each group.
func groupByPool(replicas []Replica) (map[Group]int, map[poolKey]*poolMembers) {
	groups := map[Group]int{}
	pools := map[poolKey]*poolMembers{}
	for index := range replicas {
		replica := &replicas[index]
		groups[replica.Group]++
		key := poolKey{replica.Group, replica.Role}
		if pools[key] == nil {
			pools[key] = newPoolMembers()
		}
		pools[key].add(replica)
	}
	return groups, pools
}

func comparePools(a, b poolKey) int {
	return cmp.Or(
		strings.Compare(a.group.Service, b.group.Service),
		strings.Compare(a.group.Region, b.group.Region),
		cmp.Compare(a.role, b.role),
	)
}

// stepPool adds the changes of one pool to change.
func (p *Planner) stepPool(now time.Duration, key poolKey, groupSize int, members *poolMembers, change *Change) {
	wanted := p.wanted(key, groupSize, members)
	if members.activeCount < wanted {
		members.sort()
	}
	for members.activeCount < wanted {
		id, more := members.activateNext()
		if !more {
			return
		}
		change.Activate = append(change.Activate, id)
	}
	change.Activate = append(change.Activate, members.activateScarce(change.Activate)...)
	from, known := p.firstReportedAt[key.group]
	if !known || now-from < demandDecay || float64(members.activeCount) <= deactivationRatio*float64(wanted) {
		return
	}
	members.sort()
	for range int(math.Ceil(deactivationShare * float64(members.activeCount-wanted))) {
		if id, spared := members.deactivateLast(); !spared {
			change.Deactivate = append(change.Deactivate, id)
		}
	}
}

// wanted returns the number of replicas of a pool that should be active. In a group of no more than MinimumActive
// replicas it returns the size of the group, so that all are activated.
func (p *Planner) wanted(key poolKey, groupSize int, members *poolMembers) int {
	if groupSize <= p.MinimumActive {
		return groupSize
	}
	demand := p.peaks[key.group]
	slots := float64(max(members.maximumSlots, 1))
	switch key.role {
	case Prefill:
		return max(p.MinimumActive/2, int(math.Ceil(demand.BusyPrefillReplicas/prefillUtilisationTarget)))
	case Decode:
		return max(p.MinimumActive/2, int(math.Ceil(demand.DecodingAnswers/(slots*slotOccupancyTarget))))
	default:
		return max(p.MinimumActive, int(math.Ceil(demand.NonModelRequests/(slots*slotOccupancyTarget))))
	}
}

// observe updates the decaying peaks of the demand.
func (p *Planner) observe(now time.Duration, demand map[Group]Demand) {
	if p.peaks == nil {
		p.peaks = map[Group]Demand{}
		p.firstReportedAt = map[Group]time.Duration{}
	}
	decay := math.Exp(-(now - p.lastStep).Seconds() / demandDecay.Seconds())
	p.lastStep = now
	for group, peak := range p.peaks {
		p.peaks[group] = Demand{
			BusyPrefillReplicas: peak.BusyPrefillReplicas * decay,
			DecodingAnswers:     peak.DecodingAnswers * decay,
			NonModelRequests:    peak.NonModelRequests * decay,
		}
	}
	for group, reported := range demand {
		peak := p.peaks[group]
		p.peaks[group] = Demand{
			BusyPrefillReplicas: max(peak.BusyPrefillReplicas, reported.BusyPrefillReplicas),
			DecodingAnswers:     max(peak.DecodingAnswers, reported.DecodingAnswers),
			NonModelRequests:    max(peak.NonModelRequests, reported.NonModelRequests),
		}
		if _, known := p.firstReportedAt[group]; !known {
			p.firstReportedAt[group] = now
		}
	}
}
