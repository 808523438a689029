package replica

import "time"

// writeRetryInterval is the time between attempts to write to a disk that has
// refused it.
const writeRetryInterval = 100 * time.Millisecond

// stall is the state of a replica whose disk refuses writes, as one that is full
// does. The replica stands still, as if it were paused: it drops messages and
// lets no time pass, so that the others elect another leader, and it refuses
// requests. It goes on by itself once the write succeeds. The state machine can
// be read all the while.
type stall struct {
	// cause is the error of the write, nil while the replica is not stalled.
	cause error
	// retryAt is when the write is tried again.
	retryAt time.Duration
	// isRetry says that the Ready that is carried out has been tried before, so
	// that its first messages have been sent.
	isRetry bool
}

func (s *stall) isOn() bool { return s.cause != nil }

// stall begins or prolongs a stall. What waits for a commit may still get it from
// others, which have been sent the entries.
func (n *Node) stall(cause error) {
	n.stalled.cause = cause
	n.stalled.retryAt = n.now + writeRetryInterval
	term := n.core.SoftState().Term
	for _, requestID := range n.proposals.dropOtherTerms(term, false) {
		n.complete(Completion{RequestID: requestID, Err: ErrOutcomeUnknown})
	}
	for _, requestID := range n.reads.dropOtherTerms(term, false) {
		n.outputs.Reads = append(n.outputs.Reads, ReadCompletion{RequestID: requestID, Err: ErrNotWritable})
	}
}

// endStall tries the refused write again when it is time to.
func (n *Node) endStall() error {
	if !n.stalled.isOn() || n.now < n.stalled.retryAt {
		return nil
	}
	n.stalled = stall{isRetry: true}
	return n.flush()
}
