package quota

import "time"

// LocalLimiter limits what a gateway admits locally, while no coordinator answers: its part of the
// tolerance, so that all gateways together stay within it.
type LocalLimiter struct {
	enforcement Enforcement
	buckets     map[string]*bucket
}

// NewLocalLimiter returns a LocalLimiter without buckets; an account's bucket begins full.
func NewLocalLimiter(enforcement Enforcement) *LocalLimiter {
	return &LocalLimiter{enforcement: enforcement, buckets: map[string]*bucket{}}
}

// Decide decides on a request; gateways is the number of gateways in the region.
func (l *LocalLimiter) Decide(now time.Duration, limit Limit, gateways int, q Query) Answer {
	// Half of the gateway's part is the bucket's capacity, and half is refilled within a window.
	bucketUnits := l.enforcement.tolerance(limit) * gatewayFraction / float64(max(gateways, 1)) / 2
	localLimit := Limit{Rate: bucketUnits / l.enforcement.window().Seconds(), Burst: bucketUnits}
	b, known := l.buckets[q.Account]
	if !known {
		b = &bucket{level: bucketUnits, updatedAt: now}
		l.buckets[q.Account] = b
	}
	b.limit = localLimit
	answer := b.decide(now, q, allowance{fraction: 1, window: l.enforcement.window()})
	// Whether a request can ever fit is decided by a coordinator, which knows the whole limit: one
	// answers again long before this small bucket has refilled.
	answer.Never = false
	return answer
}

// RemoveUnlimited deletes the buckets of tenants that no longer have a limit.
func (l *LocalLimiter) RemoveUnlimited(limited func(tenant string) bool) {
	for tenant := range l.buckets {
		if !limited(tenant) {
			delete(l.buckets, tenant)
		}
	}
}
