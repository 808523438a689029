package consensus

import (
	"fmt"
	"time"
)

// Position is the index and term at which a proposal was appended to the log.
// The proposal is committed if and only if the committed entry at Index has this
// Term.
type Position struct {
	Index uint64
	Term  uint64
}

// ProposeMembership appends the configuration that results from the change. It
// returns ErrChangeInProgress while another change is uncommitted and before the
// first entry of the leader's term is committed (Ongaro's correction of 2015 to
// single-server changes).
func (c *Core) ProposeMembership(now time.Duration, change MembershipChange) (Position, error) {
	c.advanceClock(now)
	if err := c.acceptsProposals(); err != nil {
		return Position{}, err
	}
	if c.membership.latestIndex() > c.log.committed || !c.hasCommittedInTerm() {
		return Position{}, ErrChangeInProgress
	}
	next, err := c.nextConfiguration(change)
	if err != nil {
		return Position{}, err
	}
	data, err := next.MarshalMsg(nil)
	if err != nil {
		return Position{}, err
	}
	position := c.appendAsLeader(EntryConfiguration, [][]byte{data})
	c.broadcastAppend()
	return position, nil
}

func (c *Core) nextConfiguration(change MembershipChange) (Configuration, error) {
	next := c.configuration().Clone()
	switch change.Kind {
	case AddLearner:
		return c.withLearner(next, change.Member)
	case PromoteLearner:
		return c.withPromotedLearner(next, change.Member.ID)
	case RemoveMember:
		return c.withoutMember(next, change.Member.ID)
	default:
		return next, fmt.Errorf("%w: change kind %d", ErrUnknownMember, change.Kind)
	}
}

func (c *Core) withLearner(next Configuration, member Member) (Configuration, error) {
	if member.ID == 0 {
		return next, ErrUnknownMember
	}
	if _, found := next.Find(member.ID); found {
		return next, ErrUnchanged
	}
	member.Learner = true
	next.Members = append(next.Members, member)
	next.Sort()
	return next, nil
}

func (c *Core) withPromotedLearner(next Configuration, id ReplicaID) (Configuration, error) {
	member, found := next.Find(id)
	if !found {
		return next, ErrUnknownMember
	}
	if !member.Learner {
		return next, ErrUnchanged
	}
	if !c.hasCaughtUp(id) {
		return next, ErrNotCaughtUp
	}
	for i := range next.Members {
		if next.Members[i].ID == id {
			next.Members[i].Learner = false
		}
	}
	return c.requireActiveQuorum(next)
}

func (c *Core) withoutMember(next Configuration, id ReplicaID) (Configuration, error) {
	remaining := make([]Member, 0, len(next.Members))
	for _, member := range next.Members {
		if member.ID != id {
			remaining = append(remaining, member)
		}
	}
	if len(remaining) == len(next.Members) {
		return next, ErrUnchanged
	}
	next.Members = remaining
	return c.requireActiveQuorum(next)
}

func (c *Core) requireActiveQuorum(next Configuration) (Configuration, error) {
	if len(next.Voters()) == 0 || !c.hasActiveQuorum(next) {
		return next, ErrQuorumAtRisk
	}
	return next, nil
}

func (c *Core) hasCaughtUp(id ReplicaID) bool {
	member, found := c.progress[id]
	if !found || !c.isActive(id) || member.match == 0 {
		return false
	}
	return member.match+c.config.CatchUpEntries >= c.log.lastIndex()
}
