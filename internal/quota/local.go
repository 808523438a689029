package quota

import "time"

// Local is what a gateway admits by itself while no coordinator answers: its part of the
// tolerance, so that all gateways together stay within it.
type Local struct {
	terms   Terms
	buckets map[string]*bucket
}

// NewLocal returns a gateway's own count.
func NewLocal(terms Terms) *Local { return &Local{terms: terms, buckets: map[string]*bucket{}} }

// Ask decides on a request, at one of a number of gateways.
func (l *Local) Ask(now time.Duration, limit Limit, gateways int, q Question) Answer {
	// What a bucket holds and what it refills within a window are half of the part each.
	part := l.terms.tolerance(limit) * gatewayShare / float64(max(gateways, 1)) / 2
	own := Limit{Rate: part / l.terms.window().Seconds(), Burst: part}
	counted, known := l.buckets[q.Account]
	if !known {
		counted = &bucket{level: part, at: now}
		l.buckets[q.Account] = counted
	}
	counted.limit = own
	answer := counted.decide(now, q, share{parts: 1, window: l.terms.window()})
	// Coordinators are back long before a small part has refilled, and know the limit.
	answer.Never = false
	return answer
}

// Keep forgets the tenants that have no limit any more.
func (l *Local) Keep(limited func(tenant string) bool) {
	for tenant := range l.buckets {
		if !limited(tenant) {
			delete(l.buckets, tenant)
		}
	}
}
