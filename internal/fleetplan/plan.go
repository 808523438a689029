// Package fleetplan decides how many replicas of a service run in each zone, and of which kind:
// stable ones, which stay, or preemptible ones, which cost less and may be taken away, all of a
// zone at the same moment. It is a pure state machine: Step takes what is known and returns the
// numbers to order, and never acts itself.
//
// The plan is a bound on loss: what is left when the preemptible replicas of any one zone go has
// to be what the service needs. Where the preemptible ones of all zones together cost less than
// as many stable ones as are needed, all but the minimum are preemptible. While they are not to
// be had, stable ones take their place.
package fleetplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is that of a replica.
type Kind int

// Kinds of replicas.
const (
	Stable Kind = iota
	Preemptible
	kinds
)

// Zone is what is known of a service's replicas in a zone.
type Zone struct {
	Name string
	// Price is what a second of a stable replica costs here.
	Price float64
	// Serving are the replicas of each kind that take work, Leaving those that are on their way
	// out.
	Serving [kinds]int
	Leaving [kinds]int
	// Ordered is the number of each kind that was ordered last, negative if none ever was.
	Ordered [kinds]int
}

// Input is what Step decides on.
type Input struct {
	Zones []Zone
	// Minimum and Maximum bound the replicas of a zone, of both kinds together.
	Minimum, Maximum int
	// BootTime is how long a new replica takes until it serves.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible replica as a share of a stable one's; 0 if
	// there are none.
	PreemptiblePrice float64
	// Busy is the number of replicas that the work would keep busy all the time, 0 while it is
	// not known.
	Busy float64
}

// Order is a number of replicas of a kind in a zone.
type Order struct {
	Zone   string
	Kind   Kind
	Count  int
	Reason string
}

const (
	// listMargin is how long after its boot a replica may take to be listed and to be taken up.
	listMargin = 3 * time.Second
	// refusedPause is how long after a refusal none of a kind is ordered in a zone again: calls
	// are priced, and a second is a fraction of any boot time.
	refusedPause = time.Second
	// settleShare of the boot time without a further replica says that all are there that have
	// started together.
	settleShare = 0.5
	// targetLoad is the share of the time for which replicas may be busy: prompts that come while
	// one is read wait for it. Stages are planned with the same share of the readers.
	targetLoad = 0.45
	// growStep is the least share of the replicas by which the need changes, and fallBoots for
	// how many boot times less has to be needed before any is given up: what comes back soon
	// has to be booted, and has lost the prefixes that it kept.
	growStep  = 1.0 / 16
	fallBoots = 5.0
	// toleratedZones is the number of zones that may lose their preemptible replicas at once
	// without a lack.
	toleratedZones = 1
	// settledTime is how long all that was ordered must have served before stable replicas are
	// given up for preemptible ones.
	settledTime = 1 * time.Second
)

// Planner plans for one service.
type Planner struct {
	// base is the number of replicas that there were before any was ordered: what the operators
	// hold to be enough. While it is 0, seen is the most there were, which grew last at seenAt.
	base   int
	seen   int
	seenAt time.Duration
	// peaks are the most stable replicas that there were in zones for which none was ordered.
	peaks map[string]int
	// orderedAt is when each number was ordered, and refusedUntil until when a kind is not to be
	// had in a zone.
	orderedAt    map[subject]time.Duration
	refusedUntil map[subject]time.Duration
	// grown is the number of replicas that the work needs, as it was when most were needed of
	// late, at grownAt.
	grown   int
	grownAt time.Duration
	// enoughSince is since when there have been as many as are needed without those to be
	// given up, meaningful if enough is set.
	enough      bool
	enoughSince time.Duration
}

type subject struct {
	zone string
	kind Kind
}

// New returns a planner. base is the number of replicas that are held to be enough, 0 for those
// that are there before any is ordered.
func New(base int) *Planner {
	return &Planner{
		base:         base,
		peaks:        map[string]int{},
		orderedAt:    map[subject]time.Duration{},
		refusedUntil: map[subject]time.Duration{},
	}
}

// Base is the number of replicas that are held to be enough, 0 while it is being learned.
func (p *Planner) Base() int { return p.base }

// Ordered notes that an order was made.
func (p *Planner) Ordered(now time.Duration, order Order) {
	p.orderedAt[subject{order.Zone, order.Kind}] = now
}

// Lost notes that it is not known whether an order was taken: it is due again.
func (p *Planner) Lost(order Order) {
	delete(p.orderedAt, subject{order.Zone, order.Kind})
}

// Refused notes that there are no further replicas to be had.
func (p *Planner) Refused(now time.Duration, order Order) {
	p.refusedUntil[subject{order.Zone, order.Kind}] = now + refusedPause
	delete(p.orderedAt, subject{order.Zone, order.Kind})
}

// Step returns the orders to make now. Those that add replicas come first.
func (p *Planner) Step(now time.Duration, input Input) []Order {
	p.learnBase(now, input)
	p.learnNeed(now, input)
	if p.needed() == 0 || len(input.Zones) == 0 || input.Maximum < max(input.Minimum, 1) {
		return nil
	}
	p.notePeaks(input)
	wanted := p.wanted(input)
	p.coverLosses(now, input, wanted)
	for index := range wanted {
		wanted[index][Preemptible] = max(min(wanted[index][Preemptible], input.Maximum-wanted[index][Stable]), 0)
	}
	var orders []Order
	for index, zone := range input.Zones {
		for kind := range kinds {
			if kind == Stable && p.base == 0 {
				// A number below that of replicas which are yet to be listed would end them.
				continue
			}
			if order, due := p.due(now, input, zone, kind, wanted[index][kind]); due {
				orders = append(orders, order)
			}
		}
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(p.rank(a, input), p.rank(b, input)) })
	return orders
}

// learnBase waits until no replica has come for a while: those that start with the region are
// listed one after the other, and the first few are not what is enough.
func (p *Planner) learnBase(now time.Duration, input Input) {
	if p.base > 0 {
		return
	}
	if stable := countStable(input.Zones); stable > p.seen {
		p.seen, p.seenAt = stable, now
	}
	if p.seen > 0 && now-p.seenAt >= time.Duration(settleShare*float64(input.BootTime)) {
		p.base = p.seen
	}
}

// learnNeed follows the work: up at once, down when less was needed for a while. A planner that
// takes over from another one begins with what was ordered.
func (p *Planner) learnNeed(now time.Duration, input Input) {
	if p.grown == 0 {
		p.grown, p.grownAt = input.orderedNeed(), now
	}
	step := max(1, int(growStep*float64(p.needed())))
	busy := int(math.Ceil(input.Busy / targetLoad))
	wanted := (busy + step - 1) / step * step
	switch {
	case wanted > p.grown:
		p.grown, p.grownAt = wanted, now
	case wanted > p.grown-step:
		p.grownAt = now
	case now-p.grownAt > time.Duration(fallBoots*float64(input.BootTime)):
		p.grown, p.grownAt = wanted, now
	}
}

// orderedNeed is the need that the numbers ordered so far were for.
func (i Input) orderedNeed() int {
	ordered := 0
	for _, zone := range i.Zones {
		for kind := range kinds {
			ordered += max(zone.Ordered[kind], 0)
		}
	}
	if spread := i.spread(); spread > 0 {
		return int(float64(ordered) / spread)
	}
	return ordered
}

// rank is 0 for orders that add replicas.
func (p *Planner) rank(o Order, input Input) int {
	for _, zone := range input.Zones {
		if zone.Name == o.Zone && o.Count < p.present(zone, o.Kind) {
			return 1
		}
	}
	return 0
}

// present is the number that a kind is to be compared with: what was ordered, or what was there
// if nothing ever was.
func (p *Planner) present(z Zone, kind Kind) int {
	if z.Ordered[kind] >= 0 {
		return z.Ordered[kind]
	}
	if kind == Stable {
		return p.peaks[z.Name]
	}
	return z.Serving[kind]
}

// notePeaks remembers how many stable replicas there were at most in a zone for which none was
// ordered: those that have crashed come back by themselves.
func (p *Planner) notePeaks(input Input) {
	for _, zone := range input.Zones {
		if zone.Ordered[Stable] < 0 {
			p.peaks[zone.Name] = max(p.peaks[zone.Name], zone.Serving[Stable])
		}
	}
}

func countStable(zones []Zone) int {
	sum := 0
	for _, zone := range zones {
		sum += zone.Serving[Stable]
	}
	return sum
}

// needed is the number of replicas that have to serve whatever is taken away: those that the
// operators hold to be enough, or that have been seen while this is being learned, and more if
// the work needs them.
func (p *Planner) needed() int { return max(p.base, p.seen, p.grown) }

// wanted is the number of each kind in each zone if all are to be had.
func (p *Planner) wanted(input Input) [][kinds]int {
	zones := len(input.Zones)
	wanted := make([][kinds]int, zones)
	needed := p.needed()
	spread := input.spread()
	if spread == 0 {
		p.wantStable(input, wanted)
		return wanted
	}
	for index, count := range shares(int(math.Ceil(float64(needed)*spread)), zones) {
		wanted[index][Stable] = input.Minimum
		wanted[index][Preemptible] = input.within(count) - input.Minimum
	}
	return wanted
}

// wantStable has only stable replicas: those that there are, and as many more or fewer as are
// needed, so that the zones come closer to each other.
func (p *Planner) wantStable(input Input, wanted [][kinds]int) {
	missing := p.needed()
	for index, zone := range input.Zones {
		count := zone.Ordered[Stable]
		if count < 0 {
			count = p.peaks[zone.Name]
		}
		wanted[index][Stable] = input.within(count)
		missing -= wanted[index][Stable]
	}
	compare := func(a, b [kinds]int) int { return cmp.Compare(a[Stable], b[Stable]) }
	for ; missing > 0; missing-- {
		least := slices.Index(wanted, slices.MinFunc(wanted, compare))
		if wanted[least][Stable] >= input.Maximum {
			return
		}
		wanted[least][Stable]++
	}
	for ; missing < 0; missing++ {
		most := slices.Index(wanted, slices.MaxFunc(wanted, compare))
		if wanted[most][Stable] <= input.Minimum {
			return
		}
		wanted[most][Stable]--
	}
}

// spread is how many preemptible replicas there have to be for each one that is needed, so that
// it is left when as many zones lose theirs as pays; 0 if none pays.
func (i Input) spread() float64 {
	zones := float64(len(i.Zones))
	best := 0.0
	for lost := 1.0; lost < zones && lost <= toleratedZones; lost++ {
		if spread := zones / (zones - lost); i.PreemptiblePrice > 0 && i.PreemptiblePrice*spread < 1 {
			best = spread
		}
	}
	return best
}

// within bounds the number of replicas of a zone.
func (i Input) within(count int) int { return min(max(count, i.Minimum), i.Maximum) }

// shares divides a number evenly over some zones.
func shares(count, zones int) []int {
	each := make([]int, zones)
	for index := range each {
		each[index] = count / zones
		if index < count%zones {
			each[index]++
		}
	}
	return each
}

// coverLosses has stable replicas take the place of what is needed and does not serve. None is
// given up before the others have served for a while.
func (p *Planner) coverLosses(now time.Duration, input Input, wanted [][kinds]int) {
	needed := p.needed()
	lacking := needed
	for index, zone := range input.Zones {
		lacking -= zone.Serving[Preemptible] + min(zone.Serving[Stable], wanted[index][Stable])
	}
	if lacking > 0 || p.base == 0 {
		p.enough = false
	} else if !p.enough {
		p.enough, p.enoughSince = true, now
	}
	if p.enough && now-p.enoughSince >= settledTime {
		return
	}
	// What serves stays, and what lacks beyond it is added where it costs least.
	for index, zone := range input.Zones {
		kept := max(wanted[index][Stable], min(zone.Serving[Stable], p.present(zone, Stable)))
		if zone.Ordered[Stable] < 0 {
			kept = max(kept, p.peaks[zone.Name])
		}
		lacking -= kept - wanted[index][Stable]
		wanted[index][Stable] = kept
	}
	if !p.losing(input) {
		return
	}
	for _, index := range byPrice(input.Zones) {
		zone := input.Zones[index]
		room := input.Maximum - wanted[index][Stable] - zone.Serving[Preemptible]
		added := min(max(lacking, 0), max(room, 0))
		wanted[index][Stable] += added
		lacking -= added
	}
}

// losing reports whether preemptible replicas that were ordered have gone or are going.
func (p *Planner) losing(input Input) bool {
	for _, zone := range input.Zones {
		if zone.Leaving[Preemptible] > 0 {
			return true
		}
	}
	return len(p.refusedUntil) > 0
}

// byPrice lists the zones by their prices, the cheapest first.
func byPrice(zones []Zone) []int {
	order := make([]int, len(zones))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(zones[a].Price, zones[b].Price) })
	return order
}

// due reports whether a number has to be ordered: it is not the one ordered before, or another
// number serves than was ordered though there was time for it to change. Without the latter, a
// lost order to give replicas up left 47 of them paid for a whole day.
func (p *Planner) due(now time.Duration, input Input, zone Zone, kind Kind, count int) (Order, bool) {
	at := subject{zone.Name, kind}
	if now < p.refusedUntil[at] {
		return Order{}, false
	}
	order := Order{Zone: zone.Name, Kind: kind, Count: count}
	if count != p.present(zone, kind) {
		order.Reason = "another number is wanted"
		return order, true
	}
	if zone.Ordered[kind] < 0 || zone.Serving[kind] == count {
		delete(p.refusedUntil, at)
		return Order{}, false
	}
	ordered, known := p.orderedAt[at]
	if known && now-ordered <= input.BootTime+listMargin {
		return Order{}, false
	}
	order.Reason = "fewer serve than were ordered"
	if zone.Serving[kind] > count {
		order.Reason = "more serve than were ordered"
	}
	return order, true
}
