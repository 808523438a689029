package replica

import (
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// propose appends proposals to the log as one batch and completes those that
// are rejected.
func (n *Node) propose(now time.Duration, proposals []Proposal) {
	proposals = n.rejectTooLarge(proposals)
	accepted := n.admissibleCount(proposals)
	commands := make([][]byte, accepted)
	for position := range commands {
		commands[position] = proposals[position].Command
	}
	var rejection error
	if n.stalled.isActive() {
		rejection = ErrNotWritable
	} else if accepted > 0 {
		rejection = n.proposeCommands(now, proposals[:accepted], commands)
	}
	if rejection != nil {
		accepted = 0
	} else {
		rejection = ErrOverloaded
	}
	for _, proposal := range proposals[accepted:] {
		n.complete(Completion{RequestID: proposal.RequestID, Err: rejection})
	}
}

// rejectTooLarge completes the proposals over MaxCommandBytes with ErrTooLarge
// and returns the others.
func (n *Node) rejectTooLarge(proposals []Proposal) []Proposal {
	withinLimit := proposals[:0:0]
	for _, proposal := range proposals {
		if len(proposal.Command) > n.config.MaxCommandBytes {
			n.complete(Completion{RequestID: proposal.RequestID, Err: ErrTooLarge})
			continue
		}
		withinLimit = append(withinLimit, proposal)
	}
	return withinLimit
}

// admissibleCount returns how many of the proposals fit within MaxPending and
// MaxPendingBytes, in addition to the pending ones.
func (n *Node) admissibleCount(proposals []Proposal) int {
	bytes := n.proposals.bytes
	limit := min(len(proposals), n.config.MaxPending-n.proposals.len())
	for position, proposal := range proposals[:limit] {
		bytes += len(proposal.Command)
		if bytes > n.config.MaxPendingBytes {
			return position
		}
	}
	return limit
}

func (n *Node) proposeCommands(now time.Duration, proposals []Proposal, commands [][]byte) error {
	first, err := n.core.Propose(now, commands)
	if err != nil {
		return n.translateError(err)
	}
	for offset, proposal := range proposals {
		position := consensus.Position{Index: first.Index + uint64(offset), Term: first.Term}
		n.proposals.add(position, proposal.RequestID, len(proposal.Command))
	}
	return nil
}

func (n *Node) changeMembership(now time.Duration, requestID uint64, change consensus.MembershipChange) {
	if n.stalled.isActive() {
		n.complete(Completion{RequestID: requestID, Err: ErrNotWritable})
		return
	}
	position, err := n.core.ProposeMembership(now, change)
	if err != nil {
		n.complete(Completion{RequestID: requestID, Err: n.translateError(err)})
		return
	}
	n.proposals.add(position, requestID, 0)
}

func (n *Node) readBarrier(now time.Duration, requestID uint64) {
	if err := n.readIndex(now, requestID); err != nil {
		n.outputs.Reads = append(n.outputs.Reads, ReadCompletion{RequestID: requestID, Err: err})
		return
	}
	n.reads.add(requestID, n.core.SoftState().Term)
}

func (n *Node) readIndex(now time.Duration, requestID uint64) error {
	if n.stalled.isActive() {
		return ErrNotWritable
	}
	return n.translateError(n.core.ReadIndex(now, requestID))
}

func (n *Node) transfer(now time.Duration, target consensus.ReplicaID) error {
	if n.stalled.isActive() {
		return ErrNotWritable
	}
	return n.translateError(n.core.TransferLeadership(now, target))
}

// translateError returns a NotLeaderError if the core does not lead or is
// transferring leadership, and all other errors unchanged.
func (n *Node) translateError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferring) {
		return n.notLeaderError()
	}
	return err
}

// notLeaderError returns a NotLeaderError that names the known leader. A leader
// that is transferring its leadership names none.
func (n *Node) notLeaderError() error {
	status := n.core.Status()
	if status.Role == consensus.RoleLeader {
		return &NotLeaderError{}
	}
	leader, _ := status.Configuration.Find(status.Leader)
	return &NotLeaderError{Leader: status.Leader, Address: leader.Address}
}
