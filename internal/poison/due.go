package poison

import (
	"cmp"
	"slices"
	"time"
)

// Due returns the requests that the evidence convicts at a time: HoldAfter replicas or more, twice
// as many if they ended in crowds, have ended under the request, and no other request that was at
// these replicas has as much evidence against it. The request that ends replicas is at all of them,
// while those beside it are at some. Where two can't be told apart both are sent on until one has
// run to a good end or ended another replica.
//
// settle is how long the evidence has to stand, so that all gateways have told theirs.
func (s *State) Due(now int64, settle time.Duration) []Digest {
	candidates := s.candidates(now, settle)
	if len(candidates) == 0 {
		return nil
	}
	others := s.byEnd()
	crowds := s.crowds()
	explained := map[uint64]bool{}
	var due []Digest
	for _, candidate := range candidates {
		if convicted(candidate, others, explained, crowds) {
			due = append(due, candidate.Digest)
			for _, end := range candidate.Ends {
				explained[end] = true
			}
		}
	}
	return due
}

// Next returns the command of a leader that holds what the evidence convicts at a time, and forgets
// what is older than memory, nil if there is nothing to do. settle is that of Due.
func (s *State) Next(now int64, settle, memory time.Duration) *Command {
	command := &Command{Hold: s.Due(now, settle)}
	if before := now - memory.Nanoseconds(); s.Lapsed(before) {
		command.ForgetBefore = before
	}
	if len(command.Hold) == 0 && command.ForgetBefore == 0 {
		return nil
	}
	return command
}

// crowds are the replicas that have ended together with many others, and how many each crowd was.
type crowds struct {
	of   map[uint64]uint64
	size map[uint64]int
}

func (s *State) crowds() crowds {
	known := crowds{of: make(map[uint64]uint64, len(s.Crowds)), size: map[uint64]int{}}
	for _, end := range s.Crowds {
		known.of[end.Replica] = end.Crowd
		known.size[end.Crowd]++
	}
	return known
}

// explainedBy returns the crowds most of which ended under one request: it may have ended them itself,
// being at many replicas at once. A caller that repeats at once is at a few.
func (c crowds) explainedBy(record *Record) map[uint64]bool {
	count := map[uint64]int{}
	for _, end := range record.Ends {
		count[c.of[end]]++
	}
	explained := map[uint64]bool{}
	for crowd, ends := range count {
		explained[crowd] = crowd == 0 || 2*ends > c.size[crowd]
	}
	return explained
}

// candidates are the records with enough evidence for long enough, those with the most first.
func (s *State) candidates(now int64, settle time.Duration) []*Record {
	var candidates []*Record
	for index := range s.Records {
		record := &s.Records[index]
		if record.HeldAt == 0 && record.DueAt != 0 && now-record.DueAt >= settle.Nanoseconds() {
			candidates = append(candidates, record)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Record) int { return cmp.Compare(len(b.Ends), len(a.Ends)) })
	return candidates
}

// byEnd are the records that are not held, by the replicas that have ended under them.
func (s *State) byEnd() map[uint64][]*Record {
	byEnd := map[uint64][]*Record{}
	for index := range s.Records {
		record := &s.Records[index]
		if record.HeldAt != 0 {
			continue
		}
		for _, end := range record.Ends {
			byEnd[end] = append(byEnd[end], record)
		}
	}
	return byEnd
}

// An end counts fullEnd, and crowdEnd if many replicas have ended at the same time, most of them not
// under the request.
const (
	fullEnd  = 2
	crowdEnd = 1
)

// convicted reports whether enough replicas have ended for which no other request answers as much.
func convicted(candidate *Record, byEnd map[uint64][]*Record, explained map[uint64]bool, known crowds) bool {
	evidence := unexplained(candidate, explained)
	own := 0
	itsOwn := known.explainedBy(candidate)
	for _, end := range candidate.Ends {
		outweighed := slices.ContainsFunc(byEnd[end], func(other *Record) bool {
			return other != candidate && unexplained(other, explained) >= evidence
		})
		switch {
		case explained[end] || outweighed:
		case !itsOwn[known.of[end]]:
			own += crowdEnd
		default:
			own += fullEnd
		}
	}
	return own >= HoldAfter*fullEnd
}

// unexplained counts the replicas that have ended under a request and under none that was
// convicted before it.
func unexplained(record *Record, explained map[uint64]bool) int {
	count := 0
	for _, end := range record.Ends {
		if !explained[end] {
			count++
		}
	}
	return count
}
