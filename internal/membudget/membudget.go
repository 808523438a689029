// Package membudget counts the bytes that many holders keep at the same time.
package membudget

import "sync/atomic"

// Budget counts the bytes of its reservations. It is safe for concurrent use; nil counts nothing.
type Budget struct {
	held      atomic.Int64
	most      atomic.Int64
	mostOfOne atomic.Int64
}

// Held is the number of bytes reserved now.
func (b *Budget) Held() int64 { return b.held.Load() }

// Most is the highest value of Held since the start.
func (b *Budget) Most() int64 { return b.most.Load() }

// MostOfOne is the largest size of a single reservation since the start.
func (b *Budget) MostOfOne() int64 { return b.mostOfOne.Load() }

// Reserve returns an empty reservation.
func (b *Budget) Reserve() Reservation { return Reservation{budget: b} }

// Reservation is what one holder keeps. It may be used by one goroutine at a time.
type Reservation struct {
	budget *Budget
	size   int64
}

// Resize sets the number of bytes kept.
func (r *Reservation) Resize(size int64) {
	if r.budget == nil {
		return
	}
	raise(&r.budget.most, r.budget.held.Add(size-r.size))
	raise(&r.budget.mostOfOne, size)
	r.size = size
}

// Release gives all bytes back.
func (r *Reservation) Release() { r.Resize(0) }

// raise sets a maximum to a value that is above it.
func raise(maximum *atomic.Int64, value int64) {
	for {
		before := maximum.Load()
		if value <= before || maximum.CompareAndSwap(before, value) {
			return
		}
	}
}
