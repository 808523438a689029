package ratelimit

import "time"

// localShare is the share of a limit that all gateways without a pool may use together, each an equal part: the
// pools don't count it, so it has to fit in addition to what they allow.
const localShare = 0.125

// LocalLimiter limits what a gateway sends to replicas with limits while it reaches no pool. It holds a token bucket of
// one request for each replica.
type LocalLimiter struct {
	// random returns a number in [0, 1).
	random  func() float64
	buckets map[string]localBucket
}

// localBucket is a gateway's token bucket for one replica, as of a time.
type localBucket struct {
	requests float64
	at       time.Duration
}

// NewLocalLimiter returns a LocalLimiter without buckets.
func NewLocalLimiter(random func() float64) *LocalLimiter {
	return &LocalLimiter{random: random, buckets: map[string]localBucket{}}
}

// Allow reports whether a request may be sent now to a replica that declares a rate, by one of the given number
// of gateways, and otherwise after how long to ask again, at most Window.
func (l *LocalLimiter) Allow(now time.Duration, replica string, rate float64, gateways int) (granted bool, wait time.Duration) {
	refill := rate * localShare / float64(max(gateways, 1))
	bucket, known := l.buckets[replica]
	if !known {
		// A random initial level spreads the first requests of gateways that lose the pools together.
		bucket = localBucket{requests: l.random(), at: now}
	}
	bucket.requests = min(bucket.requests+refill*(now-bucket.at).Seconds(), 1)
	bucket.at = now
	granted = bucket.requests >= 1
	if granted {
		bucket.requests--
	}
	l.buckets[replica] = bucket
	if granted || refill <= 0 {
		return granted, Window
	}
	return false, max(time.Duration(min((1-bucket.requests)/refill, Window.Seconds())*float64(time.Second)), time.Nanosecond)
}

// Reset deletes all buckets, once pools are reachable again.
func (l *LocalLimiter) Reset() { clear(l.buckets) }
