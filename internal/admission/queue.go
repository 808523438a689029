package admission

import (
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Queue is a bounded queue of the requests for one model. Priorities are strict;
// tenants of the same priority share the service by weight (start-time fair
// queueing, Goyal, Vin and Cheng, IEEE/ACM ToN 1997); a tenant's own items are
// ordered by rank.
type Queue struct {
	options Options
	items   map[string]*Item
	// levels are sorted by descending priority.
	levels []*priorityLevel
	// reviews holds the items with a deadline, ordered by their next review.
	reviews *btree.BTreeG[review]
	// virtualTime is the virtual start time of the item served last. finishTimes
	// holds for each tenant the virtual time at which its next item starts: when
	// its last item finished, or virtualTime at its last offer if that is later, so
	// that a tenant accumulates no credit while it is idle.
	virtualTime   float64
	finishTimes   map[string]float64
	itemsByTenant map[string]int
	rate          drainRate
	sequence      uint64
	// refusalRate is the moving average of the fraction of refused items.
	refusalRate float64
}

// review is the time at which to decide again whether an item stays.
type review struct {
	at   time.Duration
	item *Item
}

func reviewLess(a, b review) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.item.sequence < b.item.sequence
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	return &Queue{
		options:       options,
		items:         make(map[string]*Item),
		reviews:       btree.NewG(btreeDegree, reviewLess),
		finishTimes:   make(map[string]float64),
		itemsByTenant: make(map[string]int),
		rate:          newDrainRate(options),
	}
}

// Offer adds an item to the queue, or refuses it immediately.
func (q *Queue) Offer(now time.Duration, item *Item) *Refusal {
	q.sequence++
	item.sequence = q.sequence
	item.offeredAt = now
	if item.FirstReceivedAt <= 0 || item.FirstReceivedAt > now {
		item.FirstReceivedAt = now
	}
	refusal := q.checkBounds(item)
	if refusal == nil {
		refusal = q.checkDeadline(now, item)
	}
	if refusal != nil {
		q.recordDecision(true)
		return refusal
	}
	q.insert(now, item)
	return nil
}

// recordDecision updates the refusal rate with an item that was refused or
// served.
func (q *Queue) recordDecision(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	q.refusalRate += refusalSampleWeight * (sample - q.refusalRate)
}

// refusalSampleWeight is the weight of a new sample in the refusal rate.
const refusalSampleWeight = 1.0 / 32

// Overloaded reports whether the refusal rate shows that more requests arrive
// than can be served, and not only in a transient burst.
func (q *Queue) Overloaded() bool {
	return q.options.OverloadRefusalRate > 0 && q.refusalRate > q.options.OverloadRefusalRate
}

func (q *Queue) checkBounds(item *Item) *Refusal {
	full := len(q.items) >= q.options.MaximumItems
	tenantFull := q.itemsByTenant[item.Tenant] >= q.options.MaximumTenantItems
	if !full && !tenantFull {
		return nil
	}
	wait, _ := q.rate.drainTime(q.costAhead(item))
	return &Refusal{Kind: failure.QueueFull, RetryAfter: q.boundedRetryAfter(wait), PredictedWait: wait}
}

// checkDeadline refuses an item whose predicted wait doesn't fit its deadline. The
// slack is the time left before the deadline less the predicted service time; an
// item is refused if the slack is negative or the wait exceeds Options.Margin of it.
// A wait that can't be predicted counts as 0.
func (q *Queue) checkDeadline(now time.Duration, item *Item) *Refusal {
	if item.Deadline <= 0 {
		return nil
	}
	slack := item.Deadline - now - item.Service
	wait, known := q.rate.drainTime(q.costAhead(item))
	if !known {
		wait = 0
	}
	if slack >= 0 && float64(wait) <= q.options.Margin*float64(slack) {
		return nil
	}
	return &Refusal{
		Kind:          failure.DeadlineTooShort,
		RetryAfter:    q.boundedRetryAfter(wait - slack),
		PredictedWait: wait,
	}
}

// boundedRetryAfter limits a time to the bounds of Refusal.RetryAfter.
func (q *Queue) boundedRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, q.options.MinimumRetryAfter), q.options.MaximumRetryAfter)
}

func (q *Queue) insert(now time.Duration, item *Item) {
	q.rate.setBusy(now, true)
	q.items[item.ID] = item
	q.itemsByTenant[item.Tenant]++
	q.level(item.Priority).add(item)
	q.finishTimes[item.Tenant] = max(q.finishTimes[item.Tenant], q.virtualTime)
	if item.Deadline > 0 {
		q.reviews.ReplaceOrInsert(review{q.reviewTime(item), item})
	}
}

// reviewTime returns when an item is reviewed next: first early, and then at the
// last time at which it could be served by its deadline.
func (q *Queue) reviewTime(item *Item) time.Duration {
	if !item.reviewed {
		timeLimit := float64(item.Deadline - item.FirstReceivedAt)
		return max(item.offeredAt, item.FirstReceivedAt+time.Duration(q.options.ReviewFraction*timeLimit))
	}
	return item.Deadline - item.Service
}

func (q *Queue) level(priority int) *priorityLevel {
	index, found := slices.BinarySearchFunc(q.levels, priority, func(l *priorityLevel, wanted int) int {
		return wanted - l.priority
	})
	if !found {
		q.levels = slices.Insert(q.levels, index, newPriorityLevel(priority))
	}
	return q.levels[index]
}

// costAhead returns the cost that is served before an item: that of all higher
// priorities, and the part of its own priority that fair queueing serves first.
func (q *Queue) costAhead(item *Item) float64 {
	ahead := 0.0
	for _, level := range q.levels {
		if level.priority > item.Priority {
			ahead += level.cost
		}
		if level.priority == item.Priority {
			ahead += fairCostAhead(level, item)
		}
	}
	return ahead
}

// fairCostAhead returns the cost of the item's own priority that is served before
// it, assuming that all tenants there keep items waiting.
func fairCostAhead(level *priorityLevel, item *Item) float64 {
	tenant, found := level.tenants[item.Tenant]
	own, others := 0.0, level.totalWeight()
	if found {
		own = tenant.costBefore(item)
		others -= tenant.weight
	}
	shared := (own + item.Cost) * (others + item.weight()) / item.weight()
	return min(level.cost, max(own, shared-item.Cost))
}

// Next removes and returns the next item to serve. It calls accept for the first
// item of each tenant in order, until accept returns true; accept returns false
// for an item that can't be dispatched at present. Next returns nil if none can.
func (q *Queue) Next(now time.Duration, accept func(*Item) bool) *Item {
	for _, level := range q.levels {
		for _, tenant := range q.fairOrder(level) {
			item, _ := tenant.items.Min()
			if !accept(item) {
				continue
			}
			q.markServed(now, item)
			return item
		}
	}
	return nil
}

// fairOrder returns a level's tenants ordered by virtual finish time, then name.
func (q *Queue) fairOrder(level *priorityLevel) []*tenantQueue {
	order := make([]*tenantQueue, 0, len(level.tenants))
	for _, tenant := range level.tenants {
		order = append(order, tenant)
	}
	slices.SortFunc(order, func(a, b *tenantQueue) int {
		if q.finishTimes[a.name] != q.finishTimes[b.name] {
			if q.finishTimes[a.name] < q.finishTimes[b.name] {
				return -1
			}
			return 1
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return order
}

func (q *Queue) markServed(now time.Duration, item *Item) {
	start := max(q.finishTimes[item.Tenant], q.virtualTime)
	q.virtualTime = start
	q.finishTimes[item.Tenant] = start + item.Cost/item.weight()
	q.rate.recordServed(now, item.Cost)
	q.recordDecision(false)
	q.removeItem(now, item)
}

// Remove removes an item without serving it, for example because its caller has
// disconnected. It returns nil if there is no such item.
func (q *Queue) Remove(now time.Duration, id string) *Item {
	item, found := q.items[id]
	if !found {
		return nil
	}
	q.removeItem(now, item)
	return item
}

func (q *Queue) removeItem(now time.Duration, item *Item) {
	delete(q.items, item.ID)
	q.level(item.Priority).remove(item)
	if item.Deadline > 0 {
		q.reviews.Delete(review{q.reviewTime(item), item})
	}
	q.itemsByTenant[item.Tenant]--
	if q.itemsByTenant[item.Tenant] == 0 {
		delete(q.itemsByTenant, item.Tenant)
	}
	if len(q.items) == 0 {
		q.rate.setBusy(now, false)
		clear(q.finishTimes)
		q.virtualTime = 0
	}
}

// Expire reviews the items whose review is due, and removes and returns those
// that are refused. It is to be called at NextReview.
func (q *Queue) Expire(now time.Duration) []Refused {
	var expired []Refused
	for {
		first, found := q.reviews.Min()
		if !found || first.at > now {
			return expired
		}
		if refusal := q.review(now, first.item); refusal != nil {
			q.recordDecision(true)
			q.removeItem(now, first.item)
			expired = append(expired, Refused{Item: first.item, Refusal: *refusal})
		}
	}
}

// review decides whether an item stays in the queue; nil means that it does.
func (q *Queue) review(now time.Duration, item *Item) *Refusal {
	if item.reviewed || q.Overloaded() {
		wait, _ := q.rate.drainTime(q.costAhead(item))
		return &Refusal{Kind: failure.DeadlineTooShort, RetryAfter: q.boundedRetryAfter(wait), PredictedWait: wait}
	}
	if refusal := q.checkDeadline(now, item); refusal != nil {
		return refusal
	}
	q.reviews.Delete(review{q.reviewTime(item), item})
	item.reviewed = true
	q.reviews.ReplaceOrInsert(review{q.reviewTime(item), item})
	return nil
}

// NextReview returns the time of the next review; ok is false if there is none.
func (q *Queue) NextReview() (at time.Duration, ok bool) {
	first, found := q.reviews.Min()
	return first.at, found
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Cost returns the cost of all items, in tokens.
func (q *Queue) Cost() float64 {
	total := 0.0
	for _, level := range q.levels {
		total += level.cost
	}
	return total
}

// OldestWait returns how long the oldest item has been in the queue, 0 if the queue
// is empty.
func (q *Queue) OldestWait(now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, item := range q.items {
		oldest = max(oldest, now-item.offeredAt)
	}
	return oldest
}

// TenantLen returns the number of a tenant's items.
func (q *Queue) TenantLen(tenant string) int { return q.itemsByTenant[tenant] }

// PredictedWait returns the predicted wait of an item behind all others, 0 if the
// drain rate is not known yet.
func (q *Queue) PredictedWait() time.Duration {
	wait, _ := q.rate.drainTime(q.Cost())
	return wait
}
