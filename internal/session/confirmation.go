package session

import (
	"maps"
	"slices"
	"time"
)

const (
	// confirmationValidity is how long a gateway relies on a target's own
	// statement that it accepts new work.
	confirmationValidity = 3 * time.Second
	// queryInterval is the time between two queries to a target.
	queryInterval = time.Second
	// queryLead is how long before the end of the lease the queries begin, so
	// that a gateway that is becoming isolated continues without a gap.
	queryLead = 2 * queryInterval
)

// Target is an engine or an application back end that a gateway queries itself
// on whether it accepts new work.
type Target struct {
	ID      string
	Address string
	// IsBackEnd distinguishes application back ends from engines.
	IsBackEnd bool
}

// confirmation is what a target has stated of itself.
type confirmation struct {
	// queriedAt is the time of the last query, answeredQueryAt that of the
	// query which the newest answer belongs to.
	queriedAt       time.Duration
	answeredQueryAt time.Duration
	serves          bool
}

// TargetsToQuery returns the targets whose state is to be queried now: all that the
// gateway may use when its lease is over or about to be, and before that those
// that have not answered the leader. Each answer is passed to RecordConfirmation.
//
// A gateway without a lease has an old view, perhaps one from before a long
// pause. Targets that have announced their leaving since must get no new work,
// and only they themselves can report that.
func (s *Session) TargetsToQuery(now time.Duration) []Target {
	leaseEnd, isolationEnd := s.lease.Ends()
	if s.id == 0 || now >= isolationEnd {
		return nil
	}
	wanted := s.unheardTargets()
	if now >= leaseEnd-queryLead {
		wanted = s.isolatedTargets()
	}
	var due []Target
	for _, target := range wanted {
		known := s.confirmations[target]
		if known.queriedAt > 0 && now-known.queriedAt < queryInterval {
			continue
		}
		known.queriedAt = now
		s.confirmations[target] = known
		due = append(due, target)
	}
	return due
}

func (s *Session) setUnheard(ids []string) {
	clear(s.unheard)
	for _, id := range ids {
		s.unheard[id] = struct{}{}
	}
}

// unheardTargets lists the targets of the view that have not answered the
// leader lately.
func (s *Session) unheardTargets() []Target {
	if len(s.unheard) == 0 {
		return nil
	}
	isUnheard := func(id string) bool {
		_, found := s.unheard[id]
		return found
	}
	return s.targets(isUnheard, isUnheard)
}

// isolatedTargets lists what may be used without a lease.
func (s *Session) isolatedTargets() []Target {
	return s.targets(func(id string) bool {
		_, inSet := s.merged.isolationSet[id]
		return inSet
	}, func(string) bool { return true })
}

// targets lists the engines and back ends that the view allows, in the order of
// their ids.
func (s *Session) targets(wantsEngine, wantsBackEnd func(id string) bool) []Target {
	var targets []Target
	for _, id := range slices.Sorted(maps.Keys(s.merged.Engines)) {
		row := s.merged.Engines[id]
		if row.Dispatchable && !row.Leaving && wantsEngine(id) {
			targets = append(targets, Target{ID: id, Address: row.Address})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.merged.BackEnds)) {
		if row := s.merged.BackEnds[id]; row.Dispatchable && wantsBackEnd(id) {
			targets = append(targets, Target{ID: id, Address: row.Address, IsBackEnd: true})
		}
	}
	return targets
}

// RecordConfirmation records a target's answer on whether it accepts new work, to a query
// that was sent at sentAt. Answers to older queries than the newest answered
// one are ignored.
func (s *Session) RecordConfirmation(sentAt time.Duration, target Target, serves bool) {
	known := s.confirmations[target]
	if sentAt < known.answeredQueryAt {
		return
	}
	known.answeredQueryAt = sentAt
	known.serves = serves
	s.confirmations[target] = known
}

// isConfirmed reports whether a target has confirmed recently that it accepts
// new work.
func (s *Session) isConfirmed(now time.Duration, target Target) bool {
	known := s.confirmations[target]
	return known.serves && now-known.answeredQueryAt < confirmationValidity
}
