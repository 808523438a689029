package consensus

import "time"

type progressState uint8

const (
	// stateProbing sends one append request at a time to find the last entry that
	// the member has in common with the leader.
	stateProbing progressState = iota + 1
	// stateReplicating sends append requests without waiting for responses, up to
	// MaxInflightAppends.
	stateReplicating
	// stateSnapshotting sends a snapshot in chunks.
	stateSnapshotting
)

// progress is a leader's replication state for one other member.
type progress struct {
	state progressState
	// match is the last index known to be on the member's disk.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probeSent pauses probing until a response to the probe or to a heartbeat.
	probeSent bool
	// inflight holds the last index of each unacknowledged append request.
	inflight []uint64
	// lastContact is the time of the last response from the member, initially the
	// time at which the leader began to track it.
	lastContact time.Duration
	// ackedRound is the latest confirmation round that the member acknowledged.
	ackedRound       uint64
	snapshotTransfer *outgoingSnapshot
}

// outgoingSnapshot is the state of a snapshot transfer to a member.
type outgoingSnapshot struct {
	snapshot Snapshot
	checksum uint64
	// acked is the number of bytes that the member has acknowledged.
	acked  uint64
	sentAt time.Duration
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{state: stateProbing, next: next, lastContact: now}
}

// resumeAfterMatch switches to state, which must not be stateSnapshotting, and
// continues with the entry after match.
func (p *progress) resumeAfterMatch(state progressState) {
	p.state = state
	p.next = p.match + 1
	p.probeSent = false
	p.inflight = nil
	p.snapshotTransfer = nil
}

func (p *progress) becomeSnapshotting(transfer *outgoingSnapshot) {
	p.state = stateSnapshotting
	p.inflight = nil
	p.snapshotTransfer = transfer
}

func (p *progress) isPaused(maxInflight int) bool {
	switch p.state {
	case stateProbing:
		return p.probeSent
	case stateReplicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// recordSent records an append request whose last entry is at lastIndex.
func (p *progress) recordSent(lastIndex uint64) {
	if p.state == stateProbing {
		p.probeSent = true
		return
	}
	if lastIndex >= p.next {
		p.next = lastIndex + 1
		p.inflight = append(p.inflight, lastIndex)
	}
}

// acknowledge records that the member has the log up to index and reports whether
// match advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	p.probeSent = false
	p.releaseInflight(index)
	return true
}

func (p *progress) releaseInflight(index uint64) {
	released := 0
	for released < len(p.inflight) && p.inflight[released] <= index {
		released++
	}
	p.inflight = p.inflight[released:]
}

// reject records that the member has rejected the entries after rejectedIndex and
// reports whether to send an append request again at once. matchCandidate is the
// last index at which the logs may match. A rejection at or below match is stale,
// or the member has lost entries; it causes no immediate request, because leader
// and member would otherwise exchange the same messages forever.
func (p *progress) reject(rejectedIndex, matchCandidate uint64) bool {
	if rejectedIndex <= p.match {
		return false
	}
	if p.state == stateReplicating {
		p.resumeAfterMatch(stateProbing)
		return true
	}
	if p.state == stateSnapshotting || p.next-1 != rejectedIndex {
		return false
	}
	p.next = max(min(rejectedIndex, matchCandidate+1), p.match+1)
	p.probeSent = false
	return true
}
