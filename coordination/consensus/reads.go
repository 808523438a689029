package consensus

import "time"

// ReadState means that the read identified by Context may be served once the
// state machine has applied the entry at Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

type pendingRead struct {
	context uint64
	index   uint64
	// round is the first confirmation round that starts after the read arrived.
	round uint64
}

// readTracker holds a leader's unconfirmed reads (read index, Ongaro 2014,
// section 6.4). It does not rely on clocks: every read waits until a majority has
// responded to a message that was sent after the read arrived.
type readTracker struct {
	// round is the number of the latest confirmation round.
	round uint64
	// confirmed is the latest round that a majority has acknowledged.
	confirmed uint64
	pending   []pendingRead
	// deferred holds the reads that arrived before the leader committed an entry
	// of its term.
	deferred []uint64
}

// ReadIndex requests an index at which a read that starts now is linearizable.
// The result is returned as a ReadState in a Ready, or never if leadership is lost
// first.
func (c *Core) ReadIndex(now time.Duration, context uint64) error {
	c.advanceClock(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if !c.hasCommittedInTerm() {
		c.reads.deferred = append(c.reads.deferred, context)
		return nil
	}
	c.addRead(context)
	return nil
}

func (c *Core) addRead(context uint64) {
	c.reads.pending = append(c.reads.pending, pendingRead{context, c.log.committed, c.reads.round + 1})
	c.startReadRound()
}

// startReadRound starts a confirmation round unless one is in progress. Reads that
// arrive during a round share the next one.
func (c *Core) startReadRound() {
	if len(c.reads.pending) == 0 {
		return
	}
	last := c.reads.pending[len(c.reads.pending)-1]
	if last.round <= c.reads.round || c.reads.confirmed < c.reads.round {
		return
	}
	c.broadcastHeartbeat()
}

func (c *Core) startDeferredReads() {
	if !c.hasCommittedInTerm() {
		return
	}
	deferred := c.reads.deferred
	c.reads.deferred = nil
	for _, context := range deferred {
		c.addRead(context)
	}
}

// confirmReads completes the reads whose round a majority has acknowledged.
func (c *Core) confirmReads() {
	voters := c.configuration().Voters()
	rounds := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		rounds = append(rounds, c.ackedRoundOf(voter))
	}
	c.reads.confirmed = max(c.reads.confirmed, quorumValue(rounds))
	released := 0
	for released < len(c.reads.pending) && c.reads.pending[released].round <= c.reads.confirmed {
		read := c.reads.pending[released]
		c.outbox.readStates = append(c.outbox.readStates, ReadState{read.context, read.index})
		released++
	}
	c.reads.pending = c.reads.pending[released:]
	c.startReadRound()
}

func (c *Core) ackedRoundOf(id ReplicaID) uint64 {
	if id == c.config.ID {
		return c.reads.round
	}
	if member := c.progress[id]; member != nil {
		return member.ackedRound
	}
	return 0
}
