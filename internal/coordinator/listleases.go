package coordinator

import (
	"sync"
	"time"
)

// listLeases tracks which revisions of the list others may still act on. Each holds a lease on what it has, until the term
// after it was last heard of. It is safe for concurrent use.
type listLeases struct {
	mutex sync.Mutex
	term  time.Duration
	// since is when the leases of which nothing is known began to run out.
	since   time.Duration
	holders map[string]heldList
}

// heldList is the revision of the list that a holder had at a time.
type heldList struct {
	revision uint64
	at       time.Duration
}

func newListLeases(term time.Duration) *listLeases {
	return &listLeases{term: term, holders: map[string]heldList{}}
}

// restart forgets all holders: others than those that are heard of from now on may hold leases until the term has passed.
func (l *listLeases) restart(now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.since = now
	clear(l.holders)
}

// renew records the revision that a holder has, 0 if that is not known.
func (l *listLeases) renew(now time.Duration, holder string, revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holders[holder] = heldList{revision: revision, at: now}
}

// oldest returns the lowest revision on which there is a lease, given the revision of the newest list; 0 if it is not known.
func (l *listLeases) oldest(now time.Duration, newest uint64) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now-l.since < l.term {
		return 0
	}
	for holder, held := range l.holders {
		if now-held.at >= l.term {
			delete(l.holders, holder)
			continue
		}
		newest = min(newest, held.revision)
	}
	return newest
}

// heldList returns the revision of the oldest list that this coordinator, or a gateway that polls it, may act on.
func (c *Coordinator) heldList() uint64 {
	state, _ := c.machine.read()
	return c.gatewayLists.oldest(c.now(), state.ListRevision)
}

// renewMemberList records at the leader which list a coordinator and its gateways hold. A new leader does not know of those
// that an earlier one has heard of.
func (c *Coordinator) renewMemberList(now time.Duration, from string, revision uint64) {
	c.restartMemberLists(now)
	c.memberLists.renew(now, from, revision)
}

// restartMemberLists forgets what was heard in an earlier term of the group.
func (c *Coordinator) restartMemberLists(now time.Duration) {
	if term := c.group.Runner.Status().Term; c.memberListsTerm.Swap(term) != term {
		c.memberLists.restart(now)
	}
}
