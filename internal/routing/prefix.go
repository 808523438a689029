package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// prefixIndex is this gateway's approximation of the engines' prefix caches.
// Events arrive late and with gaps, so an entry is only a hint; the engine
// itself is authoritative.
type prefixIndex struct {
	blocksPerEngine int
	engines         map[string]*engineCache
}

// engineCache approximates one engine's cache and holds the position in its
// event stream.
type engineCache struct {
	blocks      *simplelru.LRU[uint64, struct{}]
	incarnation uint64
	sequence    uint64
	// lostEvents counts the events lost since the last snapshot or reset; each
	// of them may have made one entry wrong.
	lostEvents uint64
	// snapshotRequestedAt is when a snapshot was last requested.
	snapshotRequestedAt time.Duration
}

const (
	// minimumAccuracy is the accuracy below which a snapshot is worth its size.
	minimumAccuracy = 0.9
	// minimumSnapshotInterval is the minimum time between two snapshots of an
	// engine, as each is about 10 KB.
	minimumSnapshotInterval = 20 * time.Second
)

func newPrefixIndex(blocksPerEngine int) *prefixIndex {
	return &prefixIndex{blocksPerEngine: max(blocksPerEngine, 1), engines: make(map[string]*engineCache)}
}

func (p *prefixIndex) engine(engineID string) *engineCache {
	cache, found := p.engines[engineID]
	if !found {
		cache = &engineCache{}
		cache.clear(p.blocksPerEngine)
		p.engines[engineID] = cache
	}
	return cache
}

// clear drops all entries and resets the count of lost events.
func (c *engineCache) clear(capacity int) {
	blocks, err := simplelru.NewLRU[uint64, struct{}](capacity, nil)
	if err != nil { // only for a size below 1
		panic(err)
	}
	c.blocks = blocks
	c.lostEvents = 0
}

// accuracy is a lower bound on the share of entries that are correct: 1 without
// gaps, falling towards 0 as more events are lost.
func (c *engineCache) accuracy() float64 {
	known := float64(c.blocks.Len())
	if c.lostEvents == 0 {
		return 1
	}
	return known / (known + float64(c.lostEvents))
}

// apply applies an engine's cache events.
func (p *prefixIndex) apply(engineID string, events engineapi.CacheEvents) {
	cache := p.engine(engineID)
	if events.Incarnation != cache.incarnation {
		cache.clear(p.blocksPerEngine)
		cache.incarnation = events.Incarnation
		cache.sequence = 0
	}
	if events.Snapshot != nil {
		cache.clear(p.blocksPerEngine)
		cache.sequence = events.LastSequence
		for _, block := range events.Snapshot {
			cache.blocks.Add(block, struct{}{})
		}
	}
	for _, event := range events.Events {
		cache.applyEvent(event, p.blocksPerEngine)
	}
	cache.sequence = max(cache.sequence, events.LastSequence)
}

func (c *engineCache) applyEvent(event engineapi.CacheEvent, capacity int) {
	if event.Sequence <= c.sequence {
		return
	}
	c.lostEvents += event.Sequence - c.sequence - 1
	c.sequence = event.Sequence
	switch event.Kind {
	case engineapi.CacheStored:
		c.blocks.Add(event.Block, struct{}{})
	case engineapi.CacheEvicted:
		c.blocks.Remove(event.Block)
	case engineapi.CacheCleared:
		c.clear(capacity)
	}
}

// remove drops an engine's entries and its position in the event stream.
func (p *prefixIndex) remove(engineID string) {
	delete(p.engines, engineID)
}

// cursor returns the position from which to request an engine's events. Zeros
// request a snapshot: for an engine without events so far, and when the accuracy
// is too low and no snapshot was requested within minimumSnapshotInterval.
func (p *prefixIndex) cursor(now time.Duration, engineID string) (incarnation, after uint64) {
	cache, found := p.engines[engineID]
	if !found {
		return 0, 0
	}
	if cache.accuracy() < minimumAccuracy && now-cache.snapshotRequestedAt >= minimumSnapshotInterval {
		cache.snapshotRequestedAt = now
		return 0, 0
	}
	return cache.incarnation, cache.sequence
}

// cachedTokens estimates how many of a prompt's leading tokens an engine has
// cached: the matching blocks, discounted by the accuracy.
func (p *prefixIndex) cachedTokens(engineID string, blocks []uint64) float64 {
	cache, found := p.engines[engineID]
	if !found {
		return 0
	}
	matched := 0
	for _, block := range blocks {
		if !cache.blocks.Contains(block) {
			break
		}
		matched++
	}
	return float64(promptBlockTokens(matched)) * cache.accuracy()
}
