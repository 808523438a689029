package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// Node runs one replica without goroutines. It is not safe for concurrent use.
// Every method with a `now` takes the time of the process's monotonic clock.
//
// A non-nil error from a method has stopped the replica for good: the process
// has to end, and OpenNode reads anew what is on disk. Outputs are valid also
// then. Refusals of single requests are not such errors; they come as
// completions in Outputs.
type Node struct {
	config  Config
	storage *storage.Storage
	core    *consensus.Core
	// applied is the last position in the state machine.
	applied uint64
	// snapshotIndex is the last position that a snapshot was taken of,
	// snapshotBytes its size, and loggedBytes what was applied since. They
	// decide on the next snapshot.
	snapshotIndex uint64
	snapshotBytes int64
	loggedBytes   int64
	// job is the snapshot that is being written, or nil.
	job *snapshotJob
	// background runs the writing of snapshots; at once unless it is replaced.
	background func(func())
	// lastSave is when the storage was last written to.
	lastSave  time.Duration
	now       time.Duration
	proposals proposalQueue
	reads     readQueue
	outputs   Outputs
	stalled   stall
	// send takes messages at once instead of collecting them in outputs.
	send    func([]consensus.Message)
	failure error
}

// OpenNode opens or creates the replica in config.Directory. A damaged folder
// gives an error that wraps ErrReplicaQuarantined.
func OpenNode(config Config, now time.Duration) (*Node, error) {
	config.setDefaults()
	disk, state, err := storage.Open(storage.Options{
		FileSystem:   config.FileSystem,
		Directory:    config.Directory,
		Group:        config.Group,
		Random:       config.Random,
		SegmentBytes: config.SegmentBytes,
	})
	if errors.Is(err, storage.ErrCorrupt) {
		return nil, fmt.Errorf("%w: %w", ErrReplicaQuarantined, err)
	}
	if err != nil {
		return nil, err
	}
	node := &Node{config: config, storage: disk, background: func(work func()) { work() }}
	if err := node.start(state, now); err != nil {
		_ = disk.Close()
		return nil, err
	}
	return node, nil
}

// start restores the state machine and applies what is known to be committed.
func (n *Node) start(state storage.State, now time.Duration) error {
	if state.Snapshot.Index > 0 {
		if err := n.restore(state.Snapshot); err != nil {
			return err
		}
	}
	core, err := consensus.New(n.config.coreConfig(n.storage.Identity(), state, now))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReplicaQuarantined, err)
	}
	n.core = core
	return n.flush()
}

func (n *Node) restore(snapshot consensus.Snapshot) error {
	if err := n.config.StateMachine.Restore(snapshot.Data); err != nil {
		return fmt.Errorf("replica: restore snapshot %d: %w", snapshot.Index, err)
	}
	n.applied = snapshot.Index
	n.snapshotIndex = snapshot.Index
	n.snapshotBytes = int64(len(snapshot.Data))
	n.loggedBytes = 0
	return nil
}

// Close releases the folder without writing anything.
func (n *Node) Close() error {
	if n.failure == nil {
		n.failure = ErrStopped
	}
	n.awaitSnapshot()
	return n.storage.Close()
}

// Tick lets the time pass; call it every tenth of a heartbeat interval or so.
func (n *Node) Tick(now time.Duration) (Outputs, error) {
	return n.run(now, func() { n.tick(now) })
}

func (n *Node) tick(now time.Duration) {
	if n.stalled.isOn() {
		return
	}
	n.core.Tick(now)
}

// step takes in a message. A stalled replica drops it.
func (n *Node) step(now time.Duration, message consensus.Message) {
	if n.stalled.isOn() {
		return
	}
	n.core.Step(now, message)
}

// Receive takes in a message from another replica.
func (n *Node) Receive(now time.Duration, message consensus.Message) (Outputs, error) {
	return n.run(now, func() { n.step(now, message) })
}

// Propose asks for one command to be committed and applied.
func (n *Node) Propose(now time.Duration, requestID uint64, command []byte) (Outputs, error) {
	return n.ProposeBatch(now, []Proposal{{RequestID: requestID, Command: command}})
}

// ProposeBatch asks for many commands to be committed with one sync.
func (n *Node) ProposeBatch(now time.Duration, proposals []Proposal) (Outputs, error) {
	return n.run(now, func() { n.propose(now, proposals) })
}

// ReadBarrier asks to be told when the state machine is no older than this call.
func (n *Node) ReadBarrier(now time.Duration, requestID uint64) (Outputs, error) {
	return n.run(now, func() { n.readBarrier(now, requestID) })
}

// ChangeMembership asks for one membership change. It completes like a
// proposal; besides the errors of proposals it may be refused with the
// errors of consensus.Core.ProposeMembership.
func (n *Node) ChangeMembership(now time.Duration, requestID uint64, change consensus.MembershipChange) (Outputs, error) {
	return n.run(now, func() { n.changeMembership(now, requestID, change) })
}

// Transfer asks the leader to hand leadership to target, or to the active
// voter with the longest log if target is zero. A refusal comes as a
// completion of requestID; there is none when the transfer has begun.
func (n *Node) Transfer(now time.Duration, requestID uint64, target consensus.ReplicaID) (Outputs, error) {
	return n.run(now, func() {
		if err := n.transfer(now, target); err != nil {
			n.complete(Completion{RequestID: requestID, Err: err})
		}
	})
}

// run carries out one input and all that follows from it.
func (n *Node) run(now time.Duration, input func()) (Outputs, error) {
	if n.failure != nil {
		return Outputs{}, n.failure
	}
	n.now = max(n.now, now)
	err := n.endStall()
	if err == nil {
		input()
		err = n.flush()
	}
	outputs := n.outputs
	n.outputs = Outputs{}
	return outputs, err
}

// Applied returns the last position in the state machine.
func (n *Node) Applied() uint64 { return n.applied }

// Err returns the error that has stopped the replica, or nil.
func (n *Node) Err() error { return n.failure }

// Status returns the replica's view of itself and its group.
func (n *Node) Status() Status {
	core := n.core.Status()
	identity := n.storage.Identity()
	status := Status{
		ID:              identity.ReplicaID,
		Group:           n.config.Group,
		Generation:      core.Configuration.Generation,
		Stage:           identity.Stage,
		FoundingToken:   identity.FoundingToken,
		Founding:        core.Configuration.Founding,
		Role:            core.Role,
		Term:            core.Term,
		Leader:          core.Leader,
		Vote:            core.Vote,
		CommitIndex:     core.Commit,
		AppliedIndex:    n.applied,
		LastIndex:       core.LastIndex,
		SnapshotIndex:   core.Snapshot,
		MembershipIndex: core.ConfigurationIndex,
		Syncs:           n.storage.Syncs(),
		Err:             n.failure,
		Stalled:         n.stalled.cause,
	}
	if n.stalled.isOn() {
		status.Role = consensus.RoleFollower
		status.Leader = 0
	}
	for _, member := range core.Configuration.Members {
		known := core.Progress[member.ID]
		if member.ID == identity.ReplicaID {
			known = consensus.MemberProgress{Match: core.LastIndex, RecentlyActive: true}
		}
		status.Members = append(status.Members, MemberStatus{member, known.Match, known.RecentlyActive})
	}
	return status
}
