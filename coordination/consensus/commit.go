package consensus

import "slices"

// maybeCommit advances the commit index to the last entry that a majority has
// on disk, if that entry is of the current term (Ongaro 2014, section 3.6.2). It
// reports whether the commit index advanced.
func (c *Core) maybeCommit() bool {
	if c.role != RoleLeader {
		return false
	}
	index := c.quorumMatch()
	term, found := c.log.term(index)
	if index <= c.log.committed || !found || term != c.term {
		return false
	}
	c.commitTo(index)
	c.startDeferredReads()
	return true
}

// quorumMatch returns the last log index that a majority of voters has on disk.
func (c *Core) quorumMatch() uint64 {
	voters := c.configuration().Voters()
	matches := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		matches = append(matches, c.matchIndexOf(voter))
	}
	return quorumValue(matches)
}

func (c *Core) matchIndexOf(id ReplicaID) uint64 {
	if id == c.config.ID {
		return c.log.saved
	}
	if member := c.progress[id]; member != nil {
		return member.match
	}
	return 0
}

// quorumValue returns the largest value that a majority of values is at or
// above, or zero if there are none. It sorts values in place.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (c *Core) commitTo(index uint64) {
	if index <= c.log.committed {
		return
	}
	c.log.committed = index
	if c.role != RoleLeader || c.membership.latestIndex() > index {
		return
	}
	if !c.configuration().IsVoter(c.config.ID) {
		c.outbox.stepDown = true
	}
}

func (c *Core) hasCommittedInTerm() bool {
	term, _ := c.log.term(c.log.committed)
	return term == c.term
}
