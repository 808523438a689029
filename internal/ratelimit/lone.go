package ratelimit

import "time"

// loneShare of a limit is what all gateways that reach no pool may send, each its part: the pools
// know nothing of it, and it has to fit beside what these allow.
const loneShare = 0.125

// Lone is what a gateway sends to replicas with limits while it reaches no pool.
type Lone struct {
	// draw returns a number from 0 up to 1.
	draw  func() float64
	parts map[string]lonePart
}

// lonePart is a gateway's part of one limit, as of a time.
type lonePart struct {
	requests float64
	at       time.Duration
}

// NewLone returns an empty count.
func NewLone(draw func() float64) *Lone { return &Lone{draw: draw, parts: map[string]lonePart{}} }

// Ask reports whether a request may be sent to a replica that names a rate, by one of a number of
// gateways, and else in how long one may.
func (l *Lone) Ask(now time.Duration, replica string, rate float64, gateways int) (granted bool, wait time.Duration) {
	refill := rate * loneShare / float64(max(gateways, 1))
	part, known := l.parts[replica]
	if !known {
		// Gateways that lose the pools together begin apart: else all would send their first at once.
		part = lonePart{requests: l.draw(), at: now}
	}
	part.requests = min(part.requests+refill*(now-part.at).Seconds(), 1)
	part.at = now
	granted = part.requests >= 1
	if granted {
		part.requests--
	}
	l.parts[replica] = part
	if granted || refill <= 0 {
		return granted, Window
	}
	return false, max(time.Duration(min((1-part.requests)/refill, Window.Seconds())*float64(time.Second)), time.Nanosecond)
}

// Forget begins anew: pools are reached again.
func (l *Lone) Forget() { clear(l.parts) }
