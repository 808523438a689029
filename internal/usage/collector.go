package usage

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Collector holds the counts that gateways have reported to the coordinators. It is safe for concurrent use.
type Collector struct {
	mutex sync.Mutex
	// next is the first window that is not finalized.
	next    uint64
	reports map[incarnation]*report
	// revision is incremented by each call of Add.
	revision uint64
}

// incarnation identifies one run of a gateway's process.
type incarnation struct {
	gateway string
	started int64
}

// report holds what one incarnation of a gateway has reported.
type report struct {
	// upTo is the time up to which everything is reported, in nanoseconds since 1970.
	upTo int64
	// upToRevision is the collector's revision at the last change of upTo.
	upToRevision uint64
	counts       map[countKey]revisedCount
}

type countKey struct {
	window uint64
	tenant string
}

type revisedCount struct {
	count    uint32
	revision uint64
}

const (
	// maximumIncarnations bounds the incarnations that are kept. It exceeds the number of gateways of the largest
	// planned deployment, with several restarts of each within the open windows.
	maximumIncarnations = 4096
	// maximumWindowCount bounds a gateway's count for a tenant in a window. It exceeds what one machine can serve in
	// an hour.
	maximumWindowCount = 100_000_000
)

// NewCollector returns a Collector without counts.
func NewCollector() *Collector { return &Collector{reports: map[incarnation]*report{}} }

// Add records a gateway's report, and returns the number of counts that were ignored because they are invalid or a
// bound is reached.
func (c *Collector) Add(usage *region.GatewayUsage) (ignored int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.reportOf(incarnation{gateway: usage.Gateway, started: usage.Life})
	if known == nil {
		return len(usage.Counts)
	}
	c.revision++
	if usage.ToldAt > known.upTo {
		known.upTo = usage.ToldAt
		known.upToRevision = c.revision
	}
	for _, each := range usage.Counts {
		if !c.addCount(known, each) {
			ignored++
		}
	}
	return ignored
}

// addCount records a count, and reports whether it is valid and within bounds. One of a finalized window is dropped. The
// caller must hold c.mutex.
func (c *Collector) addCount(known *report, each region.UsageCount) bool {
	if each.Window < c.next {
		return true
	}
	if each.Tenant == "" || each.Count > maximumWindowCount || c.next > 0 && each.Window > c.next+maximumOpenWindows {
		return false
	}
	key := countKey{window: each.Window, tenant: each.Tenant}
	before, found := known.counts[key]
	if !found && len(known.counts) >= maximumTenants*2 {
		return false
	}
	if each.Count > before.count {
		known.counts[key] = revisedCount{count: each.Count, revision: c.revision}
	}
	return true
}

// reportOf returns the report of an incarnation, nil if there are too many incarnations. The caller must hold c.mutex.
func (c *Collector) reportOf(key incarnation) *report {
	known, found := c.reports[key]
	if found {
		return known
	}
	if len(c.reports) >= maximumIncarnations {
		return nil
	}
	known = &report{counts: map[countKey]revisedCount{}}
	c.reports[key] = known
	return known
}

// Since returns what was reported after a revision, and the current revision.
func (c *Collector) Since(revision uint64) ([]region.GatewayUsage, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var updates []region.GatewayUsage
	for key, known := range c.reports {
		usage := region.GatewayUsage{Gateway: key.gateway, Life: key.started, ToldAt: known.upTo}
		for at, each := range known.counts {
			if each.revision > revision {
				usage.Counts = append(usage.Counts, region.UsageCount{Window: at.window, Tenant: at.tenant, Count: each.count})
			}
		}
		if len(usage.Counts) > 0 || known.upToRevision > revision {
			updates = append(updates, usage)
		}
	}
	return updates, c.revision
}

// FinalizeBefore deletes the windows before next, and the incarnations without counts that have reported nothing since
// silentSince.
func (c *Collector) FinalizeBefore(next uint64, silentSince time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next = max(c.next, next)
	for key, known := range c.reports {
		for at := range known.counts {
			if at.window < c.next {
				delete(known.counts, at)
			}
		}
		if len(known.counts) == 0 && known.upTo < silentSince.UnixNano() {
			delete(c.reports, key)
		}
	}
}

// Sum returns the sums of a window's counts over all gateways, sorted by tenant.
func (c *Collector) Sum(window uint64) []region.UsageCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sums := map[string]uint32{}
	for _, known := range c.reports {
		for at, each := range known.counts {
			if at.window == window {
				sums[at.tenant] += each.count
			}
		}
	}
	counts := make([]region.UsageCount, 0, len(sums))
	for tenant, count := range sums {
		counts = append(counts, region.UsageCount{Window: window, Tenant: tenant, Count: count})
	}
	slices.SortFunc(counts, func(a, b region.UsageCount) int { return strings.Compare(a.Tenant, b.Tenant) })
	return counts
}

// OldestWindow returns the oldest window with a count, at most other.
func (c *Collector) OldestWindow(other uint64) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	oldest := other
	for _, known := range c.reports {
		for at := range known.counts {
			oldest = min(oldest, at.window)
		}
	}
	return oldest
}

// Unreported returns the given gateways that have not reported everything up to a time.
func (c *Collector) Unreported(gateways []string, until time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	latest := map[string]int64{}
	for key, known := range c.reports {
		latest[key.gateway] = max(latest[key.gateway], known.upTo)
	}
	var missing []string
	for _, gateway := range gateways {
		if latest[gateway] < until.UnixNano() {
			missing = append(missing, gateway)
		}
	}
	return missing
}
