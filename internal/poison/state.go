package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HoldAfter is the number of replicas that a request may end before it is held. Two may end
	// under an innocent request by bad luck: it is sent on with the one that ended the first.
	HoldAfter = 3
	// DefaultHold is for how long a request that ends replicas is held, if the settings do not
	// say: what it meets there changes with their software, some times a week.
	DefaultHold = 24 * time.Hour
	// watchAfter is the number from which on gateways tell of a good end, which clears the
	// request: one that comes often meets an end now and then, and would be held some day.
	watchAfter = 2
	// MaximumRecords bounds the requests that are known, and MaximumEnds the replicas that are
	// known of each: 2,048 records of at most 600 bytes are 1.2 MB.
	MaximumRecords = 2048
	MaximumEnds    = 64
	// crowdSize replicas that end within crowdWindow end for a cause that they share more likely than
	// each under a request of its own: one end among them is half of the evidence of another. Where
	// half of 18 replicas crash every 5 s, 32 in 100,000 innocent requests with up to 9 tries were held
	// without it (TestInnocentRequestsAreServed).
	crowdSize   = 5
	crowdWindow = 300 * time.Millisecond
	// maximumRecent and maximumCrowd bound the replicas that are known of these: 12 KB.
	maximumRecent = 512
	maximumCrowd  = 512
	// maximumFreed bounds the digests that are known to have gone; a gateway that knows less is
	// told everything.
	maximumFreed = 512
)

// Apply applies a command at a position, which grows from command to command.
func (s *State) Apply(position uint64, command *Command) {
	change := &stateChange{State: s, position: position, at: command.At, records: slices.Clone(s.Records), freed: slices.Clone(s.Freed)}
	if command.ForgetBefore > 0 {
		change.forget(command.ForgetBefore)
	}
	explained := change.explained()
	for _, end := range command.Ends {
		replica := xxhash.Sum64String(end.Replica)
		change.noteEnd(replica)
		for _, digest := range end.Under {
			change.ended(digest, replica, explained)
		}
	}
	for _, digest := range command.RanWell {
		change.remove(digest)
	}
	for _, digest := range command.Hold {
		change.hold(digest)
	}
	for _, digest := range command.HeldElsewhere {
		change.holdAsOthers(digest)
	}
	for _, digest := range command.Release {
		change.remove(digest)
	}
	change.finish()
}

// stateChange is one command's change of a State.
type stateChange struct {
	*State
	position uint64
	at       int64
	records  []Record
	freed    []FreedRecord
}

// finish puts the change in force.
func (c *stateChange) finish() {
	if excess := len(c.freed) - maximumFreed; excess > 0 {
		c.FreedSince = c.freed[excess-1].Revision
		c.freed = c.freed[excess:]
	}
	c.Records, c.Freed = c.records, c.freed
}

func compareDigest(record Record, digest Digest) int {
	return bytes.Compare(record.Digest[:], digest[:])
}

func find(records []Record, digest Digest) (int, bool) {
	return slices.BinarySearchFunc(records, digest, compareDigest)
}

// shown notes that gateways have to know the record as it is now.
func (c *stateChange) shown(record *Record) {
	record.Revision = c.position
	c.Revision = c.position
}

// noteEnd notes that a replica has ended, and whether it is one of a crowd.
func (c *stateChange) noteEnd(replica uint64) {
	known := slices.ContainsFunc(c.Recent, func(end ReplicaEnd) bool { return end.Replica == replica })
	if known {
		return
	}
	recent := slices.DeleteFunc(slices.Clone(c.Recent), func(end ReplicaEnd) bool { return c.at-end.At > crowdWindow.Nanoseconds() })
	if len(recent) >= maximumRecent {
		recent = recent[1:]
	}
	recent = append(recent, ReplicaEnd{Replica: replica, At: c.at})
	c.Recent = recent
	if len(recent) >= crowdSize {
		c.noteCrowd(recent)
	}
}

// noteCrowd notes that replicas have ended together.
func (c *stateChange) noteCrowd(ends []ReplicaEnd) {
	crowds := slices.Clone(c.Crowds)
	number := c.position
	var added []uint64
	for _, end := range ends {
		at := slices.IndexFunc(crowds, func(known CrowdEnd) bool { return known.Replica == end.Replica })
		if at < 0 {
			added = append(added, end.Replica)
			continue
		}
		number = crowds[at].Crowd
	}
	for _, replica := range added {
		crowds = append(crowds, CrowdEnd{Replica: replica, Crowd: number})
	}
	c.Crowds = crowds[max(0, len(crowds)-maximumCrowd):]
}

// explained are the replicas that have ended under requests that are held.
func (c *stateChange) explained() map[uint64]bool {
	explained := map[uint64]bool{}
	for _, record := range c.records {
		if record.HeldAt == 0 {
			continue
		}
		for _, end := range record.Ends {
			explained[end] = true
		}
	}
	return explained
}

// ended notes that a replica has ended under a request.
func (c *stateChange) ended(digest Digest, replica uint64, explained map[uint64]bool) {
	at, found := find(c.records, digest)
	if found && slices.Contains(c.records[at].Ends, replica) {
		return
	}
	if explained[replica] && (!found || c.records[at].HeldAt == 0) {
		// The request that is held has ended it, and this one was beside it.
		return
	}
	if !found {
		c.makeRoom()
		at, _ = find(c.records, digest)
		c.records = slices.Insert(c.records, at, Record{Digest: digest, FirstAt: c.at})
	}
	record := &c.records[at]
	record.Ends = append(slices.Clip(record.Ends), replica)
	if len(record.Ends) > MaximumEnds {
		record.Ends = record.Ends[1:]
	}
	record.Total++
	record.LastAt = c.at
	if len(record.Ends) >= HoldAfter && record.DueAt == 0 {
		record.DueAt = c.at
	}
	if len(record.Ends) == watchAfter || len(record.Ends) == HoldAfter {
		c.shown(record)
	}
}

// holdAsOthers holds a request that others hold, whatever is known of it here.
func (c *stateChange) holdAsOthers(digest Digest) {
	if _, found := find(c.records, digest); !found {
		c.makeRoom()
		at, _ := find(c.records, digest)
		c.records = slices.Insert(c.records, at, Record{Digest: digest, FirstAt: c.at, LastAt: c.at})
	}
	c.hold(digest)
}

// hold holds a request. Replicas that have ended under it are no evidence against others.
func (c *stateChange) hold(digest Digest) {
	at, found := find(c.records, digest)
	if !found || c.records[at].HeldAt != 0 {
		return
	}
	c.records[at].HeldAt = c.at
	c.shown(&c.records[at])
	ends := c.records[at].Ends
	kept := c.records[:0]
	for _, record := range c.records {
		if record.HeldAt == 0 {
			record = c.without(record, ends)
		}
		if record.HeldAt != 0 || len(record.Ends) > 0 {
			kept = append(kept, record)
		}
	}
	c.records = kept
}

// without returns a record without some of its ends.
func (c *stateChange) without(record Record, ends []uint64) Record {
	left := slices.DeleteFunc(slices.Clone(record.Ends), func(end uint64) bool { return slices.Contains(ends, end) })
	before := record
	record.Ends = left
	if len(left) < HoldAfter {
		record.DueAt = 0
	}
	switch {
	case before.watched() && !record.watched():
		c.free(record.Digest)
	case before.onProbation() && !record.onProbation():
		c.shown(&record)
	}
	return record
}

// free notes that gateways need not know a digest any more.
func (c *stateChange) free(digest Digest) {
	c.Revision = c.position
	c.freed = append(c.freed, FreedRecord{Digest: digest, Revision: c.position})
}

// remove forgets a request.
func (c *stateChange) remove(digest Digest) {
	at, found := find(c.records, digest)
	if !found {
		return
	}
	if c.records[at].watched() {
		c.free(digest)
	}
	c.records = slices.Delete(c.records, at, at+1)
}

// watched reports whether gateways have to know the request.
func (r *Record) watched() bool { return r.HeldAt != 0 || len(r.Ends) >= watchAfter }

// onProbation reports whether there is enough evidence to hold the request, which others may share.
func (r *Record) onProbation() bool { return r.HeldAt == 0 && len(r.Ends) >= HoldAfter }

// makeRoom gives a record up if there are as many as there may be: the one with the least
// evidence, of these the oldest; one that is held only if all are.
func (c *stateChange) makeRoom() {
	if len(c.records) < MaximumRecords {
		return
	}
	least := slices.MinFunc(c.records, func(a, b Record) int {
		switch {
		case (a.HeldAt != 0) != (b.HeldAt != 0):
			return order(a.HeldAt != 0)
		case a.HeldAt == 0 && len(a.Ends) != len(b.Ends):
			return len(a.Ends) - len(b.Ends)
		default:
			return order(a.LastAt > b.LastAt)
		}
	})
	c.Dropped++
	c.remove(least.Digest)
}

// order is what a comparison returns: 1 if the first is the greater one.
func order(greater bool) int {
	if greater {
		return 1
	}
	return -1
}

// forget forgets evidence that is older than a time. A request whose hold has lapsed may be
// sent again, but is held as soon as it ends one more replica.
func (c *stateChange) forget(before int64) {
	kept := c.records[:0]
	for _, record := range c.records {
		switch {
		case max(record.LastAt, record.HeldAt) >= before:
		case record.HeldAt == 0:
			if record.watched() {
				c.free(record.Digest)
			}
			continue
		default:
			record.HeldAt, record.DueAt, record.LastAt = 0, 0, c.at
			record.Ends = lapsedEnds(record.Digest)
			c.shown(&record)
		}
		kept = append(kept, record)
	}
	c.records = kept
}

// lapsedEnds stand for the evidence of a hold that has lapsed: one less than is needed, shared with no
// other request.
func lapsedEnds(digest Digest) []uint64 {
	ends := make([]uint64, HoldAfter-1)
	for index := range ends {
		ends[index] = xxhash.Sum64(append(digest[:], byte(index)))
	}
	return ends
}

// Lapsed reports whether a command that forgets what is older than a time would change anything.
func (s *State) Lapsed(before int64) bool {
	return slices.ContainsFunc(s.Records, func(r Record) bool { return max(r.LastAt, r.HeldAt) < before })
}

// NewsSince is what a gateway has to know that knows a revision; nil if nothing. A gateway that
// knows more has heard of it from a replica of the state that is ahead of this one.
func (s *State) NewsSince(revision uint64) *News {
	if revision >= s.Revision {
		return nil
	}
	news := &News{Revision: s.Revision, Whole: revision == 0 || revision < s.FreedSince}
	for _, record := range s.Records {
		if record.watched() && (news.Whole || record.Revision > revision) {
			news.Entries = append(news.Entries, NewsEntry{Digest: record.Digest, Held: record.HeldAt != 0, OnProbation: record.onProbation()})
		}
	}
	if news.Whole {
		return news
	}
	for _, freed := range s.Freed {
		if at, back := find(s.Records, freed.Digest); freed.Revision > revision && (!back || !s.Records[at].watched()) {
			news.Freed = append(news.Freed, freed.Digest)
		}
	}
	return news
}

// Find returns the record of a request.
func (s *State) Find(digest Digest) (Record, bool) {
	at, found := find(s.Records, digest)
	if !found {
		return Record{}, false
	}
	return s.Records[at], true
}

// HeldDigests are the requests that are held.
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

// Held lists the requests that are held, those that were held last first.
func (s *State) Held() []Held {
	records := slices.DeleteFunc(slices.Clone(s.Records), func(r Record) bool { return r.HeldAt == 0 })
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(b.HeldAt, a.HeldAt) })
	held := make([]Held, 0, len(records))
	for _, record := range records {
		held = append(held, Held{
			Digest: record.Digest.String(), Replicas: int(record.Total),
			FirstEnd: timeOfDay(record.FirstAt), LastEnd: timeOfDay(record.LastAt), Since: timeOfDay(record.HeldAt),
		})
	}
	return held
}

// timeOfDay formats nanoseconds since 1970 (RFC 3339, UTC).
func timeOfDay(nanos int64) string { return time.Unix(0, nanos).UTC().Format(time.RFC3339) }
