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
	// Apply changes the state by a committed command and returns the result
	// for the proposer. Every index is applied once, in ascending order.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state. See Capturer for large ones.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state; empty data means the initial state.
	Restore(data []byte) error
}

// Config describes one replica of one group.
type Config struct {
	// Group is the number of the group; it is the same in all its replicas.
	Group uint64
	// Directory is the folder of this group's data, for this group alone.
	Directory string
	// FileSystem holds Directory.
	FileSystem storage.FileSystem
	// StateMachine is empty when it is handed over.
	StateMachine StateMachine
	// Random makes the replica id and the election timeouts.
	Random *rand.Rand
	// ElectionTimeout is the shortest time without a leader after which a
	// replica campaigns; the longest is twice that. Default 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats. Default a
	// tenth of ElectionTimeout.
	HeartbeatInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots. The
	// log must also have grown by a quarter of the last snapshot's size.
	// Default 10,000.
	SnapshotEntries uint64
	// SnapshotLogBytes is the size of applied entries after which a snapshot
	// is taken earlier. Default 32 MiB.
	SnapshotLogBytes int64
	// SegmentBytes is the size at which a log segment is closed. Default 8 MiB.
	SegmentBytes int64
	// MaxAppendBytes bounds the entries in one message. Default 256 KiB.
	MaxAppendBytes int
	// SnapshotChunkBytes bounds the snapshot data in one message. Default 64 KiB.
	SnapshotChunkBytes int
	// MaxCommandBytes bounds one command. It must be below what the transport
	// can carry in one message: an entry that no follower ever receives would
	// block the log. Default 6 MiB.
	MaxCommandBytes int
	// MaxPending bounds the proposals that wait for their commit. Default 65,536.
	MaxPending int
	// MaxPendingBytes bounds the size of their commands. Default 64 MiB.
	MaxPendingBytes int
}

// Proposal is a command with the caller's number for its completion.
type Proposal struct {
	RequestID uint64
	Command   []byte
}

// Completion ends a proposal or a membership change.
type Completion struct {
	RequestID uint64
	// Index is the position of the entry, valid if Err is nil.
	Index  uint64
	Result []byte
	Err    error
}

// ReadCompletion ends a read barrier. When Err is nil the state machine shows
// every change that was complete before the barrier was asked for.
type ReadCompletion struct {
	RequestID uint64
	Index     uint64
	Err       error
}

// Outputs is what one input to a Node has led to.
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
	// FoundingToken is the founding that was promised, or zero, and Founding
	// the one that the group came from, or zero if it is not known yet.
	FoundingToken uint64
	Founding      uint64
	Role          consensus.Role
	Term          uint64
	Leader        consensus.ReplicaID
	// Vote is the replica that this one has voted for in Term, 0 for none.
	Vote         consensus.ReplicaID
	CommitIndex  uint64
	AppliedIndex uint64
	// LastIndex is the last position of the log.
	LastIndex     uint64
	SnapshotIndex uint64
	// Syncs is the number of log syncs since the replica was opened.
	Syncs   uint64
	Members []MemberStatus
	// MembershipIndex is the position of Members in the log; they are
	// committed if CommitIndex has reached it.
	MembershipIndex uint64
	// Stalled is the error of the write that the disk refuses, or nil.
	Stalled error
	// Quarantined is the reason why the replica takes no part, or nil.
	Quarantined error
	// Err is the error that has stopped the replica, or nil.
	Err error
}

// Member returns what is known of the member with the given id.
func (status Status) Member(id consensus.ReplicaID) (MemberStatus, bool) {
	for _, member := range status.Members {
		if member.ID == id {
			return member, true
		}
	}
	return MemberStatus{}, false
}

// MemberStatus is a member with the leader's knowledge of it.
type MemberStatus struct {
	consensus.Member
	// MatchIndex is the last position known to be on the member's disk; only
	// the leader knows it.
	MatchIndex uint64
	// RecentlyActive says that the leader has heard of the member within an
	// election timeout.
	RecentlyActive bool
}

// Transport carries messages to other replicas. It may lose, repeat, delay and
// reorder them. Send must not block for long.
type Transport interface {
	Send(messages []consensus.Message)
}

// LeadershipChange tells that this replica has won or lost leadership.
type LeadershipChange struct {
	Leader  consensus.ReplicaID
	Term    uint64
	IsSelf  bool
	Address string
}
