package usage

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Book is what coordinators know of the gateways' counts. It may be used concurrently.
type Book struct {
	mutex sync.Mutex
	// next is the first window that is not fixed.
	next  uint64
	lives map[life]*told
	// revision grows with each count that is new here.
	revision uint64
}

// life is one life of a gateway.
type life struct {
	gateway string
	started int64
}

// told is what a gateway has told in one life.
type told struct {
	at int64
	// atRevision is the book's revision when at last changed.
	atRevision uint64
	counts     map[countKey]revisedCount
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
	// maximumLives bounds the lives that are remembered: over the target's gateways with some
	// restarts of each within the windows that are open.
	maximumLives = 4096
	// maximumWindowCount bounds what one gateway may count for a tenant in a window: more than
	// a machine can serve in an hour.
	maximumWindowCount = 100_000_000
)

// NewBook returns an empty book.
func NewBook() *Book { return &Book{lives: map[life]*told{}} }

// Take notes what a gateway has told. It reports how many counts were ignored since they can't
// be true or there is no room for them.
func (b *Book) Take(usage *region.GatewayUsage) (ignored int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.lifeOf(life{gateway: usage.Gateway, started: usage.Life})
	if known == nil {
		return len(usage.Counts)
	}
	b.revision++
	if usage.ToldAt > known.at {
		known.at = usage.ToldAt
		known.atRevision = b.revision
	}
	for _, each := range usage.Counts {
		if !b.take(known, each) {
			ignored++
		}
	}
	return ignored
}

// take is called with the mutex held.
func (b *Book) take(known *told, each region.UsageCount) bool {
	if each.Window < b.next {
		return true
	}
	if each.Tenant == "" || each.Count > maximumWindowCount || b.next > 0 && each.Window > b.next+maximumOpenWindows {
		return false
	}
	key := countKey{window: each.Window, tenant: each.Tenant}
	before, found := known.counts[key]
	if !found && len(known.counts) >= maximumTenants*2 {
		return false
	}
	if each.Count > before.count {
		known.counts[key] = revisedCount{count: each.Count, revision: b.revision}
	}
	return true
}

// lifeOf is called with the mutex held.
func (b *Book) lifeOf(key life) *told {
	known, found := b.lives[key]
	if found {
		return known
	}
	if len(b.lives) >= maximumLives {
		return nil
	}
	known = &told{counts: map[countKey]revisedCount{}}
	b.lives[key] = known
	return known
}

// Since returns what has been told after a revision, and the revision up to which it goes.
func (b *Book) Since(revision uint64) ([]region.GatewayUsage, uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var news []region.GatewayUsage
	for key, known := range b.lives {
		usage := region.GatewayUsage{Gateway: key.gateway, Life: key.started, ToldAt: known.at}
		for at, each := range known.counts {
			if each.revision > revision {
				usage.Counts = append(usage.Counts, region.UsageCount{Window: at.window, Tenant: at.tenant, Count: each.count})
			}
		}
		if len(usage.Counts) > 0 || known.atRevision > revision {
			news = append(news, usage)
		}
	}
	return news, b.revision
}

// Fixed forgets the windows before one, and the lives that have told nothing since a moment.
func (b *Book) Fixed(next uint64, silentSince time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.next = max(b.next, next)
	for key, known := range b.lives {
		for at := range known.counts {
			if at.window < b.next {
				delete(known.counts, at)
			}
		}
		if len(known.counts) == 0 && known.at < silentSince.UnixNano() {
			delete(b.lives, key)
		}
	}
}

// Sum adds up a window's counts, sorted by tenant.
func (b *Book) Sum(window uint64) []region.UsageCount {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sums := map[string]uint32{}
	for _, known := range b.lives {
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

// Oldest is the first window that something has been told of, or another one if that lies before.
func (b *Book) Oldest(other uint64) uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	oldest := other
	for _, known := range b.lives {
		for at := range known.counts {
			oldest = min(oldest, at.window)
		}
	}
	return oldest
}

// Missing returns those of some gateways that have not told everything up to a moment.
func (b *Book) Missing(gateways []string, until time.Time) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	latest := map[string]int64{}
	for key, known := range b.lives {
		latest[key.gateway] = max(latest[key.gateway], known.at)
	}
	var missing []string
	for _, gateway := range gateways {
		if latest[gateway] < until.UnixNano() {
			missing = append(missing, gateway)
		}
	}
	return missing
}
