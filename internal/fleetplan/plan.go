// Package fleetplan decides how many replicas of a service run in each zone, and of which kind:
// stable replicas, which stay, or preemptible ones, which cost less and may be preempted, all of a
// zone at the same moment. It is a pure state machine: Step takes the known state and returns the
// counts to order, and performs no I/O.
//
// Once the load has been observed for a while, replicas of either kind are added as long as the
// next one is worth its price (mix.go, worth.go). Its worth includes the case that the preemptible
// replicas of any one zone are lost. Until then the plan only bounds the loss: without any one
// zone's preemptible replicas, as many replicas have to remain as there were at the start, and all
// but the minimum are preemptible where that is cheaper. While preemptible replicas are
// unavailable, stable ones substitute for them as far as those are worth their price.
package fleetplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is the kind of a replica.
type Kind int

// Kinds of replicas.
const (
	Stable Kind = iota
	Preemptible
	kinds
)

// Zone describes a service's replicas in a zone.
type Zone struct {
	Name string
	// Price is the price of a stable replica per second in this zone, as a multiple of the price
	// for which stableCost holds. Costs are computed with 1 if it is not positive.
	Price float64
	// Serving are the numbers of replicas of each kind that accept work, Leaving the numbers of
	// those that are leaving.
	Serving [kinds]int
	Leaving [kinds]int
	// Ordered is the count of each kind that was ordered last, negative if none ever was.
	Ordered [kinds]int
}

// Input is the state that Step decides on.
type Input struct {
	Zones []Zone
	// Minimum and Maximum bound the number of replicas of a zone, of both kinds together.
	Minimum, Maximum int
	// BootTime is the time until a new replica serves.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible replica as a share of that of a stable one, or
	// 0 if there are no preemptible replicas.
	PreemptiblePrice float64
	// PrefillReplicas is the number of prefill replicas.
	PrefillReplicas int
	// Load is the present load, or zero while it is unknown.
	Load Load
}

// Order sets the number of replicas of a kind in a zone.
type Order struct {
	Zone   string
	Kind   Kind
	Count  int
	Reason string
}

// Explanation explains the planned number of replicas.
type Explanation struct {
	// Learned is false while the number of replicas at the start is taken to be sufficient.
	Learned bool
	// Wanted is the planned number of replicas, and Sufficient the number above which stable ones are
	// not worth their price.
	Wanted, Sufficient int
	// DelayRatio is the number of prompts recently delayed, divided by the number expected.
	DelayRatio float64
	// PrefillReplicas is the number of prefill replicas, and Load the present load.
	PrefillReplicas int
	Load            Load
	// Late is the number of prompts a second that are expected to miss their objective. NextWorth
	// is the number by which one more replica would reduce it, and NextPrice that replica's cost in
	// the same unit, for the replica whose worth exceeds its price most. All three are set once
	// Learned is true; NextWorth and NextPrice stay 0 if no zone can hold another replica.
	Late, NextWorth, NextPrice float64
}

const (
	// listingMargin is the time after its boot within which a replica is listed and starts to be
	// used.
	listingMargin = 3 * time.Second
	// refusalDelay is the time after a refusal before a kind is ordered in a zone again: calls have
	// a price, and a second is a fraction of any boot time.
	refusalDelay = time.Second
	// baseSettleShare is the share of the boot time without a further replica after which all
	// replicas that started together are taken to be listed.
	baseSettleShare = 0.5
	// targetLoad is the utilization of replicas that is planned for until the load has been
	// observed for long enough: prompts that arrive during a prefill wait for it.
	targetLoad = 0.45
	// stepShare is the minimum change of the required replicas, as a share of them, and
	// shrinkBootTimes the number of boot times for which fewer have to be required before any is
	// released: a replica that is soon needed again has to boot, and has lost its cached prefixes.
	stepShare       = 1.0 / 16
	shrinkBootTimes = 5.0
	// toleratedZoneLosses is the number of zones that may lose their preemptible replicas at once
	// without a shortage.
	toleratedZoneLosses = 1
	// mixInterval is the time between two computations of the mix: load changes within a fraction
	// of a boot time cannot be followed.
	mixInterval = time.Second
)

// Planner plans the replicas of one service.
type Planner struct {
	// base is the number of replicas that were present before any was ordered, which the operators
	// take to be sufficient. While it is 0, peakStable is the highest number of stable replicas
	// seen, which last grew at peakStableAt.
	base         int
	peakStable   int
	peakStableAt time.Duration
	// stablePeaks are the highest numbers of stable replicas in the zones for which none was
	// ordered.
	stablePeaks map[string]int
	// orderedAt is the time of each accepted order. refusedUntil has an entry for each kind that is
	// unavailable in a zone: the time before which it is not ordered there again.
	orderedAt    map[orderKey]time.Duration
	refusedUntil map[orderKey]time.Duration
	// workNeed is the number of replicas that the work requires: the recent maximum, which last
	// applied at workNeedAt.
	workNeed   int
	workNeedAt time.Duration
	// loads are the loads of the window after which replicas are released, and recent those of the
	// last boot time.
	loads, recent history
	// mix is the mix that is worth its price, nil until the load has been observed for long enough.
	// It was last computed at mixedAt.
	mix     [][kinds]int
	mixedAt time.Duration
	// onlyStable is set while preemptible replicas are not worth their price.
	onlyStable bool
	// adoptedMix is set once the mix ordered by an earlier planner, if any, has been adopted.
	adoptedMix  bool
	explanation Explanation
}

type orderKey struct {
	zone string
	kind Kind
}

// New returns a planner. base is the number of replicas that is taken to be sufficient, or 0 to
// learn it from the replicas that are present before any is ordered.
func New(base int) *Planner {
	return &Planner{
		base:         base,
		stablePeaks:  map[string]int{},
		orderedAt:    map[orderKey]time.Duration{},
		refusedUntil: map[orderKey]time.Duration{},
	}
}

// Base is the number of replicas that is taken to be sufficient, or 0 while it is being learned.
func (p *Planner) Base() int { return p.base }

// OrderAccepted records that an order was accepted.
func (p *Planner) OrderAccepted(now time.Duration, order Order) {
	at := orderKey{order.Zone, order.Kind}
	p.orderedAt[at] = now
	delete(p.refusedUntil, at)
}

// OrderUnanswered records that it is unknown whether an order was accepted: the order becomes due
// again.
func (p *Planner) OrderUnanswered(order Order) {
	delete(p.orderedAt, orderKey{order.Zone, order.Kind})
}

// OrderRefused records that no further replicas of the order's kind are available in its zone.
func (p *Planner) OrderRefused(now time.Duration, order Order) {
	p.refusedUntil[orderKey{order.Zone, order.Kind}] = now + refusalDelay
	delete(p.orderedAt, orderKey{order.Zone, order.Kind})
}

// Explanation explains the planned number of replicas.
func (p *Planner) Explanation() Explanation { return p.explanation }

// Step returns the orders to make now, those that add replicas first.
func (p *Planner) Step(now time.Duration, input Input) []Order {
	p.learnBase(now, input)
	p.updateWorkNeed(now, input)
	if p.requiredReplicas() == 0 || len(input.Zones) == 0 || input.Maximum < max(input.Minimum, 1) {
		return nil
	}
	p.updateStablePeaks(input)
	p.planMix(now, input)
	target := p.targetCounts(input)
	p.planStable(now, input, target)
	p.updateExplanation(input, target)
	for index, zone := range input.Zones {
		target[index] = zone.clampCounts(target[index], input.Maximum)
	}
	var orders []Order
	for index, zone := range input.Zones {
		for kind := range kinds {
			if kind == Stable && p.base == 0 {
				// A count below the number of replicas that are yet to be listed would end some of
				// them.
				continue
			}
			if order, due := p.orderDue(now, input, zone, kind, target[index][kind]); due {
				orders = append(orders, order)
			}
		}
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(p.orderRank(a, input), p.orderRank(b, input)) })
	return orders
}

// learnBase sets the base once no replica has been added for a while: replicas that start with the
// region are listed one after the other, and the first few are not sufficient.
func (p *Planner) learnBase(now time.Duration, input Input) {
	if p.base > 0 {
		return
	}
	if stable := servingStable(input.Zones); stable > p.peakStable {
		p.peakStable, p.peakStableAt = stable, now
	}
	if p.peakStable > 0 && now-p.peakStableAt >= time.Duration(baseSettleShare*float64(input.BootTime)) {
		p.base = p.peakStable
	}
}

// updateWorkNeed follows the work: it raises the need at once, and lowers it after less has been
// needed for a while. A planner that takes over from another one starts with what was ordered.
func (p *Planner) updateWorkNeed(now time.Duration, input Input) {
	if p.workNeed == 0 {
		p.workNeed, p.workNeedAt = input.orderedNeed(), now
	}
	step := max(1, int(stepShare*float64(p.requiredReplicas())))
	busy := int(math.Ceil(input.Load.Busy / targetLoad))
	target := (busy + step - 1) / step * step
	switch {
	case target > p.workNeed:
		p.workNeed, p.workNeedAt = target, now
	case target > p.workNeed-step:
		p.workNeedAt = now
	case now-p.workNeedAt > time.Duration(shrinkBootTimes*float64(input.BootTime)):
		p.workNeed, p.workNeedAt = target, now
	}
}

// orderedNeed is the need for which the present counts were ordered.
func (i Input) orderedNeed() int {
	ordered := 0
	for _, zone := range i.Zones {
		for kind := range kinds {
			ordered += max(zone.Ordered[kind], 0)
		}
	}
	if factor := i.overprovisionFactor(); factor > 0 {
		return int(float64(ordered) / factor)
	}
	return ordered
}

// orderRank is 1 for orders that reduce a count, and 0 for the others, which are made first.
func (p *Planner) orderRank(o Order, input Input) int {
	for _, zone := range input.Zones {
		if zone.Name == o.Zone && o.Count < p.currentCount(zone, o.Kind) {
			return 1
		}
	}
	return 0
}

// currentCount is the count that a new one is compared with: the one ordered last, or the replicas
// that were present if none ever was.
func (p *Planner) currentCount(z Zone, kind Kind) int {
	if z.Ordered[kind] >= 0 {
		return z.Ordered[kind]
	}
	if kind == Stable {
		return p.stablePeaks[z.Name]
	}
	return z.Serving[kind]
}

// updateStablePeaks records the highest number of stable replicas in each zone for which none was
// ordered: replicas that have crashed restart by themselves.
func (p *Planner) updateStablePeaks(input Input) {
	for _, zone := range input.Zones {
		if zone.Ordered[Stable] < 0 {
			p.stablePeaks[zone.Name] = max(p.stablePeaks[zone.Name], zone.Serving[Stable])
		}
	}
}

func servingStable(zones []Zone) int {
	sum := 0
	for _, zone := range zones {
		sum += zone.Serving[Stable]
	}
	return sum
}

// requiredReplicas is the number of replicas that have to serve whatever is preempted: the base, or
// the highest number of stable replicas seen while the base is being learned, or more if the work
// requires them.
func (p *Planner) requiredReplicas() int { return max(p.base, p.peakStable, p.workNeed) }

// targetCounts is the wanted count of each kind in each zone, provided that all replicas are
// available.
func (p *Planner) targetCounts(input Input) [][kinds]int {
	zones := len(input.Zones)
	target := make([][kinds]int, zones)
	needed, factor := p.requiredReplicas(), input.overprovisionFactor()
	switch {
	case len(p.mix) == zones && !p.onlyStable:
		copy(target, p.mix)
		for index, zone := range input.Zones {
			if p.preemptibleUnavailable(zone) {
				// The order is repeated until replicas are available.
				target[index][Preemptible] = max(target[index][Preemptible], zone.Ordered[Preemptible])
			}
		}
		return target
	case len(p.mix) == zones:
		p.targetStable(input, target, total(p.mix))
		p.retainPreemptible(input, target)
		return target
	case factor == 0:
		p.targetStable(input, target, needed)
		return target
	}
	for index, count := range splitEvenly(int(math.Ceil(float64(needed)*factor)), zones) {
		target[index][Stable] = input.Minimum
		target[index][Preemptible] = input.clampCount(count) - input.Minimum
	}
	return target
}

// targetStable plans stable replicas only: the present ones, and as many more or fewer as are
// needed, in such a way that the counts of the zones become more equal.
func (p *Planner) targetStable(input Input, target [][kinds]int, needed int) {
	missing := needed
	for index, zone := range input.Zones {
		count := zone.Ordered[Stable]
		if count < 0 {
			count = p.stablePeaks[zone.Name]
		}
		target[index][Stable] = input.clampCount(count)
		missing -= target[index][Stable]
	}
	compare := func(a, b [kinds]int) int { return cmp.Compare(a[Stable], b[Stable]) }
	for ; missing > 0; missing-- {
		smallest := slices.Index(target, slices.MinFunc(target, compare))
		if target[smallest][Stable] >= input.Maximum {
			return
		}
		target[smallest][Stable]++
	}
	for ; missing < 0; missing++ {
		largest := slices.Index(target, slices.MaxFunc(target, compare))
		if target[largest][Stable] <= input.Minimum {
			return
		}
		target[largest][Stable]--
	}
}

// retainPreemptible keeps preemptible replicas until stable ones serve in their place.
func (p *Planner) retainPreemptible(input Input, target [][kinds]int) {
	stable := servingStable(input.Zones)
	for index, zone := range input.Zones {
		if stable < total(p.mix) {
			target[index][Preemptible] = max(zone.Ordered[Preemptible], 0)
		}
	}
}

// overprovisionFactor is the number of preemptible replicas for each required one, such that the
// required number remains after as many zones have lost theirs as is economical. It is 0 if
// preemptible replicas are not economical.
func (i Input) overprovisionFactor() float64 {
	zones := float64(len(i.Zones))
	best := 0.0
	for lost := 1.0; lost < zones && lost <= toleratedZoneLosses; lost++ {
		if factor := zones / (zones - lost); i.PreemptiblePrice > 0 && i.PreemptiblePrice*factor < 1 {
			best = factor
		}
	}
	return best
}

// clampCount bounds the number of replicas of a zone.
func (i Input) clampCount(count int) int { return min(max(count, i.Minimum), i.Maximum) }

// splitEvenly divides a count evenly over zones.
func splitEvenly(count, zones int) []int {
	each := make([]int, zones)
	for index := range each {
		each[index] = count / zones
		if index < count%zones {
			each[index]++
		}
	}
	return each
}

// orderDue reports whether a count has to be ordered: it differs from the count ordered before, or
// the number of serving replicas still differs from it after the time that an order needs to take
// effect. Without the second rule, a lost order to release replicas left 47 of them paid for a
// whole day.
func (p *Planner) orderDue(now time.Duration, input Input, zone Zone, kind Kind, count int) (Order, bool) {
	at := orderKey{zone.Name, kind}
	if now < p.refusedUntil[at] {
		return Order{}, false
	}
	order := Order{Zone: zone.Name, Kind: kind, Count: count}
	if count != p.currentCount(zone, kind) {
		order.Reason = "the target has changed"
		return order, true
	}
	if zone.Ordered[kind] < 0 || zone.Serving[kind] == count {
		delete(p.refusedUntil, at)
		return Order{}, false
	}
	ordered, known := p.orderedAt[at]
	if known && now-ordered <= input.BootTime+listingMargin {
		return Order{}, false
	}
	order.Reason = "fewer replicas serve than were ordered"
	if zone.Serving[kind] > count {
		order.Reason = "more replicas serve than were ordered"
	}
	return order, true
}
