package consensus

import "time"

// becomeFollower makes this replica a follower in term, which must not be below
// the current one.
func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == RoleLeader {
		c.lastLeaderContact = c.now
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.reads = readTracker{}
	c.transfer = leadershipTransfer{}
	c.resetElectionDeadline()
}

// resetElectionDeadline sets the next campaign to a random time between one and
// two election timeouts from now. A sole voter has no leader or other candidates
// to wait for, so it campaigns at the next Tick.
func (c *Core) resetElectionDeadline() {
	voters := c.configuration().Voters()
	if len(voters) == 1 && voters[0] == c.config.ID {
		c.electionDeadline = c.now
		return
	}
	spread := time.Duration(c.config.Random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDeadline = c.now + c.config.ElectionTimeout + spread
}

// resetCampaignRetryDeadline sets the time at which a campaign without a
// majority is repeated, at random between a quarter and the whole of an election
// timeout from now. The leader is already known to be unresponsive, so no full
// election timeout has to pass; the wide range makes it less likely that
// candidates split the vote again.
func (c *Core) resetCampaignRetryDeadline() {
	shortest := c.config.ElectionTimeout / 4
	spread := time.Duration(c.config.Random.Int64N(int64(c.config.ElectionTimeout - shortest)))
	c.electionDeadline = c.now + shortest + spread
}

// hasLiveLeader reports whether this replica leads or has heard from its leader
// within an election timeout, and therefore ignores campaigns (Ongaro 2014,
// section 4.2.3).
func (c *Core) hasLiveLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != 0 && c.now-c.lastLeaderContact < c.config.ElectionTimeout
}

// recordLeaderContact makes this replica a follower of the leader of the current
// term, from which a message has arrived, and resets the election deadline.
func (c *Core) recordLeaderContact(leader ReplicaID) {
	if c.role != RoleFollower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.lastLeaderContact = c.now
	c.removedAt = 0
	c.resetElectionDeadline()
}

// startPreVote asks the voters whether they would vote for this replica, without
// entering a new term (Ongaro 2014, section 9.6).
func (c *Core) startPreVote() {
	if !c.configuration().IsVoter(c.config.ID) {
		return
	}
	c.becomeFollower(c.term, 0)
	c.resetCampaignRetryDeadline()
	c.role = RolePreCandidate
	c.requestVotes(MessagePreVoteRequest, c.term+1, false)
}

// startCampaign enters a new term as a candidate.
func (c *Core) startCampaign(isTransfer bool) {
	c.becomeFollower(c.term+1, 0)
	c.resetCampaignRetryDeadline()
	c.role = RoleCandidate
	c.vote = c.config.ID
	c.requestVotes(MessageVoteRequest, c.term, isTransfer)
}

func (c *Core) requestVotes(kind MessageKind, term uint64, isTransfer bool) {
	c.votes = map[ReplicaID]bool{c.config.ID: true}
	if c.countVotes(true) >= c.configuration().Quorum() {
		c.handleVoteMajority()
		return
	}
	for _, voter := range c.configuration().Voters() {
		if voter == c.config.ID {
			continue
		}
		c.sendAfterSync(Message{
			Kind:     kind,
			To:       voter,
			Term:     term,
			LogIndex: c.log.lastIndex(),
			LogTerm:  c.log.lastTerm(),
			Transfer: isTransfer,
		})
	}
}

func (c *Core) handleVoteMajority() {
	if c.role == RolePreCandidate {
		c.startCampaign(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) countVotes(granted bool) int {
	count := 0
	for _, voter := range c.configuration().Voters() {
		if vote, responded := c.votes[voter]; responded && vote == granted {
			count++
		}
	}
	return count
}

func (c *Core) handleVoteRequest(message Message) {
	response := Message{Kind: MessageVoteResponse, To: message.From}
	if message.Kind == MessagePreVoteRequest {
		response.Kind = MessagePreVoteResponse
	}
	if !c.canVoteFor(message) || !c.log.isUpToDate(message.LogIndex, message.LogTerm) {
		response.Rejected = true
		c.sendAfterSync(response)
		return
	}
	response.Term = message.Term
	if message.Kind == MessageVoteRequest {
		c.vote = message.From
		c.resetElectionDeadline()
	}
	c.sendAfterSync(response)
}

func (c *Core) canVoteFor(message Message) bool {
	if message.Kind == MessagePreVoteRequest && message.Term > c.term {
		return true
	}
	if c.vote == message.From {
		return true
	}
	return c.vote == 0 && c.leader == 0
}

func (c *Core) handleVoteResponse(message Message) {
	if !c.expectsVoteResponse(message) {
		return
	}
	if _, responded := c.votes[message.From]; responded {
		return
	}
	c.votes[message.From] = !message.Rejected
	quorum := c.configuration().Quorum()
	switch {
	case c.countVotes(true) >= quorum:
		c.handleVoteMajority()
	case c.countVotes(false) >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) expectsVoteResponse(message Message) bool {
	if message.Kind == MessageVoteResponse {
		return c.role == RoleCandidate
	}
	if c.role != RolePreCandidate {
		return false
	}
	return message.Rejected || message.Term == c.term+1
}

// becomeLeader appends an empty entry of the new term, because entries of earlier
// terms are committed only together with one of the leader's own term (Ongaro
// 2014, section 3.6.2).
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.config.ID
	c.votes = nil
	c.progress = map[ReplicaID]*progress{}
	c.reads = readTracker{}
	c.syncProgress()
	c.appendAsLeader(EntryEmpty, nil)
	c.broadcastHeartbeat()
	c.broadcastAppend()
}

// hasActiveQuorum reports whether this leader has heard from a majority of a
// configuration's voters, itself included, within an election timeout
// (check-quorum, Ongaro 2014, section 6.2).
func (c *Core) hasActiveQuorum(configuration Configuration) bool {
	active := 0
	for _, voter := range configuration.Voters() {
		if c.isActive(voter) {
			active++
		}
	}
	return active >= configuration.Quorum()
}

func (c *Core) isActive(id ReplicaID) bool {
	if id == c.config.ID {
		return true
	}
	member, found := c.progress[id]
	return found && c.now-member.lastContact < c.config.ElectionTimeout
}
