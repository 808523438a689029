package consensus

// A leader sends nothing to a replica that it has removed, not even the entry
// that removes it. The replica would wait for a leader forever, so that it asks
// the members that it knows, and they tell it (Ongaro 2014, section 4.2.3, on
// servers that are no longer in the configuration).

// handleMembershipMessage answers a query about membership, and takes such an
// answer. It reports whether the message was one of these. Terms are left alone:
// the sender may be no member.
func (c *Core) handleMembershipMessage(message Message) bool {
	switch message.Kind {
	case MessageMembershipQuery:
		c.tellIfRemoved(message.From)
		return true
	case MessageRemoved:
		c.learnRemoval(message.LogIndex)
		return true
	default:
		return false
	}
}

// tellIfRemoved tells a replica that is in no committed configuration any more,
// or not yet, where the latest one is in the log. The replica judges by that
// which of the two is the case.
func (c *Core) tellIfRemoved(id ReplicaID) {
	committed := c.membership.entryAt(c.log.committed)
	if len(committed.configuration.Members) == 0 {
		return
	}
	if _, found := committed.configuration.Find(id); found {
		return
	}
	c.sendAfterSync(Message{Kind: MessageRemoved, To: id, LogIndex: committed.index})
}

// learnRemoval records that the configuration at a log index, which is committed,
// lacks this replica. One that this replica has itself already is older news than
// that it was added.
func (c *Core) learnRemoval(index uint64) {
	if c.role == RoleLeader || index <= c.membership.entryAt(c.log.committed).index {
		return
	}
	c.removedAt = max(c.removedAt, index)
}

// queryMembership asks the other members whether this replica is still one.
func (c *Core) queryMembership() {
	for _, id := range c.otherMembers() {
		c.sendAfterSync(Message{Kind: MessageMembershipQuery, To: id})
	}
}
