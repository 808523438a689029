package consensus

// SoftState is the current role, leader and term of a replica. Role and leader are
// never saved, and the term may not be on disk yet.
type SoftState struct {
	Role   Role
	Leader ReplicaID
	Term   uint64
}

// Ready lists the work for the caller, to be done in this order: send
// MessagesBeforeSync; save Snapshot, Entries and HardState and sync them; restore
// the state machine from Snapshot; send MessagesAfterSync; apply CommittedEntries;
// call Advance. The core must not be used in any other way until then.
type Ready struct {
	SoftState SoftState
	// HardState is nil if there is nothing to save and sync.
	HardState *HardState
	// Entries replace all saved entries from Entries[0].Index on, if there are any.
	Entries []Entry
	// Snapshot replaces the whole log and the state of the state machine, if it is
	// not nil.
	Snapshot *Snapshot
	// MessagesBeforeSync depend on nothing that has to be on disk first.
	MessagesBeforeSync []Message
	// MessagesAfterSync depend on a term, a vote, entries or a snapshot being on
	// disk.
	MessagesAfterSync []Message
	CommittedEntries  []Entry
	ReadStates        []ReadState
}

// outbox collects the contents of the next Ready.
type outbox struct {
	beforeSync     []Message
	afterSync      []Message
	readStates     []ReadState
	snapshot       *Snapshot
	savedHardState HardState
	// stepDown is set when a leader has committed its own removal and is to become
	// a follower at the next Advance.
	stepDown bool
	// lastReady is what the last Ready contained to save and apply.
	lastReady struct {
		hardState *HardState
		saved     uint64
		applied   uint64
	}
}

func (c *Core) sendBeforeSync(message Message) {
	c.outbox.beforeSync = append(c.outbox.beforeSync, c.withSender(message))
}

func (c *Core) sendAfterSync(message Message) {
	c.outbox.afterSync = append(c.outbox.afterSync, c.withSender(message))
}

func (c *Core) withSender(message Message) Message {
	message.Group = c.config.Group
	message.Founding = c.founding()
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.term
	}
	return message
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// hasUnsavedTermOrVote reports whether the term or vote differs from that on disk.
func (c *Core) hasUnsavedTermOrVote() bool {
	saved := c.outbox.savedHardState
	return saved.Term != c.term || saved.Vote != c.vote
}

func (c *Core) mustSave() bool {
	return c.hasUnsavedTermOrVote() || c.log.saved < c.log.lastIndex() || c.outbox.snapshot != nil
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	box := &c.outbox
	return c.mustSave() || c.log.applied < c.log.committed ||
		len(box.beforeSync)+len(box.afterSync)+len(box.readStates) > 0
}

// Ready returns the work to be done now. The caller must call Advance after it.
func (c *Core) Ready() Ready {
	box := &c.outbox
	ready := Ready{
		SoftState:          c.SoftState(),
		Entries:            c.log.entriesBetween(c.log.saved, c.log.lastIndex()),
		Snapshot:           box.snapshot,
		MessagesBeforeSync: box.beforeSync,
		MessagesAfterSync:  box.afterSync,
		CommittedEntries:   c.log.entriesBetween(c.log.applied, c.log.committed),
		ReadStates:         box.readStates,
	}
	if c.mustSave() {
		hardState := c.hardState()
		ready.HardState = &hardState
	}
	if c.hasUnsavedTermOrVote() {
		// A replica that loses an unsaved term in a crash could send messages of
		// this term again with different entries. All messages wait for the sync.
		ready.MessagesAfterSync = append(ready.MessagesBeforeSync, ready.MessagesAfterSync...)
		ready.MessagesBeforeSync = nil
	}
	box.lastReady.hardState = ready.HardState
	box.lastReady.saved = c.log.lastIndex()
	box.lastReady.applied = c.log.committed
	return ready
}

// Advance reports to the core that the work of the last Ready is done.
func (c *Core) Advance() {
	box := &c.outbox
	if box.lastReady.hardState != nil {
		box.savedHardState = *box.lastReady.hardState
	}
	c.log.saved = box.lastReady.saved
	c.log.applied = max(c.log.applied, box.lastReady.applied)
	box.beforeSync, box.afterSync, box.readStates, box.snapshot = nil, nil, nil, nil
	if box.stepDown {
		box.stepDown = false
		c.becomeFollower(c.term, 0)
	}
	if c.maybeCommit() {
		c.broadcastCommit()
	}
}
