package replica

import "github.com/pierhaven/pierhaven/coordination/consensus"

// pendingProposal is a proposal that is in the log but not yet applied.
type pendingProposal struct {
	position  consensus.Position
	requestID uint64
	// bytes is the size of the command, zero for a membership change.
	bytes int
}

// proposalQueue holds a leader's pending proposals in log order.
type proposalQueue struct {
	pending []pendingProposal
	// bytes is the total size of their commands.
	bytes int
}

func (q *proposalQueue) len() int { return len(q.pending) }

func (q *proposalQueue) add(position consensus.Position, requestID uint64, bytes int) {
	q.pending = append(q.pending, pendingProposal{position, requestID, bytes})
	q.bytes += bytes
}

// complete removes the proposal at an applied entry's index and returns its
// completion. If the entry has another term, the proposal will never be
// committed, and it completes with ErrDropped.
func (q *proposalQueue) complete(entry consensus.Entry, result []byte) (Completion, bool) {
	if len(q.pending) == 0 || q.pending[0].position.Index != entry.Index {
		return Completion{}, false
	}
	head := q.pending[0]
	q.pending = q.pending[1:]
	q.bytes -= head.bytes
	if head.position.Term != entry.Term {
		return Completion{RequestID: head.requestID, Err: ErrDropped}, true
	}
	return Completion{RequestID: head.requestID, Index: entry.Index, Result: result}, true
}

// dropOtherTerms removes the proposals that this replica did not make as leader
// of the given term and returns their request ids.
func (q *proposalQueue) dropOtherTerms(term uint64, isLeader bool) []uint64 {
	var dropped []uint64
	kept := q.pending[:0:0]
	if len(q.pending) == 0 || isLeader && q.pending[0].position.Term == term {
		return nil
	}
	for _, proposal := range q.pending {
		if isLeader && proposal.position.Term == term {
			kept = append(kept, proposal)
			continue
		}
		dropped = append(dropped, proposal.requestID)
		q.bytes -= proposal.bytes
	}
	q.pending = kept
	return dropped
}

// unconfirmedRead is a read barrier that waits until the core has confirmed
// leadership.
type unconfirmedRead struct {
	requestID uint64
	term      uint64
}

// readQueue holds read barriers in the order of their requests, which is also
// the order in which they are confirmed.
type readQueue struct {
	unconfirmed []unconfirmedRead
	confirmed   []consensus.ReadState
}

func (q *readQueue) add(requestID, term uint64) {
	q.unconfirmed = append(q.unconfirmed, unconfirmedRead{requestID, term})
}

func (q *readQueue) confirm(states []consensus.ReadState) {
	q.confirmed = append(q.confirmed, states...)
	for _, state := range states {
		q.removeUnconfirmed(state.Context)
	}
}

// removeUnconfirmed removes a read. It is usually the first one, since reads are
// confirmed in order.
func (q *readQueue) removeUnconfirmed(requestID uint64) {
	if len(q.unconfirmed) > 0 && q.unconfirmed[0].requestID == requestID {
		q.unconfirmed = q.unconfirmed[1:]
		return
	}
	for position, read := range q.unconfirmed {
		if read.requestID == requestID {
			q.unconfirmed = append(q.unconfirmed[:position:position], q.unconfirmed[position+1:]...)
			return
		}
	}
}

// takeReady removes the confirmed reads whose index has been applied and returns
// their completions.
func (q *readQueue) takeReady(applied uint64) []ReadCompletion {
	var ready []ReadCompletion
	kept := q.confirmed[:0]
	for _, state := range q.confirmed {
		if state.Index > applied {
			kept = append(kept, state)
			continue
		}
		ready = append(ready, ReadCompletion{RequestID: state.Context, Index: state.Index})
	}
	q.confirmed = kept
	return ready
}

// dropOtherTerms removes the unconfirmed reads that this replica did not accept
// as leader of the given term and returns their request ids.
func (q *readQueue) dropOtherTerms(term uint64, isLeader bool) []uint64 {
	var dropped []uint64
	kept := q.unconfirmed[:0:0]
	for _, read := range q.unconfirmed {
		if isLeader && read.term == term {
			kept = append(kept, read)
			continue
		}
		dropped = append(dropped, read.requestID)
	}
	q.unconfirmed = kept
	return dropped
}
