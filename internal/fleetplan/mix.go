package fleetplan

import (
	"math"
	"slices"
)

const (
	// stableCost is the cost of a stable replica per second, as a share of what a fully busy
	// replica earns in a second. No setting expresses the price of a replica in requests. A service
	// whose replicas cost more than this share is hardly worth running, and since the loss falls
	// exponentially with the number of replicas, half or twice the value changes the number little.
	stableCost = 0.05
	// zoneLossShare is the share of the time for which one of the zones is assumed to be without
	// its preemptible replicas. The more of them a zone has, the likelier its loss is assumed to
	// be, so that they are spread over the zones.
	zoneLossShare = 0.1
	// rebuildCostRatio is the share of the cost of the improved current mix that a newly built mix
	// may cost at most to be used instead: replacing many replicas loses their cached prefixes.
	rebuildCostRatio = 0.95
	// mixSteps is the approximate number of steps in which a mix is built.
	mixSteps = 40
)

// mixOptimizer builds a mix of replicas step by step, each time with the step that adds most for
// its price, or improves a present mix in steps. A further replica is worth the number of prompts that no longer miss their objective,
// both with all zones present and without the preemptible replicas of any one of them.
type mixOptimizer struct {
	history *history
	input   Input
	// price is the cost of a stable replica per second in a zone with Price 1, in prompts answered
	// within their objective.
	price float64
	mix   [][kinds]int
	// preemptibleLimits are the maximum numbers of preemptible replicas by zone.
	preemptibleLimits []int
}

// priceOf is the price of a replica per second, as a multiple of that of a stable replica in a zone
// with Price 1.
func (i Input) priceOf(zone int, kind Kind) float64 {
	price := i.Zones[zone].Price
	if price <= 0 {
		price = 1
	}
	if kind == Preemptible {
		price *= i.PreemptiblePrice
	}
	return price
}

func (m *mixOptimizer) total() int {
	sum := 0
	for _, zone := range m.mix {
		sum += zone[Stable] + zone[Preemptible]
	}
	return sum
}

// lateRate is the expected number of prompts a second that miss their objective with the mix.
func (m *mixOptimizer) lateRate() float64 {
	total, preemptible := float64(m.total()), float64(m.preemptible())
	late := m.history.lateRate(total)
	if preemptible == 0 {
		return late
	}
	lost := 0.0
	for _, zone := range m.mix {
		removed := float64(zone[Preemptible])
		lost += removed / preemptible * m.history.lateRateAfterLoss(total-removed, removed/total)
	}
	return (1-zoneLossShare)*late + zoneLossShare*lost
}

// cost is the total cost of the mix per second: the price of the replicas and the expected loss.
func (m *mixOptimizer) cost() float64 {
	sum := m.lateRate()
	for index, zone := range m.mix {
		for kind := range kinds {
			sum += m.price * m.input.priceOf(index, kind) * float64(zone[kind])
		}
	}
	return sum
}

// headroom is the number of replicas of a kind that can be added to a zone.
func (m *mixOptimizer) headroom(zone int, kind Kind) int {
	if kind == Preemptible && m.input.PreemptiblePrice <= 0 {
		return 0
	}
	headroom := m.input.Maximum - m.mix[zone][Stable] - m.mix[zone][Preemptible]
	if kind == Preemptible {
		return min(headroom, m.preemptibleLimits[zone]-m.mix[zone][Preemptible])
	}
	return headroom
}

// build adds replicas until none is worth its price. While there are far too few replicas, the
// worth of a further one does not fall as replicas are added. It is higher for a stable one, which
// no zone loss removes, so that a single greedy run can go on adding stable replicas and end with
// expensive ones. The mix is therefore built in two ways, with stable replicas only and with
// preemptible ones first, and the cheaper one is used.
func (m *mixOptimizer) build() {
	initial := slices.Clone(m.mix)
	m.grow(Stable)
	mix, cost := m.mix, m.cost()
	m.mix = initial
	m.grow(Preemptible)
	m.grow(Stable, Preemptible)
	if m.cost() >= cost {
		m.mix = mix
	}
}

// preemptible is the number of preemptible replicas of the mix.
func (m *mixOptimizer) preemptible() int {
	sum := 0
	for _, zone := range m.mix {
		sum += zone[Preemptible]
	}
	return sum
}

// improve derives a mix from the present one in steps, each of which makes it cheaper. The stable
// replicas that the optimizer starts with are the minimum.
func (m *mixOptimizer) improve(present [][kinds]int) {
	minimum := slices.Clone(m.mix)
	for zone := range m.mix {
		m.mix[zone][Stable] = max(minimum[zone][Stable], present[zone][Stable])
		m.mix[zone][Preemptible] = min(present[zone][Preemptible], m.preemptibleLimits[zone], m.input.Maximum-m.mix[zone][Stable])
	}
	for cost := m.cost(); ; {
		next, cheaper := m.cheapestStep(minimum, cost)
		if cheaper >= cost {
			return
		}
		m.mix, cost = next, cheaper
	}
}

// cheapestStep returns the mix and its cost after the step that makes it cheapest: more or fewer
// replicas of a kind in one zone, or of preemptible ones in all zones at once, since the other
// zones make up for the loss of one. It returns the present mix if no step makes it cheaper.
func (m *mixOptimizer) cheapestStep(minimum [][kinds]int, cost float64) ([][kinds]int, float64) {
	present, best := m.mix, m.mix
	step := max(1, m.total()/mixSteps)
	try := func(kind Kind, change int, zones ...int) {
		m.mix = slices.Clone(present)
		for _, zone := range zones {
			m.mix[zone][kind] += max(min(change, m.headroom(zone, kind)), minimum[zone][kind]-m.mix[zone][kind])
		}
		if changed := m.cost(); changed < cost {
			best, cost = m.mix, changed
		}
		m.mix = present
	}
	all := make([]int, len(present))
	for zone := range present {
		all[zone] = zone
		for kind := range kinds {
			try(kind, step, zone)
			try(kind, -step, zone)
		}
	}
	try(Preemptible, step, all...)
	try(Preemptible, -step, all...)
	return best, cost
}

// grow adds replicas of the given kinds until none is worth its price.
func (m *mixOptimizer) grow(kinds ...Kind) {
	late := m.lateRate()
	for {
		zone, kind, count, gain := m.bestAddition(late, kinds...)
		if gain <= 0 {
			return
		}
		m.mix[zone][kind] += count
		late = m.lateRate()
	}
}

// bestAddition returns the addition with the highest gain per replica, which is its worth less its
// price. At equal gain the first zone and kind are used.
func (m *mixOptimizer) bestAddition(late float64, kinds ...Kind) (zone int, kind Kind, count int, gain float64) {
	step := max(1, m.total()/mixSteps)
	gain = math.Inf(-1)
	for index := range m.mix {
		for _, each := range kinds {
			added := min(step, m.headroom(index, each))
			if added <= 0 {
				continue
			}
			m.mix[index][each] += added
			worth := (late - m.lateRate()) / float64(added)
			m.mix[index][each] -= added
			if net := worth - m.price*m.input.priceOf(index, each); net > gain {
				zone, kind, count, gain = index, each, added, net
			}
		}
	}
	return zone, kind, count, gain
}

// sufficientReplicas is the number of replicas above which a stable one is not worth its price at a
// load.
func sufficientReplicas(history *history, price float64, maximum int) int {
	low, high := 1, max(maximum, 1)
	for low < high {
		middle := (low + high) / 2
		if history.lateRate(float64(middle))-history.lateRate(float64(middle+1)) > price {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
