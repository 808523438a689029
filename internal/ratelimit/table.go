package ratelimit

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maximumEntries bounds a table; it exceeds the number of replicas that the largest regions are planned for.
const maximumEntries = 1 << 14

// Table holds the limits that replicas declare, as far as a process knows them. The newest response of a
// replica counts, whichever process received it.
type Table struct {
	entries map[string]entry
	// replicasHash is the hash of the replicas that declare a limit; limitsHash covers their limits too.
	replicasHash, limitsHash uint64
	// Dropped counts the reports that were discarded because the table was full.
	Dropped uint64
}

// entry is the newest limit report of a replica.
type entry struct {
	declared bool
	rate     float64
	// observedAt is when the response was received, and since when the first of the consecutive responses
	// that declared a limit was.
	observedAt, since time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]entry{}} }

// Merge merges a report unless a newer one is known, and reports whether the limit changed. A report that there is
// no limit is ignored for an unknown replica, as is any report of an unknown replica while the table is full.
func (t *Table) Merge(now time.Duration, report Report) (changed bool) {
	observedAt := now - report.Age()
	previous, found := t.entries[report.Replica]
	if found && observedAt < previous.observedAt {
		return false
	}
	if !found && (!report.Declared || len(t.entries) >= maximumEntries) {
		if report.Declared {
			t.Dropped++
		}
		return false
	}
	changed = previous.declared != report.Declared || previous.rate != report.Rate
	updated := entry{declared: report.Declared, rate: report.Rate, observedAt: observedAt, since: previous.since}
	if !previous.declared {
		updated.since = observedAt
	}
	t.entries[report.Replica] = updated
	t.rehash(report.Replica, previous, updated)
	return changed
}

// Expire deletes the replicas whose newest response came before answeredSince, if they are not listed or declare
// no limit any more. Unlisted ones are kept until then because the sender of a report may have a newer list. It
// returns the replicas that it deletes.
func (t *Table) Expire(listed func(replica string) bool, answeredSince time.Duration) (expired []string) {
	for replica, each := range t.entries {
		if (!listed(replica) || !each.declared) && each.observedAt < answeredSince {
			t.Forget(replica)
			expired = append(expired, replica)
		}
	}
	return expired
}

// Forget deletes the entry of a replica.
func (t *Table) Forget(replica string) {
	t.rehash(replica, t.entries[replica], entry{})
	delete(t.entries, replica)
}

// rehash replaces a replica's entry in the hashes. The hashes of entries are combined by XOR, independent of
// their order, so that the cost of a change does not depend on the number of entries.
func (t *Table) rehash(replica string, before, after entry) {
	t.replicasHash ^= before.replicaHash(replica) ^ after.replicaHash(replica)
	t.limitsHash ^= before.limitHash(replica) ^ after.limitHash(replica)
}

// replicaHash is the replica's part of Table.ReplicasHash, 0 if it declares no limit.
func (e entry) replicaHash(replica string) uint64 {
	if !e.declared {
		return 0
	}
	return xxhash.Sum64String(replica)
}

// limitHash is the replica's part of Table.LimitsHash, 0 if it declares no limit.
func (e entry) limitHash(replica string) uint64 {
	if !e.declared {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(replica), math.Float64bits(e.rate)))
}

// LimitsHash identifies the declared limits; 0 if there are none.
func (t *Table) LimitsHash() uint64 { return t.limitsHash }

// ReplicasHash identifies the replicas that declare a limit; 0 if there are none.
func (t *Table) ReplicasHash() uint64 { return t.replicasHash }

// Reports returns reports of all entries, including those of replicas that no longer declare a limit.
func (t *Table) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(t.entries))
	for _, replica := range slices.Sorted(maps.Keys(t.entries)) {
		report, _ := t.Report(now, replica)
		reports = append(reports, report)
	}
	return reports
}

// Report returns the report of a replica, if there is an entry of it.
func (t *Table) Report(now time.Duration, replica string) (report Report, found bool) {
	known, found := t.entries[replica]
	if !found {
		return report, false
	}
	return Report{Replica: replica, Declared: known.declared, Rate: known.rate, AgeMicros: (now - known.observedAt).Microseconds()}, true
}

// Limit is the limit that a replica declares now.
type Limit struct {
	Replica string
	Rate    float64
	// Since is when the replica began to declare a limit.
	Since time.Duration
}

// Limits returns the declared limits, sorted by replica.
func (t *Table) Limits() []Limit {
	var limits []Limit
	for _, replica := range slices.Sorted(maps.Keys(t.entries)) {
		if each := t.entries[replica]; each.declared {
			limits = append(limits, Limit{Replica: replica, Rate: each.rate, Since: each.since})
		}
	}
	return limits
}
