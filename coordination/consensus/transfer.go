package consensus

import "time"

// leadershipTransfer is a leadership transfer in progress (Ongaro 2014, section
// 3.10). Its target is zero if there is none.
type leadershipTransfer struct {
	target ReplicaID
	// deadline is the time at which the transfer is abandoned and proposals are
	// accepted again.
	deadline time.Duration
}

// TransferLeadership starts a transfer of leadership to a voter; zero selects the
// active voter with the highest match index. Proposals are rejected until the
// transfer succeeds or an election timeout has passed.
func (c *Core) TransferLeadership(now time.Duration, target ReplicaID) error {
	c.advanceClock(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if target == 0 {
		target = c.chooseTransferTarget()
	}
	if target == c.config.ID || !c.configuration().IsVoter(target) {
		return ErrUnknownMember
	}
	c.transfer = leadershipTransfer{target: target, deadline: c.now + c.config.ElectionTimeout}
	c.sendAppend(target, false)
	c.maybeSendTimeoutNow(target)
	return nil
}

func (c *Core) chooseTransferTarget() ReplicaID {
	var best ReplicaID
	var bestMatch uint64
	for _, voter := range c.configuration().Voters() {
		if voter == c.config.ID || !c.isActive(voter) {
			continue
		}
		if match := c.matchIndexOf(voter); best == 0 || match > bestMatch {
			best, bestMatch = voter, match
		}
	}
	return best
}

// maybeSendTimeoutNow makes the target of a transfer campaign at once if it has
// the whole log.
func (c *Core) maybeSendTimeoutNow(id ReplicaID) {
	if c.transfer.target != id || c.matchIndexOf(id) != c.log.lastIndex() {
		return
	}
	c.sendAfterSync(Message{Kind: MessageTimeoutNow, To: id})
}

func (c *Core) handleTimeoutNow() {
	if c.role == RoleLeader || !c.configuration().IsVoter(c.config.ID) {
		return
	}
	c.startCampaign(true)
}
