package replica

import (
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// StateMachine is the caller's replicated state. All methods are called from
// one goroutine at a time and must be deterministic.
type StateMachine interface {
	// Apply applies a committed command to the state and returns the result
	// for the proposer. Every index is applied once, in ascending order.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state. Large states should implement Capturer.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state; empty data stands for the initial state.
	Restore(data []byte) error
}

// Config describes one replica of one group.
type Config struct {
	// Group is the group's number, the same on all its replicas.
	Group uint64
	// Directory is the data directory; no other group may use it.
	Directory string
	// FileSystem is the file system that contains Directory.
	FileSystem storage.FileSystem
	// StateMachine must be in its initial state when the replica is opened; the
	// replica restores the saved state into it.
	StateMachine StateMachine
	// Random generates the replica id and the election timeouts.
	Random *rand.Rand
	// ElectionTimeout is the minimum time without a leader after which a
	// replica campaigns; the maximum is twice that. Default 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats. Default one
	// tenth of ElectionTimeout.
	HeartbeatInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots. The
	// log must also have grown by a quarter of the last snapshot's size before
	// the next one is taken. Default 10,000.
	SnapshotEntries uint64
	// SnapshotLogBytes is the size of the entries applied since the last
	// snapshot at which one is taken before SnapshotEntries is reached.
	// Default 32 MiB.
	SnapshotLogBytes int64
	// SegmentBytes is the size at which a log segment is closed. Default 8 MiB.
	SegmentBytes int64
	// MaxAppendBytes limits the size of the entries in one message. Default 256 KiB.
	MaxAppendBytes int
	// SnapshotChunkBytes limits the snapshot data in one message. Default 64 KiB.
	SnapshotChunkBytes int
	// MaxCommandBytes limits the size of one command. It must be below the
	// transport's maximum message size: an entry that cannot be sent to any
	// follower would block the log. Default 6 MiB.
	MaxCommandBytes int
	// MaxPending limits the number of proposals that wait to be committed.
	// Default 65,536.
	MaxPending int
	// MaxPendingBytes limits the total size of their commands. Default 64 MiB.
	MaxPendingBytes int
}

// Proposal is a command with the caller's request id, which its Completion repeats.
type Proposal struct {
	RequestID uint64
	Command   []byte
}

// Completion is the outcome of a proposal or a membership change, or the
// rejection of a leadership transfer.
type Completion struct {
	RequestID uint64
	// Index is the entry's log index, valid if Err is nil.
	Index  uint64
	Result []byte
	Err    error
}

// ReadCompletion is the outcome of a read barrier. If Err is nil, the state
// machine reflects every change that was complete before the barrier was
// requested.
type ReadCompletion struct {
	RequestID uint64
	Index     uint64
	Err       error
}

// Outputs holds what a Node produced while handling one input.
type Outputs struct {
	Messages  []consensus.Message
	Completed []Completion
	Reads     []ReadCompletion
}

// Status is a replica's view of itself and its group.
type Status struct {
	ID         consensus.ReplicaID
	Group      uint64
	Generation uint64
	Stage      storage.Stage
	// FoundingToken is the token of the founding that this replica has promised
	// to join, or zero. Founding is the token of the founding that created the
	// group, or zero if it is not known yet.
	FoundingToken uint64
	Founding      uint64
	Role          consensus.Role
	Term          uint64
	Leader        consensus.ReplicaID
	// Vote is the replica that this replica voted for in Term, or zero.
	Vote consensus.ReplicaID
	// LeaderSilence is the time since this replica last heard from a leader, or
	// since it was opened; zero on a leader.
	LeaderSilence time.Duration
	// RemovedAt is the log index of a committed configuration that lacks this
	// replica, as a member has told since a leader was last heard; zero for none.
	// Members then lists an earlier one.
	RemovedAt    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// LastIndex is the index of the last log entry.
	LastIndex     uint64
	SnapshotIndex uint64
	// Syncs is the number of log syncs since the replica was opened.
	Syncs   uint64
	Members []MemberStatus
	// MembershipIndex is the log index of the configuration that Members
	// lists; it is committed once CommitIndex has reached it.
	MembershipIndex uint64
	// Stalled is the error of the failed write that the replica is retrying, or nil.
	Stalled error
	// Quarantined is the reason why the replica does not participate in the
	// group, or nil.
	Quarantined error
	// Err is the error that stopped the replica, or nil.
	Err error
}

// Member returns the status of the member with the given id.
func (status Status) Member(id consensus.ReplicaID) (MemberStatus, bool) {
	for _, member := range status.Members {
		if member.ID == id {
			return member, true
		}
	}
	return MemberStatus{}, false
}

// IsMember reports whether the replica is a member of its group, as far as it
// knows. One that was away may have been removed: it learns so from the others.
func (status Status) IsMember() bool {
	_, listed := status.Member(status.ID)
	return status.Stage == storage.StageMember && listed && status.RemovedAt == 0
}

// MemberStatus is a member with its replication progress.
type MemberStatus struct {
	consensus.Member
	// MatchIndex is the highest log index known to be on the member's disk;
	// only the leader knows it.
	MatchIndex uint64
	// RecentlyActive reports whether the leader has received a message from
	// the member within an election timeout.
	RecentlyActive bool
}

// Transport sends messages to other replicas. It may lose, duplicate, delay and
// reorder them. Send must not block for long.
type Transport interface {
	Send(messages []consensus.Message)
}

// LeadershipChange reports a new leader, term or leader address as seen by this
// replica. Leader is zero while no leader is known; IsSelf reports whether this
// replica leads.
type LeadershipChange struct {
	Leader  consensus.ReplicaID
	Term    uint64
	IsSelf  bool
	Address string
}
