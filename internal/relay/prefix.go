package relay

import (
	"container/list"
	"math"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// prefixMemory remembers the parts of prompts that a replica keeps: those read
// there, least recently used first to go, as far as they fit into its memory.
type prefixMemory struct {
	order *list.List
	parts map[string]*list.Element
	held  int
}

// unknownCapacity is assumed for replicas that don't tell their memory, in
// tokens.
const unknownCapacity = 200_000

func newPrefixMemory() *prefixMemory {
	return &prefixMemory{order: list.New(), parts: map[string]*list.Element{}}
}

// keptPart is a part with the time from which on it can be fetched.
type keptPart struct {
	PromptPart
	readyAt time.Duration
}

// list returns the parts, the one longest unused first.
func (m *prefixMemory) list() []region.PlacedPart {
	parts := make([]region.PlacedPart, 0, m.order.Len())
	for each := m.order.Back(); each != nil; each = each.Prev() {
		part := each.Value.(*keptPart)
		parts = append(parts, region.PlacedPart{ID: part.ID, Tokens: part.Tokens})
	}
	return parts
}

// learn notes that a prompt is read by a replica that can keep a number of
// tokens, and from when on others can fetch it there.
func (m *prefixMemory) learn(parts []PromptPart, capacity int, readyAt time.Duration) {
	if capacity <= 0 {
		capacity = unknownCapacity
	}
	for _, part := range parts {
		m.touch(part, readyAt)
	}
	for m.held > capacity {
		m.drop(m.order.Back())
	}
}

func (m *prefixMemory) touch(part PromptPart, readyAt time.Duration) {
	if known, found := m.parts[part.ID]; found {
		kept := known.Value.(*keptPart)
		kept.readyAt = min(kept.readyAt, readyAt)
		m.order.MoveToFront(known)
		return
	}
	m.parts[part.ID] = m.order.PushFront(&keptPart{PromptPart: part, readyAt: readyAt})
	m.held += part.Tokens
}

func (m *prefixMemory) drop(oldest *list.Element) {
	part := m.order.Remove(oldest).(*keptPart)
	delete(m.parts, part.ID)
	m.held -= part.Tokens
}

// missing returns the tokens of a prompt that have to be read: those from the
// first part on that is not kept, or about to be.
func (m *prefixMemory) missing(prompt *Prompt) int {
	return max(prompt.Tokens-m.kept(prompt, math.MaxInt64), 0)
}

// kept returns the tokens of a prompt's beginning that are ready at a time.
func (m *prefixMemory) kept(prompt *Prompt, now time.Duration) int {
	kept := 0
	for _, part := range prompt.Parts {
		known, found := m.parts[part.ID]
		if !found || known.Value.(*keptPart).readyAt > now {
			break
		}
		kept += part.Tokens
	}
	return kept
}
