package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// flush handles everything that the core has ready, completes reads, starts or
// installs a snapshot, and seals the log if it has been idle.
func (n *Node) flush() error {
	if n.stalled.isActive() {
		return nil
	}
	if n.core.HasLostEntries() {
		return n.quarantine()
	}
	for n.core.HasReady() {
		err := n.handleReady(n.core.Ready())
		if errors.Is(err, storage.ErrNotWritten) {
			n.stall(err)
			return nil
		}
		if err != nil {
			return n.fail(err)
		}
		n.core.Advance()
		n.dropStaleRequests()
	}
	n.completeReads()
	if err := n.maybeSnapshot(); err != nil {
		return n.fail(err)
	}
	if n.now-n.lastSaveTime < sealIdleTime {
		return nil
	}
	err := n.storage.Seal()
	if errors.Is(err, storage.ErrNotWritten) {
		n.lastSaveTime = n.now
		return nil
	}
	if err != nil {
		return n.fail(err)
	}
	return nil
}

// sealIdleTime is the time without a save after which the log is sealed.
const sealIdleTime = time.Second

// quarantine stops a replica whose disk has lost acknowledged entries, and marks
// its data as damaged so that it does not open again.
func (n *Node) quarantine() error {
	err := fmt.Errorf("%w: acknowledged entries are missing", ErrReplicaQuarantined)
	return n.fail(errors.Join(err, n.storage.MarkDamaged()))
}

// handleReady performs the steps of a Ready in the order that consensus.Ready
// requires.
func (n *Node) handleReady(ready consensus.Ready) error {
	if !n.stalled.isRetry {
		n.sendMessages(ready.MessagesBeforeSync)
	}
	n.stalled.isRetry = false
	if ready.HardState != nil {
		if err := n.storage.Save(*ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			return err
		}
		n.lastSaveTime = n.now
	}
	if ready.Snapshot != nil {
		if err := n.restore(*ready.Snapshot); err != nil {
			return err
		}
	}
	n.sendMessages(ready.MessagesAfterSync)
	for _, entry := range ready.CommittedEntries {
		n.apply(entry)
	}
	n.reads.confirm(ready.ReadStates)
	return nil
}

func (n *Node) sendMessages(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	if n.send != nil {
		n.send(messages)
		return
	}
	n.outputs.Messages = append(n.outputs.Messages, messages...)
}

// apply applies one committed entry to the state machine and completes its
// pending proposal, if any.
func (n *Node) apply(entry consensus.Entry) {
	if entry.Index != n.applied+1 {
		panic(fmt.Sprintf("replica: entry %d applied after %d", entry.Index, n.applied))
	}
	var result []byte
	if entry.Kind == consensus.EntryCommand {
		result = n.config.StateMachine.Apply(entry.Index, entry.Data)
	}
	n.applied = entry.Index
	n.bytesSinceSnapshot += int64(len(entry.Data)) + entryOverheadBytes
	if completion, found := n.proposals.complete(entry, result); found {
		n.complete(completion)
	}
}

func (n *Node) complete(completion Completion) {
	n.outputs.Completed = append(n.outputs.Completed, completion)
}

// dropStaleRequests completes the proposals and reads of a leadership that has
// ended. The proposals' outcome is unknown: the next leader may still commit
// their entries.
func (n *Node) dropStaleRequests() {
	state := n.core.SoftState()
	isLeader := state.Role == consensus.RoleLeader
	for _, requestID := range n.proposals.dropOtherTerms(state.Term, isLeader) {
		n.complete(Completion{RequestID: requestID, Err: ErrOutcomeUnknown})
	}
	for _, requestID := range n.reads.dropOtherTerms(state.Term, isLeader) {
		n.outputs.Reads = append(n.outputs.Reads, ReadCompletion{RequestID: requestID, Err: n.notLeaderError()})
	}
}

func (n *Node) completeReads() {
	n.outputs.Reads = append(n.outputs.Reads, n.reads.takeReady(n.applied)...)
}

func (n *Node) fail(err error) error {
	n.failure = err
	return err
}
