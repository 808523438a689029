package backpressure

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

// Peer is one process that is called: an address, and the incarnation that is expected behind it.
type Peer struct{ Address, Instance string }

// Options are what a Gate is made from.
type Options struct {
	// Clock tells the time, that in which the machine was suspended too.
	Clock func() time.Duration
	// Leaving reports whether an answer says that its sender leaves; nil if none can say so.
	Leaving func(header http.Header) bool
	// LeaveTime is for how long a peer that leaves may be sent new work after it has first said so; 0 for no
	// bound.
	LeaveTime time.Duration
	Logger    logr.Logger
}

// Gate keeps what peers ask of this process. It may be used concurrently.
type Gate struct {
	options Options
	// rests and leaving say what is heard of.
	rests, leaving bool
	// asked is the number of standings, so that calls pay nothing while there are none.
	asked atomic.Int64
	// told is the function of OnChange.
	told func(peer Peer, standing *Standing)

	mutex     sync.Mutex
	standings map[Peer]*Standing
	// sweepAt is the number of standings at which those are looked for that may be forgotten.
	sweepAt int
}

// logPause is the least time between two lines on one peer, which may ask for more in each answer.
const logPause = time.Second

// NewGate returns a gate that knows of no wishes.
func NewGate(options Options) *Gate {
	if options.Leaving == nil {
		options.Leaving = func(http.Header) bool { return false }
	}
	return &Gate{
		options:   options,
		rests:     true,
		leaving:   true,
		told:      func(Peer, *Standing) {},
		standings: map[Peer]*Standing{},
		sweepAt:   leastSwept,
	}
}

// Disregard has the gate pass over rests, or over that peers leave, to measure what that is worth. It is called
// before any use.
func (g *Gate) Disregard(rests, leaving bool) { g.rests, g.leaving = !rests, !leaving }

// OnChange has a function told of each peer that asks for something for the first time, and again when it
// says that it leaves. It is called before any use.
func (g *Gate) OnChange(told func(peer Peer, standing *Standing)) { g.told = told }

// Now is the time by which standings are kept.
func (g *Gate) Now() time.Duration { return g.options.Clock() }

// Quiet reports whether no peer has asked for anything, as far as is known.
func (g *Gate) Quiet() bool { return g.asked.Load() == 0 }

// Hear takes the head of an answer of a peer. One of another incarnation says nothing of this one.
func (g *Gate) Hear(peer Peer, status int, header http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	rest, unreadable := readRest(status, header)
	if !g.rests {
		rest, unreadable = 0, false
	}
	leaving := g.leaving && g.options.Leaving(header)
	if rest <= 0 && !unreadable && !leaving {
		return
	}
	standing, first := g.standing(peer)
	now := g.Now()
	longer := standing.askRest(now, rest)
	leaves := leaving && standing.sayLeaving(now)
	if first || leaves {
		g.told(peer, standing)
	}
	switch {
	case leaves:
		g.options.Logger.Info(event.LeavingSaid, "life", peer.Instance, "address", peer.Address)
	case longer:
		g.logRest(peer, standing, event.RestAsked, rest)
	case unreadable:
		g.logRest(peer, standing, event.RestUnreadable, 0)
	}
}

// HeldError says that a peer must not be sent something now.
type HeldError struct{ reason string }

// Error implements error.
func (e *HeldError) Error() string { return e.reason }

var (
	errRests  = &HeldError{reason: "it has asked for rest"}
	errLeaves = &HeldError{reason: "it has said that it leaves"}
)

// Permits returns a HeldError if a peer must not be sent something now, else nil. work says that it is new
// work: what only concerns work that the peer has may be sent to one that leaves, and to none that rests.
func (g *Gate) Permits(peer Peer, work bool) error {
	standing := g.find(peer)
	if standing == nil {
		return nil
	}
	now := g.Now()
	if standing.RestLeft(now) > 0 {
		return errRests
	}
	if work && !g.TakesWork(standing, now) {
		return errLeaves
	}
	return nil
}

// TakesWork reports whether a peer with a standing may be sent new work, as far as its leaving goes.
func (g *Gate) TakesWork(standing *Standing, now time.Duration) bool {
	since := time.Duration(standing.leavingSince.Load())
	return since == 0 || g.InLeaveTime(since, now)
}

// InLeaveTime reports whether a peer may still be sent new work that is known to leave since a time.
func (g *Gate) InLeaveTime(since, now time.Duration) bool {
	return g.options.LeaveTime == 0 || now < since+g.options.LeaveTime
}

// standing returns that of a peer, and whether it is new.
func (g *Gate) standing(peer Peer) (standing *Standing, first bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known, found := g.standings[peer]; found {
		return known, false
	}
	g.sweep()
	g.asked.Add(1)
	created := &Standing{}
	g.standings[peer] = created
	return created, true
}

// logRest writes a line on what a peer asks for, at most one in logPause.
func (g *Gate) logRest(peer Peer, standing *Standing, what event.Event, rest time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.Now()
	if now < standing.logAt {
		standing.omitted++
		return
	}
	g.options.Logger.Info(what, "life", peer.Instance, "address", peer.Address, "rest_ms", rest.Milliseconds(),
		"left_ms", standing.RestLeft(now).Milliseconds(), "omitted", standing.omitted)
	standing.logAt, standing.omitted = now+logPause, 0
}

// Counts are the peers that are to be left alone now, and those that have said that they leave.
func (g *Gate) Counts() (resting, leaving int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.Now()
	for _, each := range g.standings {
		if each.RestLeft(now) > 0 {
			resting++
		}
		if each.Leaving() {
			leaving++
		}
	}
	return resting, leaving
}

// Know returns the standing of a peer that has become known, nil if it has asked for nothing.
func (g *Gate) Know(peer Peer) *Standing {
	known := g.find(peer)
	if known != nil {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		known.forgetAt = 0
	}
	return known
}

// find returns the standing of a peer, nil if it has asked for nothing.
func (g *Gate) find(peer Peer) *Standing {
	if g.Quiet() {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.standings[peer]
}

// Drop notes that a peer is not known any more.
func (g *Gate) Drop(peer Peer) {
	if g.Quiet() {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if dropped, found := g.standings[peer]; found {
		now := g.Now()
		dropped.forgetAt = now + max(memory, dropped.RestLeft(now))
	}
}

// Forget has the peer ask for nothing: its process has ended.
func (g *Gate) Forget(peer Peer) {
	if g.Quiet() {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, found := g.standings[peer]; found {
		delete(g.standings, peer)
		g.asked.Add(-1)
	}
}

// leastSwept is the number of standings below which none is looked for that may be forgotten.
const leastSwept = 64

// sweep forgets peers that have asked for nothing, or have not been known, for long, each time that there are twice as many standings as
// after the last time. It is called with the mutex held.
func (g *Gate) sweep() {
	if len(g.standings) < g.sweepAt {
		return
	}
	now := g.Now()
	for peer, each := range g.standings {
		if each.forgettable(now) {
			delete(g.standings, peer)
			g.asked.Add(-1)
		}
	}
	g.sweepAt = max(2*len(g.standings), leastSwept)
}
