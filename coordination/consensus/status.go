package consensus

// Status is a replica's view of itself.
type Status struct {
	SoftState
	// Vote is the replica that this one has voted for in its term, 0 for none.
	Vote   ReplicaID
	Commit uint64
	// FirstIndex is the first position that the log holds in memory; it is
	// LastIndex+1 for an empty one.
	FirstIndex uint64
	LastIndex  uint64
	// Snapshot is the position of the latest snapshot.
	Snapshot      uint64
	Configuration Configuration
	// ConfigurationIndex is the position of Configuration in the log; it is
	// committed if Commit has reached it.
	ConfigurationIndex uint64
	// Progress holds what a leader knows about the other members.
	Progress map[ReplicaID]MemberProgress
}

// MemberProgress is what a leader knows about another member.
type MemberProgress struct {
	Match          uint64
	RecentlyActive bool
}

// SoftState returns the replica's role, leader and term.
func (c *Core) SoftState() SoftState {
	return SoftState{Role: c.role, Leader: c.leader, Term: c.term}
}

// HasLostEntries reports whether the replica was found to lack entries that it
// had acknowledged as being on disk. It must take no further part in its group.
func (c *Core) HasLostEntries() bool { return c.hasLostEntries }

// Status returns the replica's view of itself.
func (c *Core) Status() Status {
	status := Status{
		SoftState:     c.SoftState(),
		Vote:          c.vote,
		Commit:        c.log.committed,
		FirstIndex:    c.log.baseIndex + 1,
		LastIndex:     c.log.lastIndex(),
		Snapshot:      c.snapshot.Index,
		Configuration: c.configuration().Clone(),

		ConfigurationIndex: c.membership.latestIndex(),
		Progress:           map[ReplicaID]MemberProgress{},
	}
	for id, member := range c.progress {
		status.Progress[id] = MemberProgress{Match: member.match, RecentlyActive: c.isActive(id)}
	}
	return status
}
