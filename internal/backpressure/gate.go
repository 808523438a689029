package backpressure

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

// Peer is a called process: its address, and the incarnation that is expected there.
type Peer struct{ Address, Instance string }

// Options configure a Gate.
type Options struct {
	// Clock returns the time, which also advances while the machine is suspended.
	Clock func() time.Duration
	// Leaving reports whether a response says that its sender is leaving; nil if no response can.
	Leaving func(header http.Header) bool
	// LeavingGrace is how long a peer may be sent new work after it has first said that it is leaving; 0 for
	// no limit.
	LeavingGrace time.Duration
	// ListedGrace is how long a peer may be sent work that was meant for it before this process learned that a list shows it
	// as leaving, or no longer; 0 for no limit. It is shorter than LeavingGrace, since the list was read some time before.
	ListedGrace time.Duration
	Logger      logr.Logger
}

// Gate tracks what peers ask of this process. It is safe for concurrent use.
type Gate struct {
	options Options
	// honorBackoff and honorLeaving are set if the gate records requested backoffs, and leaving peers.
	honorBackoff, honorLeaving bool
	// stateCount is len(states), kept separately so that calls take no lock while it is 0.
	stateCount atomic.Int64
	// onChange is set by OnChange.
	onChange func(peer Peer, state *PeerState)

	mutex  sync.Mutex
	states map[Peer]*PeerState
	// sweepThreshold is the number of states from which the next sweep removes the expired ones.
	sweepThreshold int
}

// logInterval is the minimum time between two log lines about one peer, which may ask for more in every
// response.
const logInterval = time.Second

// NewGate returns a gate without peer states.
func NewGate(options Options) *Gate {
	if options.Leaving == nil {
		options.Leaving = func(http.Header) bool { return false }
	}
	return &Gate{
		options:        options,
		honorBackoff:   true,
		honorLeaving:   true,
		onChange:       func(Peer, *PeerState) {},
		states:         map[Peer]*PeerState{},
		sweepThreshold: minimumSweepThreshold,
	}
}

// Disable makes the gate ignore requested backoffs, or leaving peers, to measure the benefit of each. It
// must be called before first use.
func (g *Gate) Disable(backoff, leaving bool) { g.honorBackoff, g.honorLeaving = !backoff, !leaving }

// OnChange sets a function that is called for each peer that asks for something for the first time, and again
// when it says that it is leaving. For a peer that is not listed any more it is called each time: the response may be
// that of the next incarnation. It must be called before first use.
func (g *Gate) OnChange(notify func(peer Peer, state *PeerState)) { g.onChange = notify }

// Now is the current time by the gate's clock.
func (g *Gate) Now() time.Duration { return g.options.Clock() }

// Empty reports whether the gate holds no peer state.
func (g *Gate) Empty() bool { return g.stateCount.Load() == 0 }

// Observe records what the status and header of a peer's response ask for. A misdirected request was answered by
// another incarnation, whose response says nothing about the expected one.
func (g *Gate) Observe(peer Peer, status int, header http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	backoff, unreadable := parseRetryAfter(status, header)
	if !g.honorBackoff {
		backoff, unreadable = 0, false
	}
	leaving := g.honorLeaving && g.options.Leaving(header)
	if backoff <= 0 && !unreadable && !leaving {
		return
	}
	now := g.Now()
	state, first := g.getOrCreate(peer)
	g.note(state, now, backoff, leaving)
	longer := state.extendBackoff(now, backoff)
	leaves := leaving && noteFirst(&state.saidAt, now)
	if first || leaves || state.unlistedAt.Load() != 0 {
		g.onChange(peer, state)
	}
	switch {
	case leaves:
		g.options.Logger.Info(event.LeavingSaid, "life", peer.Instance, "address", peer.Address)
	case longer:
		g.logBackoff(peer, state, event.RestAsked, backoff)
	case unreadable:
		g.logBackoff(peer, state, event.RestUnreadable, 0)
	}
}

// note records the newest response of a peer that asked for something.
func (g *Gate) note(state *PeerState, now, backoff time.Duration, leaving bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if backoff > 0 {
		state.askedAt, state.askedUntil = now, now+backoff
	}
	if leaving {
		state.saidLastAt = now
	}
}

// Inherit records for the next incarnation of a peer what the former one is recorded to have asked for since the
// next one started, age ago: responses don't state their incarnation, and the next one may answer before it is
// expected. It does not call the function of OnChange.
func (g *Gate) Inherit(former, next Peer, age time.Duration) {
	before := g.lookup(former)
	if before == nil {
		return
	}
	now := g.Now()
	startedAt := now - age
	g.mutex.Lock()
	askedAt, askedUntil, saidLastAt := before.askedAt, before.askedUntil, before.saidLastAt
	g.mutex.Unlock()
	backoff := askedAt > 0 && askedAt >= startedAt && askedUntil > now
	leaving := saidLastAt > 0 && saidLastAt >= startedAt
	if !backoff && !leaving {
		return
	}
	state, _ := g.getOrCreate(next)
	if backoff {
		state.extendBackoff(now, askedUntil-now)
	}
	if leaving {
		// If the former one has said so too, the first word of the next one is not known, but it came after its start.
		noteFirst(&state.saidAt, max(time.Duration(before.saidAt.Load()), startedAt))
	}
}

// MarkToldLeaving records that another process has reported that a peer is leaving, and returns its state. It does not call
// the function of OnChange.
func (g *Gate) MarkToldLeaving(peer Peer) *PeerState {
	state, _ := g.getOrCreate(peer)
	noteFirst(&state.toldAt, g.Now())
	return state
}

// MarkListedLeaving records that a list shows a peer as leaving, and returns its state. It does not call the function of
// OnChange.
func (g *Gate) MarkListedLeaving(peer Peer) *PeerState {
	state, _ := g.getOrCreate(peer)
	noteFirst(&state.listedAt, g.Now())
	return state
}

// BlockedError says that a request must not be sent to a peer now.
type BlockedError struct{ reason string }

// Error implements error.
func (e *BlockedError) Error() string { return e.reason }

var (
	errBackoff       = &BlockedError{reason: "it has asked for rest"}
	errLeaving       = &BlockedError{reason: "it has said that it leaves"}
	errListedLeaving = &BlockedError{reason: "the list shows that it leaves"}
	errUnlisted      = &BlockedError{reason: "the list shows it no longer"}
)

// Permits returns a BlockedError if a request must not be sent to a peer now, else nil. work is set for new work:
// a request that only concerns work the peer already has may go to a leaving peer, but not to one in backoff.
func (g *Gate) Permits(peer Peer, newWork bool) error {
	state := g.lookup(peer)
	if state == nil {
		return nil
	}
	now := g.Now()
	switch {
	case state.BackoffLeft(now) > 0:
		return errBackoff
	case !newWork:
		return nil
	case !g.AcceptsWork(state, now):
		return errLeaving
	case isOver(&state.listedAt, g.options.ListedGrace, now):
		return errListedLeaving
	case isOver(&state.unlistedAt, g.options.ListedGrace, now):
		return errUnlisted
	}
	return nil
}

// AcceptsWork reports whether a peer may still be sent new work, considering only whether it, or another process, has said that
// it is leaving.
func (g *Gate) AcceptsWork(state *PeerState, now time.Duration) bool {
	return !isOver(&state.saidAt, g.options.LeavingGrace, now) && !isOver(&state.toldAt, g.options.LeavingGrace, now)
}

// isOver reports whether a grace that began at a time, 0 for never, is over. A grace of 0 has no end.
func isOver(from *atomic.Int64, grace, now time.Duration) bool {
	at := from.Load()
	return at != 0 && grace != 0 && now >= time.Duration(at)+grace
}

// getOrCreate returns the state of a peer, and whether it was created.
func (g *Gate) getOrCreate(peer Peer) (state *PeerState, first bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if existing, found := g.states[peer]; found {
		return existing, false
	}
	g.sweep()
	g.stateCount.Add(1)
	created := &PeerState{}
	g.states[peer] = created
	return created, true
}

// logBackoff logs what a peer asks for, at most one line per logInterval.
func (g *Gate) logBackoff(peer Peer, state *PeerState, what event.Event, backoff time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.Now()
	if now < state.nextLogAt {
		state.omitted++
		return
	}
	g.options.Logger.Info(what, "life", peer.Instance, "address", peer.Address, "rest_ms", backoff.Milliseconds(),
		"left_ms", state.BackoffLeft(now).Milliseconds(), "omitted", state.omitted)
	state.nextLogAt, state.omitted = now+logInterval, 0
}

// Counts returns the number of peers in backoff now, and of peers that have said that they are leaving.
func (g *Gate) Counts() (backingOff, leaving int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.Now()
	for _, each := range g.states {
		if each.BackoffLeft(now) > 0 {
			backingOff++
		}
		if each.Leaving() {
			leaving++
		}
	}
	return backingOff, leaving
}

// MarkListed notes that a peer is listed (again), so that its state does not expire, and returns the state; nil
// if there is none.
func (g *Gate) MarkListed(peer Peer) *PeerState {
	state := g.lookup(peer)
	if state != nil {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		state.expireAt = 0
		state.unlistedAt.Store(0)
	}
	return state
}

// lookup returns the state of a peer, nil if it has asked for nothing.
func (g *Gate) lookup(peer Peer) *PeerState {
	if g.Empty() {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.states[peer]
}

// MarkUnlisted notes that a peer is no longer listed: its state expires after the retention time, or at the end of
// its backoff if that is later.
func (g *Gate) MarkUnlisted(peer Peer) {
	dropped, _ := g.getOrCreate(peer)
	now := g.Now()
	noteFirst(&dropped.unlistedAt, now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	dropped.expireAt = now + max(retention, dropped.BackoffLeft(now))
}

// Forget deletes the state of a peer whose process has ended.
func (g *Gate) Forget(peer Peer) {
	if g.Empty() {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, found := g.states[peer]; found {
		delete(g.states, peer)
		g.stateCount.Add(-1)
	}
}

// minimumSweepThreshold is the number of states below which no sweep takes place.
const minimumSweepThreshold = 64

// sweep deletes the expired states, each time that there are twice as many states as after the previous sweep.
// The caller must hold g.mutex.
func (g *Gate) sweep() {
	if len(g.states) < g.sweepThreshold {
		return
	}
	now := g.Now()
	for peer, each := range g.states {
		if each.expired(now) {
			delete(g.states, peer)
			g.stateCount.Add(-1)
		}
	}
	g.sweepThreshold = max(2*len(g.states), minimumSweepThreshold)
}
