// Package membudget bounds the bytes that many holders keep at the same time.
package membudget

import (
	"errors"
	"sync/atomic"
)

// ErrNoRoom is the error of a reservation that would grow beyond what is left free.
var ErrNoRoom = errors.New("the memory set aside is in use")

// Budget is a number of bytes for all of its reservations. Each may grow as long as it is not larger than what is left
// free: the bound of one falls as the others grow, so that a large one never takes the room of many small ones (Choudhury
// and Hahne, Dynamic queue length thresholds, 1998). It is safe for concurrent use; nil neither bounds nor counts.
type Budget struct {
	// total is in bytes, 0 for no bound.
	total     int64
	held      atomic.Int64
	most      atomic.Int64
	mostOfOne atomic.Int64
}

// New returns a budget of a number of bytes, 0 for one that only counts.
func New(total int64) *Budget { return &Budget{total: total} }

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

// Resize sets the number of bytes kept. Without room for more it returns ErrNoRoom, and the size stays.
func (r *Reservation) Resize(size int64) error {
	if r.budget == nil || size == r.size {
		return nil
	}
	if !r.budget.add(size-r.size, size) {
		return ErrNoRoom
	}
	raise(&r.budget.mostOfOne, size)
	r.size = size
	return nil
}

// Release gives all bytes back.
func (r *Reservation) Release() {
	// A reservation can always shrink.
	_ = r.Resize(0)
}

// add changes what is held for a reservation that has a size then, and reports whether there was room.
func (b *Budget) add(change, size int64) bool {
	for {
		before := b.held.Load()
		after := before + change
		if change > 0 && b.total > 0 && size > b.total-after {
			return false
		}
		if b.held.CompareAndSwap(before, after) {
			raise(&b.most, after)
			return true
		}
	}
}

// raise sets a maximum to a value that is above it.
func raise(maximum *atomic.Int64, value int64) {
	for {
		before := maximum.Load()
		if value <= before || maximum.CompareAndSwap(before, value) {
			return
		}
	}
}
