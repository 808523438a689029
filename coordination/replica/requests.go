package replica

import (
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// propose puts proposals into the log as one batch.
func (n *Node) propose(now time.Duration, proposals []Proposal) {
	proposals = n.refuseTooLarge(proposals)
	accepted := n.roomFor(proposals)
	commands := make([][]byte, accepted)
	for position := range commands {
		commands[position] = proposals[position].Command
	}
	var refused error
	if n.stalled.isOn() {
		refused = ErrNotWritable
	} else if accepted > 0 {
		refused = n.proposeCommands(now, proposals[:accepted], commands)
	}
	if refused != nil {
		accepted = 0
	} else {
		refused = ErrOverloaded
	}
	for _, proposal := range proposals[accepted:] {
		n.complete(Completion{RequestID: proposal.RequestID, Err: refused})
	}
}

// refuseTooLarge completes the proposals over the bound and returns the others.
func (n *Node) refuseTooLarge(proposals []Proposal) []Proposal {
	fitting := proposals[:0:0]
	for _, proposal := range proposals {
		if len(proposal.Command) > n.config.MaxCommandBytes {
			n.complete(Completion{RequestID: proposal.RequestID, Err: ErrTooLarge})
			continue
		}
		fitting = append(fitting, proposal)
	}
	return fitting
}

// roomFor returns how many of the proposals may wait beside those that do.
func (n *Node) roomFor(proposals []Proposal) int {
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
		return n.refusal(err)
	}
	for offset, proposal := range proposals {
		position := consensus.Position{Index: first.Index + uint64(offset), Term: first.Term}
		n.proposals.add(position, proposal.RequestID, len(proposal.Command))
	}
	return nil
}

func (n *Node) changeMembership(now time.Duration, requestID uint64, change consensus.MembershipChange) {
	if n.stalled.isOn() {
		n.complete(Completion{RequestID: requestID, Err: ErrNotWritable})
		return
	}
	position, err := n.core.ProposeMembership(now, change)
	if err != nil {
		n.complete(Completion{RequestID: requestID, Err: n.refusal(err)})
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
	if n.stalled.isOn() {
		return ErrNotWritable
	}
	return n.refusal(n.core.ReadIndex(now, requestID))
}

func (n *Node) transfer(now time.Duration, target consensus.ReplicaID) error {
	if n.stalled.isOn() {
		return ErrNotWritable
	}
	return n.refusal(n.core.TransferLeadership(now, target))
}

// refusal turns the core's error into one of this package where there is one.
func (n *Node) refusal(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferring) {
		return n.notLeader()
	}
	return err
}

// notLeader names the leader; one that is handing over names nobody.
func (n *Node) notLeader() error {
	status := n.core.Status()
	if status.Role == consensus.RoleLeader {
		return &NotLeaderError{}
	}
	leader, _ := status.Configuration.Find(status.Leader)
	return &NotLeaderError{Leader: status.Leader, Address: leader.Address}
}
