package consensus

import "time"

// Core is one replica of one group. It is not safe for concurrent use.
type Core struct {
	config Config
	now    time.Duration

	role   Role
	term   uint64
	vote   ReplicaID
	leader ReplicaID

	log        *entryLog
	membership membershipHistory
	snapshot   Snapshot

	electionDeadline  time.Duration
	lastLeaderContact time.Duration
	// removedAt is the log index of a committed configuration that lacks this
	// replica, as a member has told since a leader was last heard; 0 for none.
	removedAt    uint64
	heartbeatDue time.Duration

	// votes holds the responses to this replica's campaign: true if granted.
	votes map[ReplicaID]bool
	// progress holds the replication state of all other members on a leader.
	progress map[ReplicaID]*progress
	reads    readTracker
	transfer leadershipTransfer
	incoming *incomingSnapshot
	// hasLostEntries is set once the log is found to lack entries that this
	// replica has acknowledged.
	hasLostEntries bool

	outbox outbox
}

// New returns a follower with the state in config.
func New(config Config) (*Core, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	core := &Core{
		config:   config,
		now:      config.Now,
		role:     RoleFollower,
		term:     max(config.HardState.Term, config.Snapshot.Term),
		vote:     config.HardState.Vote,
		snapshot: config.Snapshot,
	}
	if core.term != config.HardState.Term {
		core.vote = 0
	}
	core.log = newEntryLog(config.Snapshot, config.Entries, config.HardState.Commit)
	core.membership = newMembershipHistory(config.Snapshot)
	if err := core.membership.append(core.log.entriesBetween(config.Snapshot.Index, core.log.lastIndex())); err != nil {
		return nil, err
	}
	core.outbox.savedHardState = config.HardState
	core.resetElectionDeadline()
	core.lastLeaderContact = core.now
	core.config.Entries = nil
	core.config.Snapshot = Snapshot{}
	return core, nil
}

// advanceClock sets the core's time, which never goes backwards.
func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// Tick advances the core's time to now. It starts campaigns, sends heartbeats,
// ends a leadership transfer that has timed out, and makes a leader without an
// active quorum step down.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDeadline {
		c.resetElectionDeadline()
		c.seekLeader()
	}
}

// seekLeader campaigns. A replica without a vote, or one that was told that it is
// no member any more, asks the others about its membership instead.
func (c *Core) seekLeader() {
	if c.removedAt != 0 || !c.configuration().IsVoter(c.config.ID) {
		c.queryMembership()
		return
	}
	c.startPreVote()
}

func (c *Core) tickLeader() {
	if !c.hasActiveQuorum(c.configuration()) {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transfer.target != 0 && c.now >= c.transfer.deadline {
		c.transfer = leadershipTransfer{}
	}
	if c.now >= c.heartbeatDue {
		c.broadcastHeartbeat()
	}
}

// Step handles a message from another replica. It ignores messages to other
// replicas, groups or foundings, and vote requests while the leader is live,
// unless they are part of a leadership transfer.
func (c *Core) Step(now time.Duration, message Message) {
	c.advanceClock(now)
	if message.To != c.config.ID || message.Group != c.config.Group || message.From == 0 {
		return
	}
	if !c.matchesFounding(message) {
		return
	}
	if c.handleMembershipMessage(message) {
		return
	}
	if isVoteRequest(message) {
		c.tellIfRemoved(message.From)
	}
	if isVoteRequest(message) && !message.Transfer && c.hasLiveLeader() {
		return
	}
	if !c.reconcileTerm(message) {
		return
	}
	c.dispatch(message)
}

// reconcileTerm moves this replica to the message's term if that is newer and
// rejects a message of an older term. It reports whether the message is to be
// handled.
func (c *Core) reconcileTerm(message Message) bool {
	switch {
	case message.Term > c.term:
		c.handleHigherTerm(message)
		return true
	case message.Term < c.term:
		c.rejectStaleTerm(message)
		return false
	default:
		return true
	}
}

func (c *Core) handleHigherTerm(message Message) {
	if message.Kind == MessagePreVoteRequest {
		return
	}
	if message.Kind == MessagePreVoteResponse && !message.Rejected {
		return
	}
	leader := ReplicaID(0)
	if isFromLeader(message) {
		leader = message.From
	}
	c.becomeFollower(message.Term, leader)
}

// rejectStaleTerm sends the current term to the sender of a request with an
// older term, so that a stale leader steps down and a stale candidate ends its
// campaign.
func (c *Core) rejectStaleTerm(message Message) {
	switch {
	case isFromLeader(message):
		c.sendAfterSync(Message{Kind: MessageAppendResponse, To: message.From, Rejected: true})
	case message.Kind == MessagePreVoteRequest:
		c.sendAfterSync(Message{Kind: MessagePreVoteResponse, To: message.From, Rejected: true})
	case message.Kind == MessageVoteRequest:
		c.sendAfterSync(Message{Kind: MessageVoteResponse, To: message.From, Rejected: true})
	}
}

func (c *Core) dispatch(message Message) {
	switch message.Kind {
	case MessagePreVoteRequest, MessageVoteRequest:
		c.handleVoteRequest(message)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(message)
	case MessageAppendRequest:
		c.handleAppendRequest(message)
	case MessageAppendResponse:
		c.handleAppendResponse(message)
	case MessageHeartbeatRequest:
		c.handleHeartbeatRequest(message)
	case MessageHeartbeatResponse:
		c.handleHeartbeatResponse(message)
	case MessageSnapshotRequest:
		c.handleSnapshotRequest(message)
	case MessageSnapshotResponse:
		c.handleSnapshotResponse(message)
	case MessageTimeoutNow:
		c.handleTimeoutNow()
	}
}

func isVoteRequest(message Message) bool {
	return message.Kind == MessagePreVoteRequest || message.Kind == MessageVoteRequest
}

func isFromLeader(message Message) bool {
	switch message.Kind {
	case MessageAppendRequest, MessageHeartbeatRequest, MessageSnapshotRequest:
		return true
	default:
		return false
	}
}

// PromiseFounding makes the core ignore messages of all other foundings.
func (c *Core) PromiseFounding(founding uint64) { c.config.Founding = founding }

// founding returns the founding token of this replica's group, or zero.
func (c *Core) founding() uint64 {
	if founding := c.configuration().Founding; founding != 0 {
		return founding
	}
	return c.config.Founding
}

// matchesFounding reports whether a message has this replica's founding. A
// replica without one adopts that of the first leader that contacts it.
func (c *Core) matchesFounding(message Message) bool {
	if c.founding() == 0 && isFromLeader(message) {
		c.config.Founding = message.Founding
	}
	return message.Founding == c.founding()
}

func (c *Core) configuration() Configuration { return c.membership.latest() }
