// Package regionclock keeps a common time of day in a region whose machines' clocks differ and
// occasionally jump. The region's time is the median of all clocks, which is right as long as more
// than half of them are. Between updates each process advances it by its monotonic clock and by the
// time for which its machine was suspended.
package regionclock

import (
	"slices"
	"sync"
	"time"
)

// Clock holds the region's time. It is safe for concurrent use.
type Clock struct {
	mutex     sync.Mutex
	started   time.Time
	suspended func() time.Duration
	// origin is the region's time at started.
	origin time.Time
}

// New returns a clock that shows the machine's time of day until it is set. suspended returns for
// how long the machine was suspended, which the monotonic clock does not count.
func New(suspended func() time.Duration) *Clock {
	now := time.Now()
	return &Clock{started: now, suspended: suspended, origin: now.Round(0)}
}

// Set sets the clock to the region's time, which was region when the local time was at.
func (c *Clock) Set(at, region time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.origin = region.Add(-at.Sub(c.started) - c.suspended())
}

// At returns the region's time at a local time, which must lie after the last suspension.
func (c *Clock) At(moment time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.origin.Add(moment.Sub(c.started) + c.suspended())
}

// Now returns the region's present time.
func (c *Clock) Now() time.Time { return c.At(time.Now()) }

// Samples holds the newest reading of each other machine's clock. It is safe for concurrent use.
type Samples struct {
	mutex     sync.Mutex
	started   time.Time
	suspended func() time.Duration
	newest    map[string]sample
}

// sample is one reading of a machine's clock.
type sample struct {
	// ahead is the reading minus the time since the Samples were created, in nanoseconds; at is that
	// time at the reading.
	ahead int64
	at    time.Duration
}

// sampleLifetime is for how long a reading is used. It is longer than the time that a gateway takes
// to find another coordinator.
const sampleLifetime = 5 * time.Second

// NewSamples returns an empty set of samples. suspended is as for New.
func NewSamples(suspended func() time.Duration) *Samples {
	return &Samples{started: time.Now(), suspended: suspended, newest: map[string]sample{}}
}

// elapsed returns the time since s was created, including suspensions.
func (s *Samples) elapsed() time.Duration { return time.Since(s.started) + s.suspended() }

// Record records the reading of a machine's clock, in nanoseconds since 1970. A reading of 0 or less is
// ignored: the machine has reported none.
func (s *Samples) Record(name string, wallNanos int64) {
	if wallNanos <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	elapsed := s.elapsed()
	s.newest[name] = sample{ahead: wallNanos - elapsed.Nanoseconds(), at: elapsed}
}

// Read returns the present times of the clocks, in nanoseconds since 1970. It extrapolates each reading
// and drops those that are too old.
func (s *Samples) Read() []int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	elapsed := s.elapsed()
	clocks := make([]int64, 0, len(s.newest))
	for name, taken := range s.newest {
		if elapsed-taken.at > sampleLifetime {
			delete(s.newest, name)
			continue
		}
		clocks = append(clocks, taken.ahead+elapsed.Nanoseconds())
	}
	return clocks
}

// Median returns the median, the upper one of an even number, or 0 if there are no clocks.
func Median(clocks []int64) int64 {
	if len(clocks) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(clocks))
	return sorted[len(sorted)/2]
}
