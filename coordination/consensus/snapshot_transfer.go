package consensus

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// incomingSnapshot collects the received chunks of a snapshot.
type incomingSnapshot struct {
	chunk SnapshotChunk
	data  []byte
}

// Compact passes a snapshot of the applied state to the core. The core retains it
// for members that are far behind and drops the log up to and including
// compactIndex, which must not be above snapshot.Index.
func (c *Core) Compact(snapshot Snapshot, compactIndex uint64) {
	if snapshot.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snapshot
	c.log.compact(min(compactIndex, snapshot.Index))
	c.membership.compact(snapshot.Index)
}

// CompactionIndex returns the index before the longest run of entries up to an applied
// index that has at most maxEntries entries and maxBytes bytes. The result is
// intended as the compactIndex of Compact.
func (c *Core) CompactionIndex(index, maxEntries uint64, maxBytes int64) uint64 {
	return c.log.compactionIndex(index, maxEntries, maxBytes)
}

// ConfigurationAt returns the configuration and the term at an applied index, as
// needed for a snapshot at that index.
func (c *Core) ConfigurationAt(index uint64) (Configuration, uint64) {
	term, _ := c.log.term(index)
	return c.membership.at(index).Clone(), term
}

func (c *Core) startSnapshotTransfer(id ReplicaID, member *progress) {
	transfer := &outgoingSnapshot{snapshot: c.snapshot, checksum: xxhash.Sum64(c.snapshot.Data)}
	member.becomeSnapshotting(transfer)
	c.sendChunk(id, transfer)
}

func (c *Core) sendChunk(id ReplicaID, transfer *outgoingSnapshot) {
	snapshot := transfer.snapshot
	size := uint64(len(snapshot.Data))
	end := min(size, transfer.acked+uint64(c.config.SnapshotChunkBytes))
	transfer.sentAt = c.now
	c.sendBeforeSync(Message{
		Kind:  MessageSnapshotRequest,
		To:    id,
		Round: c.reads.round,
		Chunk: &SnapshotChunk{
			Index:         snapshot.Index,
			Term:          snapshot.Term,
			Configuration: snapshot.Configuration,
			Size:          size,
			Checksum:      transfer.checksum,
			Offset:        transfer.acked,
			Data:          snapshot.Data[transfer.acked:end],
		},
	})
}

// resendChunk sends the current chunk again if it has had no response for a
// heartbeat interval.
func (c *Core) resendChunk(id ReplicaID, member *progress) {
	if c.now-member.snapshotTransfer.sentAt >= c.config.HeartbeatInterval {
		c.sendChunk(id, member.snapshotTransfer)
	}
}

func (c *Core) handleSnapshotResponse(message Message) {
	member := c.recordContact(message)
	if member == nil || member.state != stateSnapshotting {
		return
	}
	transfer := member.snapshotTransfer
	if message.LogIndex != transfer.snapshot.Index || message.Offset > uint64(len(transfer.snapshot.Data)) {
		return
	}
	isAdvance := message.Offset > transfer.acked
	isRewind := message.Rejected && message.Offset < transfer.acked
	if !isAdvance && !isRewind {
		return
	}
	transfer.acked = message.Offset
	c.sendChunk(message.From, transfer)
}

func (c *Core) handleSnapshotRequest(message Message) {
	if c.role == RoleLeader || message.Chunk == nil {
		return
	}
	c.recordLeaderContact(message.From)
	chunk := message.Chunk
	if c.coversSnapshot(*chunk) {
		c.incoming = nil
		c.sendAfterSync(Message{
			Kind: MessageAppendResponse, To: message.From, LogIndex: c.log.committed, Round: message.Round,
		})
		return
	}
	rejected := !c.receiveChunk(*chunk)
	if c.installIfComplete() {
		c.sendAfterSync(Message{
			Kind: MessageAppendResponse, To: message.From, LogIndex: c.log.committed, Round: message.Round,
		})
		return
	}
	c.sendAfterSync(Message{
		Kind:     MessageSnapshotResponse,
		To:       message.From,
		LogIndex: chunk.Index,
		Offset:   uint64(len(c.incoming.data)),
		Rejected: rejected,
		Round:    message.Round,
	})
}

// coversSnapshot reports whether the log already covers the snapshot. A log that
// has the snapshot's last entry uncommitted needs no snapshot: the entry is marked
// as committed instead.
func (c *Core) coversSnapshot(chunk SnapshotChunk) bool {
	if chunk.Index <= c.log.committed {
		return true
	}
	if !c.log.matches(chunk.Index, chunk.Term) {
		return false
	}
	c.commitTo(chunk.Index)
	return true
}

// receiveChunk appends a chunk if it continues the incoming snapshot. A chunk of
// another snapshot replaces the incoming one. It reports whether the chunk was
// appended or received before.
func (c *Core) receiveChunk(chunk SnapshotChunk) bool {
	if c.incoming == nil || !c.incoming.matches(chunk) {
		c.incoming = &incomingSnapshot{chunk: chunk}
	}
	received := uint64(len(c.incoming.data))
	if chunk.Offset != received {
		return chunk.Offset < received
	}
	if received+uint64(len(chunk.Data)) > chunk.Size {
		return false
	}
	c.incoming.data = append(c.incoming.data, chunk.Data...)
	return true
}

func (s *incomingSnapshot) matches(chunk SnapshotChunk) bool {
	return s.chunk.Index == chunk.Index && s.chunk.Term == chunk.Term &&
		s.chunk.Size == chunk.Size && s.chunk.Checksum == chunk.Checksum
}

// installIfComplete replaces log and state with the incoming snapshot if that is
// complete, and reports whether it did. Data with a wrong checksum is discarded
// and received again.
func (c *Core) installIfComplete() bool {
	if uint64(len(c.incoming.data)) != c.incoming.chunk.Size {
		return false
	}
	if xxhash.Sum64(c.incoming.data) != c.incoming.chunk.Checksum {
		c.incoming.data = nil
		return false
	}
	c.installSnapshot(Snapshot{
		Index:         c.incoming.chunk.Index,
		Term:          c.incoming.chunk.Term,
		Configuration: c.incoming.chunk.Configuration.Clone(),
		Data:          c.incoming.data,
	})
	c.incoming = nil
	return true
}

func (c *Core) installSnapshot(snapshot Snapshot) {
	c.snapshot = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.membership = newMembershipHistory(snapshot)
	c.outbox.snapshot = &snapshot
}

// Found bootstraps a group: it installs the initial configuration on a replica
// that has neither log nor term, as a snapshot at index 1. It does nothing on other
// replicas.
func (c *Core) Found(now time.Duration, configuration Configuration) {
	c.advanceClock(now)
	if c.term != 0 || c.log.lastIndex() != 0 {
		return
	}
	configuration = configuration.Clone()
	configuration.Sort()
	c.term = foundingTerm
	c.installSnapshot(Snapshot{Index: foundingIndex, Term: foundingTerm, Configuration: configuration})
	c.resetElectionDeadline()
}

const (
	foundingIndex = 1
	foundingTerm  = 1
)
