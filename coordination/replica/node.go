package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// Node runs one replica without goroutines. It is not safe for concurrent use.
// The now parameter of its methods is the time of the process's monotonic clock.
//
// A non-nil error from a method means that the replica has stopped permanently:
// the process must exit, and the next OpenNode recovers from what is on disk.
// Outputs are valid even then. Rejections of single requests do not stop the
// replica: they are returned as completions in Outputs, or, by PromiseFounding
// and Found, as errors that wrap ErrFoundingRefused or ErrNotWritable.
type Node struct {
	config  Config
	storage *storage.Storage
	core    *consensus.Core
	// applied is the index of the last entry applied to the state machine.
	applied uint64
	// snapshotIndex is the index of the last snapshot that was started or
	// restored, snapshotBytes the size of the last one that was installed or
	// restored, and bytesSinceSnapshot the size of the entries applied since
	// snapshotIndex. They determine when the next snapshot is due.
	snapshotIndex      uint64
	snapshotBytes      int64
	bytesSinceSnapshot int64
	// runningSnapshot is the snapshot that is being encoded and written, or nil.
	runningSnapshot *snapshotJob
	// runInBackground runs the function that writes a snapshot; by default
	// synchronously.
	runInBackground func(func())
	// lastSaveTime is when the log was last saved, or a seal last failed.
	lastSaveTime time.Duration
	now          time.Duration
	proposals    proposalQueue
	reads        readQueue
	outputs      Outputs
	stalled      stall
	// send, if set, is called with messages immediately; otherwise they are
	// collected in outputs.
	send    func([]consensus.Message)
	failure error
}

// OpenNode opens or creates the replica in config.Directory. If the data is
// damaged, it returns an error that wraps ErrReplicaQuarantined.
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
	node := &Node{config: config, storage: disk, runInBackground: func(work func()) { work() }}
	if err := node.start(state, now); err != nil {
		_ = disk.Close()
		return nil, err
	}
	return node, nil
}

// start restores the state machine from the snapshot and applies the entries
// that are known to be committed.
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
	n.bytesSinceSnapshot = 0
	return nil
}

// Close waits for a running snapshot to be written and closes the storage. It
// does not save anything else.
func (n *Node) Close() error {
	if n.failure == nil {
		n.failure = ErrStopped
	}
	n.awaitSnapshot()
	return n.storage.Close()
}

// Tick advances the time. It should be called about ten times per heartbeat
// interval.
func (n *Node) Tick(now time.Duration) (Outputs, error) {
	return n.handleInput(now, func() { n.tick(now) })
}

func (n *Node) tick(now time.Duration) {
	if n.stalled.isActive() {
		return
	}
	n.core.Tick(now)
}

// step passes a message to the core. A stalled replica drops it.
func (n *Node) step(now time.Duration, message consensus.Message) {
	if n.stalled.isActive() {
		return
	}
	n.core.Step(now, message)
}

// Receive handles a message from another replica.
func (n *Node) Receive(now time.Duration, message consensus.Message) (Outputs, error) {
	return n.handleInput(now, func() { n.step(now, message) })
}

// Propose proposes one command, to be committed and applied.
func (n *Node) Propose(now time.Duration, requestID uint64, command []byte) (Outputs, error) {
	return n.ProposeBatch(now, []Proposal{{RequestID: requestID, Command: command}})
}

// ProposeBatch proposes several commands, which are written with one sync.
func (n *Node) ProposeBatch(now time.Duration, proposals []Proposal) (Outputs, error) {
	return n.handleInput(now, func() { n.propose(now, proposals) })
}

// ReadBarrier requests a ReadCompletion for the moment when the state machine
// reflects every change that was complete before this call.
func (n *Node) ReadBarrier(now time.Duration, requestID uint64) (Outputs, error) {
	return n.handleInput(now, func() { n.readBarrier(now, requestID) })
}

// ChangeMembership proposes one membership change. It completes like a
// proposal; besides the errors of proposals its completion may carry those of
// consensus.Core.ProposeMembership.
func (n *Node) ChangeMembership(now time.Duration, requestID uint64, change consensus.MembershipChange) (Outputs, error) {
	return n.handleInput(now, func() { n.changeMembership(now, requestID, change) })
}

// Transfer starts a transfer of leadership from this replica to target, or to
// the active voter with the longest log if target is zero. If the transfer is
// rejected there is a completion of requestID; if it has begun there is none.
func (n *Node) Transfer(now time.Duration, requestID uint64, target consensus.ReplicaID) (Outputs, error) {
	return n.handleInput(now, func() {
		if err := n.transfer(now, target); err != nil {
			n.complete(Completion{RequestID: requestID, Err: err})
		}
	})
}

// handleInput retries a stalled write if it is due, handles one input and
// flushes the core.
func (n *Node) handleInput(now time.Duration, input func()) (Outputs, error) {
	if n.failure != nil {
		return Outputs{}, n.failure
	}
	n.now = max(n.now, now)
	err := n.retryStalledWrite()
	if err == nil {
		input()
		err = n.flush()
	}
	outputs := n.outputs
	n.outputs = Outputs{}
	return outputs, err
}

// Applied returns the index of the last entry applied to the state machine.
func (n *Node) Applied() uint64 { return n.applied }

// Err returns the error that stopped the replica, or nil.
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
		LeaderSilence:   core.LeaderSilence,
		RemovedAt:       core.RemovedAt,
		CommitIndex:     core.CommitIndex,
		AppliedIndex:    n.applied,
		LastIndex:       core.LastIndex,
		SnapshotIndex:   core.SnapshotIndex,
		MembershipIndex: core.ConfigurationIndex,
		Syncs:           n.storage.Syncs(),
		Err:             n.failure,
		Stalled:         n.stalled.cause,
	}
	if n.stalled.isActive() {
		status.Role = consensus.RoleFollower
		status.Leader = 0
	}
	for _, member := range core.Configuration.Members {
		progress := core.Progress[member.ID]
		if member.ID == identity.ReplicaID {
			progress = consensus.MemberProgress{Match: core.LastIndex, RecentlyActive: true}
		}
		status.Members = append(status.Members, MemberStatus{member, progress.Match, progress.RecentlyActive})
	}
	return status
}
