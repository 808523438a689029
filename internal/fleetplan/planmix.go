package fleetplan

import (
	"slices"
	"time"
)

// planMix computes the mix that is worth its price. A new mix with clearly more replicas, by
// stepShare, is used at once. One with clearly fewer, or one that starts or stops using preemptible
// replicas, is used once the loads cover their whole window.
func (p *Planner) planMix(now time.Duration, input Input) {
	if !p.adoptedMix {
		p.adoptedMix = true
		p.mix = input.orderedMix()
	}
	window := time.Duration(shrinkBootTimes * float64(input.BootTime))
	if input.Load.Reported && (input.Load.known() || p.loads.loads != nil) {
		load := input.Load
		load.Replicas, load.PrefillReplicas = float64(input.serving()), float64(input.PrefillReplicas)
		p.loads.add(now, window, load)
		p.recent.add(now, input.BootTime, load)
	}
	if p.mix == nil && !p.loads.full() || p.base == 0 || now-p.mixedAt < mixInterval {
		return
	}
	if p.loads.price() == 0 {
		// No prompt has come recently, which does not show that none will.
		return
	}
	p.mixedAt = now
	p.loads.updateDelayRatio(window / historySpans)
	p.recent.delayRatio = p.loads.delayRatio
	optimizer := p.newOptimizer(input)
	optimizer.build()
	improved := p.newOptimizer(input)
	improved.improve(p.currentMix(input))
	if optimizer.cost() > rebuildCostRatio*improved.cost() {
		optimizer = improved
	}
	onlyStable := optimizer.preemptible() == 0
	if len(p.mix) == len(optimizer.mix) && p.anyUnavailable(input) {
		// Preemptible replicas that are unavailable now remain wanted; others are added as far as
		// they are worth their price in their absence.
		p.mix = maximumPreemptible(p.mix, optimizer.mix)
		return
	}
	fresh, planned := optimizer.total(), total(p.mix)
	step := max(1, int(stepShare*float64(planned)))
	changed := len(p.mix) != len(optimizer.mix) || fresh <= planned-step || onlyStable != p.onlyStable
	if fresh >= planned+step || changed && p.loads.full() {
		p.mix, p.onlyStable = optimizer.mix, onlyStable
	}
}

// currentMix is the mix that new mixes are derived from: the planned one, or the ordered
// preemptible replicas while there is no plan.
func (p *Planner) currentMix(input Input) [][kinds]int {
	if len(p.mix) == len(input.Zones) {
		return p.mix
	}
	var present [][kinds]int
	for _, zone := range input.Zones {
		present = append(present, [kinds]int{Preemptible: max(zone.Ordered[Preemptible], 0)})
	}
	return present
}

// maximumPreemptible returns the first mix with, in each zone, as many preemptible replicas as the
// one of the two mixes that has more. Stable replicas are left to planStable: the stable ones that
// a mix has in place of unavailable preemptible ones were paid for until those became available,
// and were far more than needed.
func maximumPreemptible(mix, other [][kinds]int) [][kinds]int {
	result := slices.Clone(mix)
	for zone := range result {
		result[zone][Preemptible] = max(mix[zone][Preemptible], other[zone][Preemptible])
	}
	return result
}

// orderedMix is the mix that was ordered last, or nil if some count has never been ordered: a
// planner that takes over keeps it until it has observed the load for long enough.
func (i Input) orderedMix() [][kinds]int {
	var mix [][kinds]int
	for _, zone := range i.Zones {
		if min(zone.Ordered[Stable], zone.Ordered[Preemptible]) < 0 {
			return nil
		}
		mix = append(mix, zone.Ordered)
	}
	return mix
}

// newOptimizer returns an optimizer that starts with the minimum of each zone. Zones in which
// preemptible replicas are unavailable are limited to those that serve there.
func (p *Planner) newOptimizer(input Input) *mixOptimizer {
	optimizer := &mixOptimizer{history: &p.loads, input: input, price: p.loads.price()}
	for _, zone := range input.Zones {
		bound := input.Maximum
		if p.preemptibleUnavailable(zone) {
			bound = zone.Serving[Preemptible]
		}
		optimizer.preemptibleLimits = append(optimizer.preemptibleLimits, bound)
		optimizer.mix = append(optimizer.mix, [kinds]int{Stable: input.Minimum})
	}
	return optimizer
}

// serving is the number of replicas that accept work.
func (i Input) serving() int {
	sum := 0
	for _, zone := range i.Zones {
		sum += zone.Serving[Stable] + zone.Serving[Preemptible]
	}
	return sum
}

func total(mix [][kinds]int) int {
	sum := 0
	for _, zone := range mix {
		sum += zone[Stable] + zone[Preemptible]
	}
	return sum
}

// updateExplanation records why the planner wants its number of replicas.
func (p *Planner) updateExplanation(input Input, target [][kinds]int) {
	p.explanation = Explanation{
		Learned:         p.mix != nil,
		Wanted:          total(target),
		Sufficient:      p.sufficient(input),
		DelayRatio:      p.loads.delayRatio,
		PrefillReplicas: input.PrefillReplicas,
		Load:            input.Load,
	}
	if p.mix == nil {
		return
	}
	optimizer := p.newOptimizer(input)
	copy(optimizer.mix, target)
	p.explanation.Late = optimizer.lateRate()
	zone, kind, count, gain := optimizer.bestAddition(p.explanation.Late, Stable, Preemptible)
	if count == 0 {
		return
	}
	p.explanation.NextPrice = optimizer.price * input.priceOf(zone, kind)
	p.explanation.NextWorth = gain + p.explanation.NextPrice
}
