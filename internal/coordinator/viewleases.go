package coordinator

import (
	"strconv"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// viewLeases tracks which views of the state others may still act on. Each holds a lease on what it has, until the term after
// it was last heard of. It is safe for concurrent use.
type viewLeases struct {
	mutex sync.Mutex
	term  time.Duration
	// since is when the leases of which nothing is known began to run out.
	since   time.Duration
	holders map[string]leasedView
}

// heldView is what a holder may act on: a revision of the list, and a version of the configuration. What is not known is 0.
type heldView struct{ list, version uint64 }

// leasedView is what a holder had at a time.
type leasedView struct {
	heldView
	at time.Duration
}

func newViewLeases(term time.Duration) *viewLeases {
	return &viewLeases{term: term, holders: map[string]leasedView{}}
}

// restart forgets all holders: others than those that are heard of from now on may hold leases until the term has passed.
func (l *viewLeases) restart(now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.since = now
	clear(l.holders)
}

// renew records what a holder has.
func (l *viewLeases) renew(now time.Duration, holder string, held heldView) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holders[holder] = leasedView{heldView: held, at: now}
}

// oldest returns the lowest revision and version on which there is a lease, given the newest.
func (l *viewLeases) oldest(now time.Duration, newest heldView) heldView {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now-l.since < l.term {
		return heldView{}
	}
	for holder, held := range l.holders {
		if now-held.at >= l.term {
			delete(l.holders, holder)
			continue
		}
		newest.list = min(newest.list, held.list)
		newest.version = min(newest.version, held.version)
	}
	return newest
}

// newestView is what a process acts on that has this state.
func newestView(state *region.State) heldView {
	return heldView{list: state.ListRevision, version: state.Version}
}

// heldView returns the oldest list and configuration that this coordinator, or a gateway that polls it, may act on.
func (c *Coordinator) heldView() heldView {
	state, _ := c.machine.read()
	return c.gatewayViews.oldest(c.now(), newestView(&state))
}

// renewGatewayView records what a gateway acts on, or what it is shown as its first, nil if it is not shown anything yet. A
// process that has replaced another one at its address holds a lease of its own.
func (c *Coordinator) renewGatewayView(now time.Duration, request *region.ViewRequest, shown *region.State) {
	held := heldView{list: request.ListRevision, version: request.InForce}
	if held.version == 0 {
		held.version = request.Version
	}
	if shown != nil && held.list == 0 {
		held.list = shown.ListRevision
	}
	if shown != nil && held.version == 0 {
		held.version = shown.Version
	}
	if held.list != 0 {
		c.gatewayViews.renew(now, request.Address+"/"+strconv.FormatInt(request.Life, 10), held)
	}
}

// renewMemberView records at the leader what a coordinator and its gateways act on. A new leader does not know of those that an
// earlier one has heard of.
func (c *Coordinator) renewMemberView(now time.Duration, from string, held heldView) {
	c.restartMemberViews(now)
	c.memberViews.renew(now, from, held)
}

// restartMemberViews forgets what was heard in an earlier term of the group.
func (c *Coordinator) restartMemberViews(now time.Duration) {
	if term := c.group.Runner.Status().Term; c.memberViewsTerm.Swap(term) != term {
		c.memberViews.restart(now)
	}
}
