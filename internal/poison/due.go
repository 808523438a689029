package poison

import (
	"cmp"
	"slices"
	"time"
)

// Due returns the requests that are to be held at a time: those under which HoldAfter replicas or more
// have crashed, twice as many if they crashed in bursts, where no other request that ran at these
// replicas has as many crashes. The parts of prompts count as such requests. A poison request ran at all
// replicas that it crashed, while each of the requests beside it ran at some of them. Where two requests
// can't be told apart, both continue to be sent until one of them has run to completion or crashed another
// replica.
//
// settle is how long the evidence has to exist, so that all gateways have reported theirs.
func (s *State) Due(now int64, settle time.Duration) []Digest {
	candidates := s.candidates(now, settle)
	if len(candidates) == 0 {
		return nil
	}
	recordsByCrash := s.recordsByCrash()
	bursts := s.bursts()
	attributed := map[uint64]bool{}
	var due []Digest
	for _, candidate := range candidates {
		if candidate.Digest.IsPart() && (s.isExplained(candidate) || bursts.countApart(candidate) < HoldAfter) {
			continue
		}
		if isCause(candidate, recordsByCrash, attributed, bursts) {
			due = append(due, candidate.Digest)
			for _, crash := range candidate.Crashes {
				attributed[crash] = true
			}
		}
	}
	return due
}

// Next returns the command by which a leader holds the requests that Due returns, and deletes evidence
// that is older than retention; nil if there is nothing to do. settle is that of Due.
func (s *State) Next(now int64, settle, retention time.Duration) *Command {
	command := &Command{Hold: s.Due(now, settle)}
	if before := now - retention.Nanoseconds(); s.HasExpired(before) {
		command.ForgetBefore = before
	}
	if len(command.Hold) == 0 && command.ForgetBefore == 0 {
		return nil
	}
	return command
}

// bursts are the replicas that have crashed in bursts, with the burst of each and the size of each
// burst.
type bursts struct {
	byCrash map[uint64]uint64
	size    map[uint64]int
}

func (s *State) bursts() bursts {
	bursts := bursts{byCrash: make(map[uint64]uint64, len(s.BurstCrashes)), size: map[uint64]int{}}
	for _, crash := range s.BurstCrashes {
		bursts.byCrash[crash.Replica] = crash.Burst
		bursts.size[crash.Burst]++
	}
	return bursts
}

// dominatedBy returns the bursts in which most of the replicas crashed under one request: being at many
// replicas at once, it may have crashed them itself. A request that its caller repeats at once is only
// at a few. Crashes outside of bursts have the key 0 and always count as the request's own.
func (b bursts) dominatedBy(record *Record) map[uint64]bool {
	count := map[uint64]int{}
	for _, crash := range record.Crashes {
		count[b.byCrash[crash]]++
	}
	dominated := map[uint64]bool{}
	for burst, crashes := range count {
		dominated[burst] = burst == 0 || 2*crashes > b.size[burst]
	}
	return dominated
}

// countApart counts the crashes under a part, those of a burst as one unless most of the burst are under the part: a part may
// be at many of the replicas that crash together.
func (b bursts) countApart(record *Record) int {
	dominated := b.dominatedBy(record)
	count, counted := 0, map[uint64]bool{}
	for _, crash := range record.Crashes {
		burst := b.byCrash[crash]
		if dominated[burst] || !counted[burst] {
			count++
		}
		counted[burst] = true
	}
	return count
}

// onProbation reports whether a request or a part is on probation. The crashes of a part are weighed: most parts that were at
// replicas which crashed together are not the cause.
func (b bursts) onProbation(record *Record) bool {
	if !record.onProbation() || !record.Digest.IsPart() {
		return record.onProbation()
	}
	return b.countApart(record) >= jointAfter
}

// candidates returns the records that have had enough evidence for long enough, those with the most
// crashes first.
func (s *State) candidates(now int64, settle time.Duration) []*Record {
	var candidates []*Record
	for index := range s.Records {
		record := &s.Records[index]
		if record.HeldAt == 0 && record.SufficientAt != 0 && now-record.SufficientAt >= settle.Nanoseconds() {
			candidates = append(candidates, record)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Record) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
	return candidates
}

// recordsByCrash returns the records that are not held, by the replicas that have crashed under them.
func (s *State) recordsByCrash() map[uint64][]*Record {
	byCrash := map[uint64][]*Record{}
	for index := range s.Records {
		record := &s.Records[index]
		if record.HeldAt != 0 {
			continue
		}
		for _, crash := range record.Crashes {
			byCrash[crash] = append(byCrash[crash], record)
		}
	}
	return byCrash
}

// A crash has crashWeight as evidence, or burstCrashWeight if many replicas crashed at the same time,
// most of them not under the request.
const (
	crashWeight      = 2
	burstCrashWeight = 1
)

// isCause reports whether enough crashes count against a candidate. A crash counts if it is not
// attributed to a request that is already due, and if no other request that ran at the replica has as
// many unattributed crashes as the candidate.
func isCause(candidate *Record, recordsByCrash map[uint64][]*Record, attributed map[uint64]bool, bursts bursts) bool {
	count := countUnattributed(candidate, attributed)
	weight := 0
	dominated := bursts.dominatedBy(candidate)
	for _, crash := range candidate.Crashes {
		outweighed := slices.ContainsFunc(recordsByCrash[crash], func(other *Record) bool {
			return other != candidate && outweighs(countUnattributed(other, attributed), other, count, candidate)
		})
		switch {
		case attributed[crash] || outweighed:
		case !dominated[bursts.byCrash[crash]]:
			weight += burstCrashWeight
		default:
			weight += crashWeight
		}
	}
	return weight >= HoldAfter*crashWeight
}

// outweighs reports whether a number of crashes under another request or part makes that one more likely the cause than the
// candidate. A content that is always in the same crashes as one of its parts is held before the part: whether the part
// is the cause is found out by a request with other content.
func outweighs(others int, other *Record, count int, candidate *Record) bool {
	if other.Digest.IsPart() && !candidate.Digest.IsPart() {
		return others > count
	}
	return others >= count
}

// isExplained reports whether all replicas that crashed under a part did so under held contents.
func (s *State) isExplained(part *Record) bool {
	return !slices.ContainsFunc(part.Crashes, func(crash uint64) bool {
		return !slices.ContainsFunc(s.Records, func(record Record) bool {
			return record.HeldAt != 0 && !record.Digest.IsPart() && slices.Contains(record.Crashes, crash)
		})
	})
}

// jointAfter is the number of crashes from which on a request is held that has all parts of a set that can't be told apart.
// Requests with some of the parts are on probation.
const jointAfter = HoldAfter + 2

// jointSuspects returns the sets of parts that are not held and have the same crashes, jointAfter or more. bursts are those
// of the State.
func (s *State) jointSuspects(bursts bursts) []JointSuspects {
	var sets []JointSuspects
	var crashes [][]uint64
	for _, record := range s.Records {
		if !record.Digest.IsPart() || !bursts.onProbation(&record) {
			continue
		}
		at := slices.IndexFunc(crashes, func(each []uint64) bool { return slices.Equal(each, record.Crashes) })
		if at < 0 {
			crashes = append(crashes, record.Crashes)
			sets = append(sets, JointSuspects{Parts: []Digest{record.Digest}})
			continue
		}
		sets[at].Parts = append(sets[at].Parts, record.Digest)
	}
	return slices.DeleteFunc(sets, func(set JointSuspects) bool { return len(set.Parts) < 2 })
}

// countUnattributed counts the replicas that have crashed under a request and under none that Due has
// already found to be a cause.
func countUnattributed(record *Record, attributed map[uint64]bool) int {
	count := 0
	for _, crash := range record.Crashes {
		if !attributed[crash] {
			count++
		}
	}
	return count
}
