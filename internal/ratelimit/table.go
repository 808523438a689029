package ratelimit

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maximumEntries bounds a table, above the replicas that the largest regions are planned for.
const maximumEntries = 1 << 14

// Table is what replicas name as their limits, as far as a process knows it. Of a replica the newest
// answer counts, whoever it came to.
type Table struct {
	entries map[string]entry
	// names is the hash of the replicas that name a limit, and hash that of their limits too.
	names, hash uint64
	// Dropped counts the words for which there was no room.
	Dropped uint64
}

// entry is the newest word of a replica.
type entry struct {
	named bool
	rate  float64
	// observedAt is when the answer came, and since when the first one of those in a row that named a
	// limit did.
	observedAt, since time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]entry{}} }

// Take takes a word over unless a newer one is known, and reports whether it says something new.
func (t *Table) Take(now time.Duration, word Word) (changed bool) {
	observedAt := now - word.Age()
	known, found := t.entries[word.Replica]
	if found && observedAt < known.observedAt {
		return false
	}
	if !found && (!word.Named || len(t.entries) >= maximumEntries) {
		if word.Named {
			t.Dropped++
		}
		return false
	}
	changed = known.named != word.Named || known.rate != word.Rate
	taken := entry{named: word.Named, rate: word.Rate, observedAt: observedAt, since: known.since}
	if !known.named {
		taken.since = observedAt
	}
	t.entries[word.Replica] = taken
	t.rehash(word.Replica, known, taken)
	return changed
}

// Keep forgets the replicas of which nothing has been heard since a time, if they are not listed (who tells
// of one may have a newer list) or name no limit any more. It returns those that it forgets.
func (t *Table) Keep(listed func(replica string) bool, heardSince time.Duration) (forgotten []string) {
	for replica, each := range t.entries {
		if (!listed(replica) || !each.named) && each.observedAt < heardSince {
			t.Forget(replica)
			forgotten = append(forgotten, replica)
		}
	}
	return forgotten
}

// Forget forgets what a replica names.
func (t *Table) Forget(replica string) {
	t.rehash(replica, t.entries[replica], entry{})
	delete(t.entries, replica)
}

// rehash has an entry count in the hashes in place of what was known of its replica. Hashes of entries
// are combined in any order, so that a change costs the same however many there are.
func (t *Table) rehash(replica string, before, after entry) {
	t.names ^= before.nameHash(replica) ^ after.nameHash(replica)
	t.hash ^= before.limitHash(replica) ^ after.limitHash(replica)
}

// nameHash is the replica's part of Table.Names, 0 if it names no limit.
func (e entry) nameHash(replica string) uint64 {
	if !e.named {
		return 0
	}
	return xxhash.Sum64String(replica)
}

// limitHash is the replica's part of Table.Hash, 0 if it names no limit.
func (e entry) limitHash(replica string) uint64 {
	if !e.named {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(replica), math.Float64bits(e.rate)))
}

// Hash identifies the limits, and Names the replicas that name one; 0 if there are none.
func (t *Table) Hash() uint64 { return t.hash }

// Names identifies the replicas that name a limit.
func (t *Table) Names() uint64 { return t.names }

// Words tells all that is known, limits that are named no more too.
func (t *Table) Words(now time.Duration) []Word {
	words := make([]Word, 0, len(t.entries))
	for _, replica := range slices.Sorted(maps.Keys(t.entries)) {
		each := t.entries[replica]
		words = append(words, Word{Replica: replica, Named: each.named, Rate: each.rate, AgeMicros: (now - each.observedAt).Microseconds()})
	}
	return words
}

// Limit is what a replica names now.
type Limit struct {
	Replica string
	Rate    float64
	// Since is when it began to name a limit.
	Since time.Duration
}

// Limits lists the replicas that name a limit, by name.
func (t *Table) Limits() []Limit {
	var limits []Limit
	for _, replica := range slices.Sorted(maps.Keys(t.entries)) {
		if each := t.entries[replica]; each.named {
			limits = append(limits, Limit{Replica: replica, Rate: each.rate, Since: each.since})
		}
	}
	return limits
}
