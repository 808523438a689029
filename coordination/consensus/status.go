package consensus

import "time"

// Status is the state of a replica at one point in time.
type Status struct {
	SoftState
	// Vote is the replica that this one has voted for in its term, 0 for none.
	Vote ReplicaID
	// LeaderSilence is the time since this replica last heard from a leader, or
	// since it was created; zero on a leader.
	LeaderSilence time.Duration
	// RemovedAt is the log index of a committed configuration that lacks this
	// replica, as a member has told since a leader was last heard; 0 for none.
	RemovedAt   uint64
	CommitIndex uint64
	// FirstIndex is the index of the first log entry in memory, or LastIndex+1 if
	// there is none.
	FirstIndex uint64
	LastIndex  uint64
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex uint64
	Configuration Configuration
	// ConfigurationIndex is the log index of Configuration, which is committed if
	// CommitIndex has reached it.
	ConfigurationIndex uint64
	// Progress holds the replication state of the other members on a leader. It is
	// empty on other replicas.
	Progress map[ReplicaID]MemberProgress
}

// MemberProgress is a leader's replication state for another member.
type MemberProgress struct {
	Match          uint64
	RecentlyActive bool
}

// SoftState returns the replica's role, leader and term.
func (c *Core) SoftState() SoftState {
	return SoftState{Role: c.role, Leader: c.leader, Term: c.term}
}

func (c *Core) leaderSilence() time.Duration {
	if c.role == RoleLeader {
		return 0
	}
	return c.now - c.lastLeaderContact
}

// HasLostEntries reports whether the replica was found to lack entries that it
// had acknowledged as being on disk. Such a replica must no longer take part in
// its group.
func (c *Core) HasLostEntries() bool { return c.hasLostEntries }

// Status returns the replica's current status.
func (c *Core) Status() Status {
	status := Status{
		SoftState:     c.SoftState(),
		Vote:          c.vote,
		LeaderSilence: c.leaderSilence(),
		RemovedAt:     c.removedAt,
		CommitIndex:   c.log.committed,
		FirstIndex:    c.log.baseIndex + 1,
		LastIndex:     c.log.lastIndex(),
		SnapshotIndex: c.snapshot.Index,
		Configuration: c.configuration().Clone(),

		ConfigurationIndex: c.membership.latestIndex(),
		Progress:           map[ReplicaID]MemberProgress{},
	}
	for id, member := range c.progress {
		status.Progress[id] = MemberProgress{Match: member.match, RecentlyActive: c.isActive(id)}
	}
	return status
}
