// Package regionclock agrees on the time of day in a region whose machines' clocks differ, and
// jump now and then: the median of all clocks, which is right as long as more than half of them
// are. It is carried on by each process's steady clock, and by how long its machine was suspended.
package regionclock

import (
	"slices"
	"sync"
	"time"
)

// Clock tells the region's time. It may be used concurrently.
type Clock struct {
	mutex     sync.Mutex
	started   time.Time
	suspended func() time.Duration
	// origin is the region's time at started.
	origin time.Time
}

// New returns a clock that tells the machine's time of day until it is set. suspended is for how
// long the machine was suspended, which the steady clock does not count.
func New(suspended func() time.Duration) *Clock {
	now := time.Now()
	return &Clock{started: now, suspended: suspended, origin: now.Round(0)}
}

// Set takes over the region's time, as it was at a moment of this process.
func (c *Clock) Set(at, region time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.origin = region.Add(-at.Sub(c.started) - c.suspended())
}

// At is the region's time at a moment of this process, which lies after the last suspension.
func (c *Clock) At(moment time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.origin.Add(moment.Sub(c.started) + c.suspended())
}

// Now is the region's time.
func (c *Clock) Now() time.Time { return c.At(time.Now()) }

// Samples are the clocks of other machines, as they were read last. They may be used concurrently.
type Samples struct {
	mutex     sync.Mutex
	started   time.Time
	suspended func() time.Duration
	read      map[string]sample
}

// sample is by how much a clock is ahead of the process's own.
type sample struct {
	ahead int64
	at    time.Duration
}

// sampleMemory is how long a clock counts after it was read last: longer than the time in which
// a gateway finds another coordinator.
const sampleMemory = 5 * time.Second

// NewSamples returns no samples. suspended is as for New.
func NewSamples(suspended func() time.Duration) *Samples {
	return &Samples{started: time.Now(), suspended: suspended, read: map[string]sample{}}
}

// passed is the time since the samples were made, suspensions included.
func (s *Samples) passed() time.Duration { return time.Since(s.started) + s.suspended() }

// Take notes the time of day, in nanoseconds since 1970, on the clock of a machine.
func (s *Samples) Take(name string, wallNanos int64) {
	if wallNanos <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	passed := s.passed()
	s.read[name] = sample{ahead: wallNanos - passed.Nanoseconds(), at: passed}
}

// Read returns what the clocks show now, in nanoseconds since 1970.
func (s *Samples) Read() []int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	passed := s.passed()
	clocks := make([]int64, 0, len(s.read))
	for name, each := range s.read {
		if passed-each.at > sampleMemory {
			delete(s.read, name)
			continue
		}
		clocks = append(clocks, each.ahead+passed.Nanoseconds())
	}
	return clocks
}

// Median returns the clock in the middle, 0 if there are none.
func Median(clocks []int64) int64 {
	if len(clocks) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(clocks))
	return sorted[len(sorted)/2]
}
