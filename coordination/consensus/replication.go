package consensus

import "time"

// Propose appends commands to the log in order. It returns the position of the
// first; the others follow it.
func (c *Core) Propose(now time.Duration, commands [][]byte) (Position, error) {
	c.advanceClock(now)
	if err := c.acceptsProposals(); err != nil {
		return Position{}, err
	}
	first := c.appendAsLeader(EntryCommand, commands)
	c.broadcastAppend()
	return first, nil
}

func (c *Core) acceptsProposals() error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if c.transfer.target != 0 {
		return ErrTransferring
	}
	return nil
}

// appendAsLeader appends entries of the current term and returns the position
// of the first. An EntryEmpty has no data.
func (c *Core) appendAsLeader(kind EntryKind, data [][]byte) Position {
	if kind == EntryEmpty {
		data = [][]byte{nil}
	}
	first := Position{Index: c.log.lastIndex() + 1, Term: c.term}
	entries := make([]Entry, len(data))
	for offset, item := range data {
		entries[offset] = Entry{Index: first.Index + uint64(offset), Term: c.term, Kind: kind, Data: item}
	}
	c.appendEntries(entries)
	return first
}

// appendEntries appends entries, which must have been validated, to the log and
// their configurations to the membership history.
func (c *Core) appendEntries(entries []Entry) {
	c.log.append(entries...)
	// Undecodable configurations were rejected by validAppend; a leader appends
	// only those that it has encoded itself.
	_ = c.membership.append(entries)
	c.syncProgress()
}

// syncProgress adds and removes a leader's progress records to match the members
// of the configuration.
func (c *Core) syncProgress() {
	if c.role != RoleLeader {
		return
	}
	configuration := c.configuration()
	for _, member := range configuration.Members {
		if _, found := c.progress[member.ID]; !found && member.ID != c.config.ID {
			c.progress[member.ID] = newProgress(c.log.lastIndex()+1, c.now)
		}
	}
	for id := range c.progress {
		if _, found := configuration.Find(id); !found {
			delete(c.progress, id)
		}
	}
}

// otherMembers returns the ids of the other members in ascending order.
func (c *Core) otherMembers() []ReplicaID {
	members := c.configuration().Members
	others := make([]ReplicaID, 0, len(members))
	for _, member := range members {
		if member.ID != c.config.ID {
			others = append(others, member.ID)
		}
	}
	return others
}

func (c *Core) broadcastAppend() {
	for _, id := range c.otherMembers() {
		c.sendAppend(id, false)
	}
}

// broadcastCommit sends the new commit index to the other members without waiting
// for the next heartbeat.
func (c *Core) broadcastCommit() {
	for _, id := range c.otherMembers() {
		c.sendAppend(id, true)
	}
}

// sendAppend sends an append request with the next entries that the member lacks,
// or starts a snapshot transfer if those are compacted. It does nothing while the
// member is paused. A request without entries is sent only with allowEmpty or
// while the member is not in stateReplicating.
func (c *Core) sendAppend(id ReplicaID, allowEmpty bool) {
	member := c.progress[id]
	if member == nil || member.isPaused(c.config.MaxInflightAppends) {
		return
	}
	previousTerm, found := c.log.term(member.next - 1)
	if !found {
		c.startSnapshotTransfer(id, member)
		return
	}
	entries := c.log.entriesFrom(member.next, c.config.MaxAppendBytes)
	if len(entries) == 0 && !allowEmpty && member.state == stateReplicating {
		return
	}
	c.sendBeforeSync(Message{
		Kind:     MessageAppendRequest,
		To:       id,
		LogIndex: member.next - 1,
		LogTerm:  previousTerm,
		Commit:   c.log.committed,
		Entries:  entries,
		Round:    c.reads.round,
	})
	member.recordSent(member.next - 1 + uint64(len(entries)))
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatDue = c.now + c.config.HeartbeatInterval
	c.reads.round++
	for _, id := range c.otherMembers() {
		c.sendBeforeSync(Message{
			Kind:   MessageHeartbeatRequest,
			To:     id,
			Commit: min(c.progress[id].match, c.log.committed),
			Round:  c.reads.round,
		})
	}
	c.confirmReads()
}

func (c *Core) handleHeartbeatRequest(message Message) {
	c.recordLeaderContact(message.From)
	if message.Commit > c.log.lastIndex() {
		// A heartbeat's commit index is at most what this replica has acknowledged,
		// so acknowledged entries are missing from its log.
		c.hasLostEntries = true
		return
	}
	c.commitTo(message.Commit)
	c.sendAfterSync(Message{Kind: MessageHeartbeatResponse, To: message.From, Round: message.Round})
}

func (c *Core) handleHeartbeatResponse(message Message) {
	member := c.recordContact(message)
	if member == nil {
		return
	}
	if member.state == stateSnapshotting {
		c.resendChunk(message.From, member)
		return
	}
	member.probeSent = false
	if member.state == stateReplicating && len(member.inflight) >= c.config.MaxInflightAppends {
		// One slot is freed, because the requests or their responses may be lost.
		member.inflight = member.inflight[1:]
	}
	if member.match < c.log.lastIndex() || member.state == stateProbing {
		c.sendAppend(message.From, true)
	}
}

// recordContact records the time of a response and the confirmation round that it
// acknowledges, and returns the sender's progress. It returns nil if this replica
// is not the leader or the sender is not a member.
func (c *Core) recordContact(message Message) *progress {
	if c.role != RoleLeader {
		return nil
	}
	member := c.progress[message.From]
	if member == nil {
		return nil
	}
	member.lastContact = c.now
	if message.Round > member.ackedRound && message.Round <= c.reads.round {
		member.ackedRound = message.Round
		c.confirmReads()
	}
	return member
}

func (c *Core) handleAppendRequest(message Message) {
	if c.role == RoleLeader {
		return
	}
	c.recordLeaderContact(message.From)
	response := Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round}
	if !validAppend(message) {
		return
	}
	if message.LogIndex < c.log.committed {
		response.LogIndex = c.log.committed
		c.sendAfterSync(response)
		return
	}
	if !c.log.matches(message.LogIndex, message.LogTerm) {
		response.Rejected = true
		response.LogIndex = message.LogIndex
		response.HintIndex, response.HintTerm = c.log.findConflictByTerm(message.LogIndex, message.LogTerm)
		c.sendAfterSync(response)
		return
	}
	c.appendAsFollower(message.Entries)
	response.LogIndex = message.LogIndex + uint64(len(message.Entries))
	c.commitTo(min(message.Commit, response.LogIndex))
	c.sendAfterSync(response)
}

// validAppend checks that the entries are contiguous and of no later term than the
// message, and that their configurations can be decoded.
func validAppend(message Message) bool {
	expected := message.LogIndex
	for _, entry := range message.Entries {
		expected++
		if entry.Index != expected || entry.Term > message.Term {
			return false
		}
		if entry.Kind != EntryConfiguration {
			continue
		}
		if _, err := DecodeConfiguration(entry.Data); err != nil {
			return false
		}
	}
	return true
}

func (c *Core) appendAsFollower(entries []Entry) {
	conflict := c.log.firstConflict(entries)
	if conflict == len(entries) {
		return
	}
	newEntries := entries[conflict:]
	if newEntries[0].Index <= c.log.lastIndex() {
		c.log.truncate(newEntries[0].Index)
		c.membership.truncate(newEntries[0].Index)
	}
	c.appendEntries(newEntries)
}

func (c *Core) handleAppendResponse(message Message) {
	member := c.recordContact(message)
	if member == nil || message.LogIndex > c.log.lastIndex() {
		return
	}
	if message.Rejected {
		c.handleRejection(message, member)
		return
	}
	if !member.acknowledge(message.LogIndex) && member.state != stateProbing {
		return
	}
	c.leaveProbing(message, member)
	if c.maybeCommit() {
		c.broadcastCommit()
	}
	c.sendAppend(message.From, false)
	c.maybeSendTimeoutNow(message.From)
}

func (c *Core) leaveProbing(message Message, member *progress) {
	switch {
	case member.state == stateProbing:
		member.resumeAfterMatch(stateReplicating)
	case member.state == stateSnapshotting && member.match >= member.snapshotTransfer.snapshot.Index:
		member.resumeAfterMatch(stateReplicating)
	}
	member.next = max(member.next, message.LogIndex+1)
}

func (c *Core) handleRejection(message Message, member *progress) {
	matchCandidate, _ := c.log.findConflictByTerm(message.HintIndex, message.HintTerm)
	if member.reject(message.LogIndex, matchCandidate) {
		c.sendAppend(message.From, true)
	}
}
