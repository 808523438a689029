package fleetplan

import (
	"cmp"
	"slices"
	"time"
)

// sufficient is the number of replicas up to which stable ones substitute for missing preemptible
// ones.
func (p *Planner) sufficient(input Input) int {
	switch {
	case p.mix == nil:
		return p.requiredReplicas()
	case p.onlyStable:
		return total(p.mix)
	}
	cheapest := input.priceOf(byPrice(input.Zones)[0], Stable)
	return sufficientReplicas(&p.recent, p.recent.price()*cheapest, len(input.Zones)*input.Maximum)
}

// planStable releases surplus stable replicas step by step as others serve in their place, the most
// expensive first, and adds stable replicas in place of preemptible ones that have been lost.
func (p *Planner) planStable(now time.Duration, input Input, target [][kinds]int) {
	needed := p.sufficient(input)
	step := max(1, int(stepShare*float64(needed)))
	serving, expected := 0, 0
	surplus := make([]int, len(target))
	totalSurplus := 0
	for index, zone := range input.Zones {
		serving += zone.Serving[Preemptible] + target[index][Stable]
		expected += p.expectedPreemptible(zone, target[index][Preemptible]) + target[index][Stable]
		surplus[index] = max(p.currentStable(now, input, zone)-target[index][Stable], 0)
		totalSurplus += surplus[index]
	}
	released := min(max(totalSurplus-max(needed-serving, 0), 0), totalSurplus)
	if p.base == 0 || released < min(totalSurplus, step) {
		released = 0
	}
	order := byPrice(input.Zones)
	for _, index := range slices.Backward(order) {
		count := min(surplus[index], released)
		released -= count
		surplus[index] -= count
		target[index][Stable] += surplus[index]
		expected += surplus[index]
	}
	if missing := needed - expected; p.anyUnavailable(input) && missing >= step {
		p.addStable(input, target, missing)
	}
}

// currentStable is the number of stable replicas of a zone that serve or boot and have not been
// released.
func (p *Planner) currentStable(now time.Duration, input Input, zone Zone) int {
	if zone.Ordered[Stable] < 0 {
		return p.stablePeaks[zone.Name]
	}
	if ordered, known := p.orderedAt[orderKey{zone.Name, Stable}]; known && now-ordered <= input.BootTime+listingMargin {
		return zone.Ordered[Stable]
	}
	return min(zone.Serving[Stable], zone.Ordered[Stable])
}

// expectedPreemptible is the number of preemptible replicas that serve in a zone, or will serve as
// soon as a stable one that is ordered now.
func (p *Planner) expectedPreemptible(zone Zone, target int) int {
	if p.preemptibleUnavailable(zone) {
		return zone.Serving[Preemptible]
	}
	return max(zone.Serving[Preemptible], target)
}

// addStable adds stable replicas in the cheapest zones.
func (p *Planner) addStable(input Input, target [][kinds]int, missing int) {
	for _, index := range byPrice(input.Zones) {
		headroom := input.Maximum - target[index][Stable] - p.expectedPreemptible(input.Zones[index], target[index][Preemptible])
		added := min(max(missing, 0), max(headroom, 0))
		target[index][Stable] += added
		missing -= added
	}
}

// clampCounts keeps a zone's counts within its maximum. No serving preemptible replica is released
// for a stable one that has yet to boot.
func (z Zone) clampCounts(target [kinds]int, maximum int) [kinds]int {
	booting := max(target[Stable]-z.Serving[Stable], 0)
	serving := min(z.Serving[Preemptible], target[Preemptible]+booting)
	target[Stable] = min(target[Stable], max(maximum-serving, z.Serving[Stable]))
	target[Preemptible] = max(min(max(target[Preemptible], serving), maximum-target[Stable]), 0)
	return target
}

// preemptibleUnavailable reports whether a zone's preemptible replicas are leaving, or no further
// ones are available.
func (p *Planner) preemptibleUnavailable(zone Zone) bool {
	_, refused := p.refusedUntil[orderKey{zone.Name, Preemptible}]
	return refused || zone.Leaving[Preemptible] > 0
}

// anyUnavailable reports whether preemptible replicas are unavailable in some zone.
func (p *Planner) anyUnavailable(input Input) bool {
	return slices.ContainsFunc(input.Zones, p.preemptibleUnavailable)
}

// byPrice returns the indexes of the zones in the order of their prices, the cheapest first.
func byPrice(zones []Zone) []int {
	order := make([]int, len(zones))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(zones[a].Price, zones[b].Price) })
	return order
}
