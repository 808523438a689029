package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HoldAfter is the number of replicas that must have crashed under a request before it is held. Two
	// may crash under an innocent request by bad luck: its retry can go to the same replica as that of
	// the request that crashed the first.
	HoldAfter = 3
	// DefaultHold is for how long a request that crashes replicas is held if the settings do not say:
	// after that it may find other software on the replicas, which changes a few times a week.
	DefaultHold = 24 * time.Hour
	// watchAfter is the number of crashes from which on gateways report a completion, which clears the
	// request. Without that, a request that is sent often, and during a crash now and then, would be
	// held in the end.
	watchAfter = 2
	// MaximumRecords bounds the records, and MaximumCrashes the replicas that are kept for each: 2,048
	// records of at most 600 bytes are 1.2 MB.
	MaximumRecords = 2048
	MaximumCrashes = 64
	// burstSize replicas that crash within burstWindow more likely have a common cause than each a
	// poison request of its own, so that a crash in such a burst has half the weight of another.
	// Without this rule, 32 in 100,000 innocent requests with up to 9 tries were held where half of 18
	// replicas crashed every 5 s (TestInnocentRequestsAreServed).
	burstSize   = 5
	burstWindow = 300 * time.Millisecond
	// maximumRecentCrashes and maximumBurstCrashes bound the replicas that are kept to detect bursts:
	// 12 KB.
	maximumRecentCrashes = 512
	maximumBurstCrashes  = 512
	// maximumUnwatched bounds the digests that are kept as no longer watched; a gateway whose revision
	// is older than these gets the complete list.
	maximumUnwatched = 512
)

// Apply applies a command at a log position; positions increase from command to command.
func (s *State) Apply(position uint64, command *Command) {
	change := &stateChange{State: s, position: position, at: command.At, records: slices.Clone(s.Records), unwatched: slices.Clone(s.Unwatched)}
	if command.ForgetBefore > 0 {
		change.deleteExpired(command.ForgetBefore)
	}
	attributed := change.attributedCrashes()
	for _, crash := range command.Crashes {
		replica := xxhash.Sum64String(crash.Replica)
		change.recordRecentCrash(replica)
		for _, digest := range crash.Requests {
			change.addCrash(digest, replica, attributed.covers(digest, replica))
		}
	}
	for _, digest := range command.Completions {
		change.remove(digest)
	}
	for _, digest := range command.Hold {
		change.hold(digest)
	}
	for _, digest := range command.HeldElsewhere {
		change.holdFromElsewhere(digest)
	}
	for _, digest := range command.Release {
		change.remove(digest)
	}
	change.finish()
}

// stateChange is the change that one command makes to a State.
type stateChange struct {
	*State
	position  uint64
	at        int64
	records   []Record
	unwatched []UnwatchedRecord
}

// finish stores the changed records in the State.
func (c *stateChange) finish() {
	if excess := len(c.unwatched) - maximumUnwatched; excess > 0 {
		c.UnwatchedSince = c.unwatched[excess-1].Revision
		c.unwatched = c.unwatched[excess:]
	}
	c.Records, c.Unwatched = c.records, c.unwatched
}

func compareDigest(record Record, digest Digest) int {
	return bytes.Compare(record.Digest[:], digest[:])
}

func find(records []Record, digest Digest) (int, bool) {
	return slices.BinarySearchFunc(records, digest, compareDigest)
}

// markChanged marks a record as changed, so that gateways learn of it.
func (c *stateChange) markChanged(record *Record) {
	record.Revision = c.position
	c.Revision = c.position
}

// recordRecentCrash records that a replica has crashed, and whether it belongs to a burst.
func (c *stateChange) recordRecentCrash(replica uint64) {
	found := slices.ContainsFunc(c.RecentCrashes, func(crash RecentCrash) bool { return crash.Replica == replica })
	if found {
		return
	}
	recent := slices.DeleteFunc(slices.Clone(c.RecentCrashes), func(crash RecentCrash) bool { return c.at-crash.At > burstWindow.Nanoseconds() })
	if len(recent) >= maximumRecentCrashes {
		recent = recent[1:]
	}
	recent = append(recent, RecentCrash{Replica: replica, At: c.at})
	c.RecentCrashes = recent
	if len(recent) >= burstSize {
		c.recordBurst(recent)
	}
}

// recordBurst records that replicas have crashed together. If some of them belong to a burst already,
// the others join it.
func (c *stateChange) recordBurst(crashes []RecentCrash) {
	bursts := slices.Clone(c.BurstCrashes)
	burst := c.position
	var added []uint64
	for _, crash := range crashes {
		at := slices.IndexFunc(bursts, func(known BurstCrash) bool { return known.Replica == crash.Replica })
		if at < 0 {
			added = append(added, crash.Replica)
			continue
		}
		burst = bursts[at].Burst
	}
	for _, replica := range added {
		bursts = append(bursts, BurstCrash{Replica: replica, Burst: burst})
	}
	c.BurstCrashes = bursts[max(0, len(bursts)-maximumBurstCrashes):]
}

// attributedCrashes are the replicas that have crashed under held requests, and those that have crashed under held parts.
type attributedCrashes struct{ underAny, underParts map[uint64]bool }

func (c *stateChange) attributedCrashes() attributedCrashes {
	attributed := attributedCrashes{underAny: map[uint64]bool{}, underParts: map[uint64]bool{}}
	for _, record := range c.records {
		if record.HeldAt == 0 {
			continue
		}
		for _, crash := range record.Crashes {
			attributed.underAny[crash] = true
			if record.Digest.IsPart() {
				attributed.underParts[crash] = true
			}
		}
	}
	return attributed
}

// covers reports whether a crash is put down to what is held, so that it is no evidence against a digest. A crash under a held
// content may still be due to one of its parts.
func (a attributedCrashes) covers(digest Digest, replica uint64) bool {
	if digest.IsPart() {
		return a.underParts[replica]
	}
	return a.underAny[replica]
}

// addCrash records that a replica has crashed under a request. attributed says that the crash is put down to another one.
func (c *stateChange) addCrash(digest Digest, replica uint64, attributed bool) {
	at, found := find(c.records, digest)
	if found && slices.Contains(c.records[at].Crashes, replica) {
		return
	}
	if attributed && (!found || c.records[at].HeldAt == 0) {
		// The held request has crashed the replica; this one only ran beside it.
		return
	}
	if !found {
		c.makeRoom()
		at, _ = find(c.records, digest)
		c.records = slices.Insert(c.records, at, Record{Digest: digest, FirstAt: c.at})
	}
	record := &c.records[at]
	record.Crashes = append(slices.Clip(record.Crashes), replica)
	if len(record.Crashes) > MaximumCrashes {
		record.Crashes = record.Crashes[1:]
	}
	record.Total++
	record.LastAt = c.at
	if len(record.Crashes) >= HoldAfter && record.SufficientAt == 0 {
		record.SufficientAt = c.at
	}
	count := len(record.Crashes)
	if count == watchAfter || count == HoldAfter || digest.IsPart() && count >= jointAfter {
		c.markChanged(record)
	}
}

// holdFromElsewhere holds a request that is held elsewhere, whatever the evidence here.
func (c *stateChange) holdFromElsewhere(digest Digest) {
	if _, found := find(c.records, digest); !found {
		c.makeRoom()
		at, _ := find(c.records, digest)
		c.records = slices.Insert(c.records, at, Record{Digest: digest, FirstAt: c.at, LastAt: c.at})
	}
	c.hold(digest)
}

// hold holds a request. Replicas that have crashed under it no longer count as evidence against others.
func (c *stateChange) hold(digest Digest) {
	at, found := find(c.records, digest)
	if !found || c.records[at].HeldAt != 0 {
		return
	}
	c.records[at].HeldAt = c.at
	c.markChanged(&c.records[at])
	crashes := c.records[at].Crashes
	remaining := c.records[:0]
	for _, record := range c.records {
		if record.HeldAt == 0 && (digest.IsPart() || !record.Digest.IsPart()) {
			record = c.withoutCrashes(record, crashes)
		}
		if record.HeldAt != 0 || len(record.Crashes) > 0 {
			remaining = append(remaining, record)
		}
	}
	c.records = remaining
}

// withoutCrashes returns a record without some of its crashes.
func (c *stateChange) withoutCrashes(record Record, crashes []uint64) Record {
	remaining := slices.DeleteFunc(slices.Clone(record.Crashes), func(crash uint64) bool { return slices.Contains(crashes, crash) })
	before := record
	record.Crashes = remaining
	if len(remaining) < HoldAfter {
		record.SufficientAt = 0
	}
	switch {
	case before.watched() && !record.watched():
		c.markUnwatched(record.Digest)
	case before.onProbation() && !record.onProbation():
		c.markChanged(&record)
	}
	return record
}

// markUnwatched records that gateways need not watch a digest any more.
func (c *stateChange) markUnwatched(digest Digest) {
	c.Revision = c.position
	c.unwatched = append(c.unwatched, UnwatchedRecord{Digest: digest, Revision: c.position})
}

// remove deletes the record of a request.
func (c *stateChange) remove(digest Digest) {
	at, found := find(c.records, digest)
	if !found {
		return
	}
	if c.records[at].watched() {
		c.markUnwatched(digest)
	}
	c.records = slices.Delete(c.records, at, at+1)
}

// watched reports whether gateways have to watch the request.
func (r *Record) watched() bool { return r.HeldAt != 0 || len(r.Crashes) >= watchAfter }

// onProbation reports whether as many replicas have crashed under the request as are needed to hold it,
// though other requests may be the cause.
func (r *Record) onProbation() bool { return r.HeldAt == 0 && len(r.Crashes) >= r.probationAfter() }

// probationAfter returns the number of crashes from which on a request is on probation. It is higher for a part, which is in
// many requests.
func (r *Record) probationAfter() int {
	if r.Digest.IsPart() {
		return jointAfter
	}
	return HoldAfter
}

// makeRoom drops a record if there are MaximumRecords: of those that are not held, the oldest with the
// fewest crashes; a held one only if all are held.
func (c *stateChange) makeRoom() {
	if len(c.records) < MaximumRecords {
		return
	}
	least := slices.MinFunc(c.records, func(a, b Record) int {
		switch {
		case (a.HeldAt != 0) != (b.HeldAt != 0):
			return compareResult(a.HeldAt != 0)
		case a.HeldAt == 0 && len(a.Crashes) != len(b.Crashes):
			return len(a.Crashes) - len(b.Crashes)
		default:
			return compareResult(a.LastAt > b.LastAt)
		}
	})
	c.Dropped++
	c.remove(least.Digest)
}

// compareResult returns the result of a comparison function: 1 if the first value is the greater one,
// otherwise -1.
func compareResult(greater bool) int {
	if greater {
		return 1
	}
	return -1
}

// deleteExpired deletes evidence from before a time. A request whose hold has expired may be sent
// again, but is held as soon as one more replica crashes under it.
func (c *stateChange) deleteExpired(before int64) {
	remaining := c.records[:0]
	for _, record := range c.records {
		switch {
		case max(record.LastAt, record.HeldAt) >= before:
		case record.HeldAt == 0:
			if record.watched() {
				c.markUnwatched(record.Digest)
			}
			continue
		default:
			record.HeldAt, record.SufficientAt, record.LastAt = 0, 0, c.at
			record.Crashes = placeholderCrashes(record.Digest)
			c.markChanged(&record)
		}
		remaining = append(remaining, record)
	}
	c.records = remaining
}

// placeholderCrashes replace the evidence of an expired hold: one crash fewer than are needed to hold
// the request, none of them shared with another request.
func placeholderCrashes(digest Digest) []uint64 {
	crashes := make([]uint64, HoldAfter-1)
	for index := range crashes {
		crashes[index] = xxhash.Sum64(append(digest[:], byte(index)))
	}
	return crashes
}

// HasExpired reports whether a command with this ForgetBefore would change anything.
func (s *State) HasExpired(before int64) bool {
	return slices.ContainsFunc(s.Records, func(r Record) bool { return max(r.LastAt, r.HeldAt) < before })
}

// NewsSince returns what a gateway at a revision has to learn, nil if nothing. A gateway at a later
// revision than this State has learned it from a replica of the State that is ahead of this one.
func (s *State) NewsSince(revision uint64) *News {
	if revision >= s.Revision {
		return nil
	}
	bursts := s.bursts()
	update := &News{Revision: s.Revision, Complete: revision == 0 || revision < s.UnwatchedSince}
	for _, record := range s.Records {
		if record.watched() && (update.Complete || record.Revision > revision) {
			update.Entries = append(update.Entries, NewsEntry{Digest: record.Digest, Held: record.HeldAt != 0, OnProbation: bursts.onProbation(&record)})
		}
	}
	update.Joint = s.jointSuspects(bursts)
	if update.Complete {
		return update
	}
	for _, unwatched := range s.Unwatched {
		if at, found := find(s.Records, unwatched.Digest); unwatched.Revision > revision && (!found || !s.Records[at].watched()) {
			update.Unwatched = append(update.Unwatched, unwatched.Digest)
		}
	}
	return update
}

// Find returns the record of a request.
func (s *State) Find(digest Digest) (Record, bool) {
	at, found := find(s.Records, digest)
	if !found {
		return Record{}, false
	}
	return s.Records[at], true
}

// HeldDigests returns the digests of the held requests.
func (s *State) HeldDigests() []Digest {
	var held []Digest
	for _, record := range s.Records {
		if record.HeldAt != 0 {
			held = append(held, record.Digest)
		}
	}
	return held
}

// Holds reports whether a request is held.
func (s *State) Holds(digest Digest) bool {
	record, _ := s.Find(digest)
	return record.HeldAt != 0
}

// Held lists the held requests, the most recently held first.
func (s *State) Held() []Held {
	records := slices.DeleteFunc(slices.Clone(s.Records), func(r Record) bool { return r.HeldAt == 0 })
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(b.HeldAt, a.HeldAt) })
	held := make([]Held, 0, len(records))
	for _, record := range records {
		held = append(held, Held{
			Digest: record.Digest.String(), Replicas: int(record.Total),
			FirstCrash: formatTime(record.FirstAt), LastCrash: formatTime(record.LastAt), Since: formatTime(record.HeldAt),
		})
	}
	return held
}

// formatTime formats nanoseconds since 1970 (RFC 3339, UTC).
func formatTime(nanos int64) string { return time.Unix(0, nanos).UTC().Format(time.RFC3339) }
