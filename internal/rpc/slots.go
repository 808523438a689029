package rpc

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

// slots bounds the concurrent calls to each address; calls beyond the bound
// wait for a slot.
//
// The HTTP library's own wait for a connection is not used: it looks for a free
// connection and enters its queue in two steps, and a connection that becomes
// free between them wakes no waiter.
type slots struct {
	bound int64

	mutex sync.Mutex
	// byAddress grows with the number of peers, which the settings bound.
	byAddress map[string]*semaphore.Weighted
}

func newSlots(bound int) *slots {
	return &slots{bound: int64(bound), byAddress: map[string]*semaphore.Weighted{}}
}

// acquire takes a slot of an address. It waits for one until the context ends,
// and then returns the context's error. Each successful call must be followed
// by release.
func (s *slots) acquire(ctx context.Context, address string) error {
	return s.forAddress(address).Acquire(ctx, 1)
}

// release returns a slot.
func (s *slots) release(address string) {
	s.forAddress(address).Release(1)
}

func (s *slots) forAddress(address string) *semaphore.Weighted {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.byAddress[address]
	if !found {
		known = semaphore.NewWeighted(s.bound)
		s.byAddress[address] = known
	}
	return known
}
