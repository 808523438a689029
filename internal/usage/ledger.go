// Package usage counts what tenants use, by windows of the region's time. A gateway counts in a
// Ledger and tells sums, so that what comes twice or by two ways changes nothing; coordinators
// gather them in a Book, from which the leader fixes a window's counts once. Both are kept in
// memory: what a gateway has told outlives it at the coordinators, and what a coordinator has
// been told outlives it at the gateways until the window is fixed.
package usage

import (
	"math"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// maximumOpenWindows bounds the windows that are kept until they are fixed: what a region
	// without a leader can be told of later.
	maximumOpenWindows = 64
	// maximumTenants bounds the tenants of a window, as a configuration does.
	maximumTenants = 10_000
)

// WindowOf is the number of the window that a moment lies in, counted from 1970.
func WindowOf(at time.Time, length time.Duration) uint64 {
	if length <= 0 {
		return 0
	}
	return uint64(max(at.UnixNano(), 0)) / uint64(length)
}

// EndOf is when a window ends.
func EndOf(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Ledger is a gateway's count. It may be used concurrently.
type Ledger struct {
	mutex  sync.Mutex
	length time.Duration
	// next is the first window that is not fixed.
	next    uint64
	windows map[uint64]map[string]*entry
}

// entry is a tenant's count in a window, and what of it has been told.
type entry struct {
	count uint32
	told  uint32
}

// NewLedger returns a ledger of windows of a length; one of length 0 counts nothing.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, windows: map[uint64]map[string]*entry{}}
}

// Counts reports whether anything is counted.
func (l *Ledger) Counts() bool { return l.length > 0 }

// Begun counts a tenant's request that began to run at a moment of the region's time.
func (l *Ledger) Begun(tenant string, at time.Time) {
	if !l.Counts() || tenant == "" {
		return
	}
	window := WindowOf(at, l.length)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if window < l.next {
		// The window's counts can't change any more.
		return
	}
	counts := l.windowOf(window)
	if counts == nil {
		return
	}
	counted, known := counts[tenant]
	if !known {
		counted = &entry{}
		counts[tenant] = counted
	}
	if counted.count < math.MaxUint32 {
		counted.count++
	}
}

// windowOf is called with the mutex held.
func (l *Ledger) windowOf(window uint64) map[string]*entry {
	counts, known := l.windows[window]
	if known {
		return counts
	}
	if len(l.windows) >= maximumOpenWindows {
		return nil
	}
	counts = map[string]*entry{}
	l.windows[window] = counts
	return counts
}

// Report returns what has been counted since the last report that was taken, or all if whole is
// set.
func (l *Ledger) Report(whole bool) []region.UsageCount {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var counts []region.UsageCount
	for window, tenants := range l.windows {
		for tenant, each := range tenants {
			if whole || each.count > each.told {
				counts = append(counts, region.UsageCount{Window: window, Tenant: tenant, Count: each.count})
			}
		}
	}
	return counts
}

// Taken notes that a report has been taken.
func (l *Ledger) Taken(counts []region.UsageCount) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range counts {
		if known := l.windows[each.Window][each.Tenant]; known != nil {
			known.told = max(known.told, each.Count)
		}
	}
}

// Fixed forgets the windows before one.
func (l *Ledger) Fixed(next uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if next <= l.next {
		return
	}
	l.next = next
	for window := range l.windows {
		if window < next {
			delete(l.windows, window)
		}
	}
}
