package relay

import (
	"container/list"
	"math"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// prefixCache models which parts of prompts a replica has cached: those that it has processed, evicted in
// LRU order as its capacity requires.
type prefixCache struct {
	order  *list.List
	parts  map[string]*list.Element
	tokens int
}

// defaultCacheTokens is the assumed cache capacity, in tokens, of replicas for which none is configured.
const defaultCacheTokens = 200_000

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), parts: map[string]*list.Element{}}
}

// cachedPart is a part with the time from which it can be fetched.
type cachedPart struct {
	PromptPart
	readyAt time.Duration
}

// list returns the parts in LRU order, the least recently used first.
func (m *prefixCache) list() []region.PlacedPart {
	parts := make([]region.PlacedPart, 0, m.order.Len())
	for each := m.order.Back(); each != nil; each = each.Prev() {
		part := each.Value.(*cachedPart)
		parts = append(parts, region.PlacedPart{ID: part.ID, Tokens: part.Tokens})
	}
	return parts
}

// add records that a replica with a cache capacity in tokens processes the parts of a prompt, which other
// replicas can fetch from readyAt on.
func (m *prefixCache) add(parts []PromptPart, capacity int, readyAt time.Duration) {
	if capacity <= 0 {
		capacity = defaultCacheTokens
	}
	for _, part := range parts {
		m.touch(part, readyAt)
	}
	for m.tokens > capacity {
		m.evict(m.order.Back())
	}
}

func (m *prefixCache) touch(part PromptPart, readyAt time.Duration) {
	if known, found := m.parts[part.ID]; found {
		cached := known.Value.(*cachedPart)
		cached.readyAt = min(cached.readyAt, readyAt)
		m.order.MoveToFront(known)
		return
	}
	m.parts[part.ID] = m.order.PushFront(&cachedPart{PromptPart: part, readyAt: readyAt})
	m.tokens += part.Tokens
}

func (m *prefixCache) evict(oldest *list.Element) {
	part := m.order.Remove(oldest).(*cachedPart)
	delete(m.parts, part.ID)
	m.tokens -= part.Tokens
}

// uncachedTokens returns the tokens of a prompt that have to be prefilled: those from the first part that
// is neither cached nor about to be.
func (m *prefixCache) uncachedTokens(prompt *Prompt) int {
	return max(prompt.Tokens-m.cachedTokens(prompt, math.MaxInt64), 0)
}

// cachedTokens returns the tokens of a prompt's prefix that are cached at a time.
func (m *prefixCache) cachedTokens(prompt *Prompt, now time.Duration) int {
	cached := 0
	for _, part := range prompt.Parts {
		known, found := m.parts[part.ID]
		if !found || known.Value.(*cachedPart).readyAt > now {
			break
		}
		cached += part.Tokens
	}
	return cached
}
