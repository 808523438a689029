// Package usage counts the requests of tenants in windows of the region's time. A gateway counts in a Ledger and
// reports cumulative counts, so that a report that arrives twice or by two paths changes nothing. Coordinators collect
// them in a Collector, from which the leader finalizes each window once. Both are kept in memory: reported counts
// survive their gateway at the coordinators, and survive a coordinator at the gateways until the window is finalized.
package usage

import (
	"math"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// maximumOpenWindows bounds the windows that are kept until they are finalized, and so the time without a leader
	// whose counts can still be reported.
	maximumOpenWindows = 64
	// maximumTenants bounds the tenants of a window; it is the bound of a configuration.
	maximumTenants = 10_000
)

// WindowAt returns the number of the window that contains a time, counted from 1970; 0 without a length.
func WindowAt(at time.Time, length time.Duration) uint64 {
	if length <= 0 {
		return 0
	}
	return uint64(max(at.UnixNano(), 0)) / uint64(length)
}

// WindowEnd returns the end of a window.
func WindowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Ledger holds a gateway's counts. It is safe for concurrent use.
type Ledger struct {
	mutex  sync.Mutex
	length time.Duration
	// next is the first window that is not finalized.
	next    uint64
	windows map[uint64]map[string]*entry
}

// entry is a tenant's count in a window, and the part of it that a coordinator has acknowledged.
type entry struct {
	count        uint32
	acknowledged uint32
}

// NewLedger returns a Ledger with windows of a length; with length 0, it counts nothing.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, windows: map[uint64]map[string]*entry{}}
}

// Enabled reports whether the ledger counts.
func (l *Ledger) Enabled() bool { return l.length > 0 }

// CountRequest counts a tenant's request that began to run at a time of the region. Without a tenant, in a finalized
// window or with too many windows open, it does nothing.
func (l *Ledger) CountRequest(tenant string, at time.Time) {
	if !l.Enabled() || tenant == "" {
		return
	}
	window := WindowAt(at, l.length)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if window < l.next {
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

// windowOf returns the counts of a window by tenant, nil if too many windows are open. The caller must hold l.mutex.
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

// Report returns the counts that have changed since they were last acknowledged, or all if whole is set.
func (l *Ledger) Report(whole bool) []region.UsageCount {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var counts []region.UsageCount
	for window, tenants := range l.windows {
		for tenant, each := range tenants {
			if whole || each.count > each.acknowledged {
				counts = append(counts, region.UsageCount{Window: window, Tenant: tenant, Count: each.count})
			}
		}
	}
	return counts
}

// Acknowledge records that a coordinator has received a report.
func (l *Ledger) Acknowledge(counts []region.UsageCount) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range counts {
		if known := l.windows[each.Window][each.Tenant]; known != nil {
			known.acknowledged = max(known.acknowledged, each.Count)
		}
	}
}

// FinalizeBefore deletes the windows before next.
func (l *Ledger) FinalizeBefore(next uint64) {
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
