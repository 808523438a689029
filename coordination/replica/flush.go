package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// flush carries out what the core has ready, in the order that Ready demands.
func (n *Node) flush() error {
	if n.stalled.isOn() {
		return nil
	}
	if n.core.HasLostEntries() {
		return n.quarantine()
	}
	for n.core.HasReady() {
		err := n.carryOut(n.core.Ready())
		if errors.Is(err, storage.ErrNotWritten) {
			n.stall(err)
			return nil
		}
		if err != nil {
			return n.fail(err)
		}
		n.core.Advance()
		n.dropLostLeadership()
	}
	n.completeReads()
	if err := n.maybeSnapshot(); err != nil {
		return n.fail(err)
	}
	if n.now-n.lastSave < sealDelay {
		return nil
	}
	err := n.storage.Seal()
	if errors.Is(err, storage.ErrNotWritten) {
		n.lastSave = n.now
		return nil
	}
	if err != nil {
		return n.fail(err)
	}
	return nil
}

// sealDelay is the time without a save after which the log is sealed.
const sealDelay = time.Second

// quarantine ends a replica whose disk has lost what it acknowledged, and
// keeps it from opening again.
func (n *Node) quarantine() error {
	err := fmt.Errorf("%w: acknowledged entries are missing", ErrReplicaQuarantined)
	return n.fail(errors.Join(err, n.storage.MarkDamaged()))
}

func (n *Node) carryOut(ready consensus.Ready) error {
	if !n.stalled.isRetry {
		n.sendMessages(ready.MessagesBeforeSync)
	}
	n.stalled.isRetry = false
	if ready.HardState != nil {
		if err := n.storage.Save(*ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			return err
		}
		n.lastSave = n.now
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

// apply brings one committed entry into the state machine and completes the
// proposal that waits for it.
func (n *Node) apply(entry consensus.Entry) {
	if entry.Index != n.applied+1 {
		panic(fmt.Sprintf("replica: entry %d applied after %d", entry.Index, n.applied))
	}
	var result []byte
	if entry.Kind == consensus.EntryCommand {
		result = n.config.StateMachine.Apply(entry.Index, entry.Data)
	}
	n.applied = entry.Index
	n.loggedBytes += int64(len(entry.Data)) + entryOverheadBytes
	if completion, found := n.proposals.take(entry, result); found {
		n.complete(completion)
	}
}

func (n *Node) complete(completion Completion) {
	n.outputs.Completed = append(n.outputs.Completed, completion)
}

// dropLostLeadership ends what waits for a leadership that is over. The
// entries of the proposals may still get committed by the next leader.
func (n *Node) dropLostLeadership() {
	state := n.core.SoftState()
	isLeader := state.Role == consensus.RoleLeader
	for _, requestID := range n.proposals.dropOtherTerms(state.Term, isLeader) {
		n.complete(Completion{RequestID: requestID, Err: ErrOutcomeUnknown})
	}
	for _, requestID := range n.reads.dropOtherTerms(state.Term, isLeader) {
		n.outputs.Reads = append(n.outputs.Reads, ReadCompletion{RequestID: requestID, Err: n.notLeader()})
	}
}

func (n *Node) completeReads() {
	n.outputs.Reads = append(n.outputs.Reads, n.reads.takeApplied(n.applied)...)
}

func (n *Node) fail(err error) error {
	n.failure = err
	return err
}
