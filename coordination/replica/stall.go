package replica

import "time"

// writeRetryInterval is the time between retries of a failed write.
const writeRetryInterval = 100 * time.Millisecond

// stall is the state of a replica whose disk rejects writes, for example because
// it is full. The replica behaves as if it were paused: it drops messages and
// does not advance the core's clock, so that the others elect another leader,
// and it rejects requests. It resumes on its own once the write succeeds. The
// state machine can be read throughout.
type stall struct {
	// cause is the error of the failed write, or nil if the replica is not
	// stalled.
	cause error
	// retryAt is when the write is retried.
	retryAt time.Duration
	// isRetry reports whether the current Ready has been attempted before, in
	// which case its MessagesBeforeSync have already been sent.
	isRetry bool
}

func (s *stall) isActive() bool { return s.cause != nil }

// stall begins or prolongs a stall. The outcome of pending proposals is unknown:
// other replicas may have received their entries and may still commit them, and this
// replica saves them once the disk accepts writes again.
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

// retryStalledWrite retries the failed write if it is due.
func (n *Node) retryStalledWrite() error {
	if !n.stalled.isActive() || n.now < n.stalled.retryAt {
		return nil
	}
	n.stalled = stall{isRetry: true}
	return n.flush()
}
