package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Options are what a Guard is made from.
type Options struct {
	// Now is the time since some moment, on a clock that does not jump.
	Now func() time.Duration
	// InTouch reports whether the gateway knows what the coordinators know.
	InTouch func() bool
	// Contact is how long processes that reach each other may take to know what one knows.
	Contact time.Duration
	// Memory is how long evidence counts.
	Memory time.Duration
	// Dropped is told of evidence that is given up for lack of room.
	Dropped func(digests int)
}

// SettleShare of the contact time is for how long evidence has to stand before a request is held:
// it reaches the leader from all gateways within some tens of milliseconds, and what is left is
// for the hold to reach all of them.
const SettleShare = 0.1

// Settle is for how long evidence has to stand before a request is held.
func Settle(contact time.Duration) time.Duration {
	return time.Duration(SettleShare * float64(contact))
}

const (
	// maximumUntold bounds the digests that wait to be told to a coordinator: 64 KB.
	maximumUntold = 4096
	// maximumReport bounds the digests of one report: 4 KB.
	maximumReport = 256
)

// Guard is what a gateway knows of requests that end replicas. It may be used concurrently.
type Guard struct {
	options Options
	// view is what requests are held against; it is replaced, never changed.
	view atomic.Pointer[guardView]
	// wake has one token while there is something to tell, and noted while there may be own evidence
	// to look at.
	wake, noted chan struct{}

	mutex    sync.Mutex
	revision uint64
	// entries are those that the coordinators have told.
	entries map[Digest]NewsEntry
	// own is the evidence of this gateway alone, by which it holds requests while it reaches no
	// coordinator; ownHeld are those, with the time up to which they are held.
	own      State
	position uint64
	ownHeld  map[Digest]time.Duration
	// ends and ranWell are what is to be told.
	ends    []End
	ranWell []Digest
}

// guardView is a state of a Guard.
type guardView struct {
	// targets are those of all digests that are watched.
	targets map[uint32]struct{}
	held    map[Digest]struct{}
	watched map[Digest]struct{}
	// onProbation are those that may be held soon.
	onProbation map[Digest]struct{}
}

// NewGuard returns a Guard that knows of nothing.
func NewGuard(options Options) *Guard {
	return &Guard{
		options: options,
		wake:    make(chan struct{}, 1),
		noted:   make(chan struct{}, 1),
		entries: map[Digest]NewsEntry{},
		ownHeld: map[Digest]time.Duration{},
	}
}

// Request is one whose content identifies it.
type Request interface {
	// TargetHash is TargetOf its host and target.
	TargetHash() uint32
	// Digest is that of its content.
	Digest() Digest
}

// Holds reports whether a request must be sent to no replica. Its content is hashed only if
// something is known of its target: a call then costs 17 us for 17 KB of body, and else 0.15 us
// (BenchmarkGuardedCall, one processor).
func (g *Guard) Holds(request Request) bool {
	view := g.view.Load()
	if !view.watches(request) {
		return false
	}
	_, held := view.held[request.Digest()]
	return held
}

// MayRepeat reports whether a request that has lost a replica may be sent to another one in the
// same call. One that has ended as many replicas as one that is held, and can't be told from others
// that were there, is sent once a call: in one call it may end several more before the evidence of
// the first has arrived.
func (g *Guard) MayRepeat(request Request) bool { return !g.OnProbation(request) }

// OnProbation reports whether a request has ended as many replicas as one that is held, and can't be
// told from others that were there.
func (g *Guard) OnProbation(request Request) bool {
	view := g.view.Load()
	if !view.watches(request) {
		return false
	}
	_, onProbation := view.onProbation[request.Digest()]
	return onProbation
}

// MayLeave reports whether a request may be passed on to others that do not know the evidence that
// is known here: not if two replicas or more have ended under it.
func (g *Guard) MayLeave(request Request) bool {
	view := g.view.Load()
	if !view.watches(request) {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	digest := request.Digest()
	_, told := g.entries[digest]
	own, _ := g.own.Find(digest)
	return !told && !own.watched()
}

// watches reports whether something is known of a request's target.
func (v *guardView) watches(request Request) bool {
	if v == nil || len(v.targets) == 0 {
		return false
	}
	_, known := v.targets[request.TargetHash()]
	return known
}

// Ended notes that a replica has ended under requests of this gateway.
func (g *Guard) Ended(replica string, under []Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyOwn(&Command{Ends: []End{{Replica: replica, Under: under}}})
	g.ends = append(g.ends, End{Replica: replica, Under: under})
	g.bound()
	g.refresh()
	g.wakeUp()
}

// RanWell notes that a replica has run a request to a good end. met says that a replica had ended
// under it before; else it is told only if the request is watched.
func (g *Guard) RanWell(request Request, met bool) {
	if !met {
		view := g.view.Load()
		if !view.watches(request) {
			return
		}
		if _, watched := view.watched[request.Digest()]; !watched {
			return
		}
	}
	digest := request.Digest()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyOwn(&Command{RanWell: []Digest{digest}})
	delete(g.ownHeld, digest)
	g.ranWell = append(g.ranWell, digest)
	g.bound()
	g.refresh()
	g.wakeUp()
}

// applyOwn is called with the mutex held.
func (g *Guard) applyOwn(command *Command) {
	g.position++
	command.At = g.options.Now().Nanoseconds() + 1
	g.own.Apply(g.position, command)
}

// bound gives up the oldest of what waits to be told if it is too much. It is called with the
// mutex held.
func (g *Guard) bound() {
	dropped := 0
	for untold(g.ends)+len(g.ranWell) > maximumUntold {
		if len(g.ends) == 0 {
			g.ranWell = g.ranWell[1:]
			dropped++
			continue
		}
		dropped += len(g.ends[0].Under)
		g.ends = g.ends[1:]
	}
	if dropped > 0 && g.options.Dropped != nil {
		g.options.Dropped(dropped)
	}
}

func untold(ends []End) int {
	sum := 0
	for _, end := range ends {
		sum += len(end.Under)
	}
	return sum
}

func (g *Guard) wakeUp() {
	select {
	case g.noted <- struct{}{}:
	default:
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Wake has a token whenever there is something to tell.
func (g *Guard) Wake() <-chan struct{} { return g.wake }

// Revision is that of the news last taken.
func (g *Guard) Revision() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.revision
}

// Take takes a coordinator's news over; nil is none.
func (g *Guard) Take(news *News) {
	if news == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if news.Revision <= g.revision {
		return
	}
	if news.Whole {
		clear(g.entries)
	}
	for _, entry := range news.Entries {
		g.entries[entry.Digest] = entry
		if entry.Held {
			// The replicas that it has ended are no evidence against requests beside it.
			g.applyOwn(&Command{Hold: []Digest{entry.Digest}})
		}
	}
	for _, digest := range news.Freed {
		delete(g.entries, digest)
		// An operator may have let it go, or it has run well elsewhere.
		g.applyOwn(&Command{Release: []Digest{digest}})
		delete(g.ownHeld, digest)
	}
	g.revision = news.Revision
	g.refresh()
}

// HasOwn reports whether there is own evidence to look at.
func (g *Guard) HasOwn() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.hasOwn()
}

// hasOwn is called with the mutex held.
func (g *Guard) hasOwn() bool { return len(g.own.Records) > 0 || len(g.ownHeld) > 0 }

// Noted has a token once there may be own evidence.
func (g *Guard) Noted() <-chan struct{} { return g.noted }

// Look holds requests by the gateway's own evidence while it is out of touch, and for a contact
// time after, in which the coordinators decide. It returns those that it has begun to hold.
func (g *Guard) Look() []Digest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.hasOwn() {
		return nil
	}
	now := g.options.Now()
	if before := (now - g.options.Memory).Nanoseconds(); before > 0 && g.own.Lapsed(before) {
		g.applyOwn(&Command{ForgetBefore: before})
	}
	outOfTouch := !g.options.InTouch()
	changed := false
	var begun []Digest
	if outOfTouch {
		begun = g.own.Due(now.Nanoseconds()+1, Settle(g.options.Contact))
		if len(begun) > 0 {
			g.applyOwn(&Command{Hold: begun})
		}
		for index := range g.own.Records {
			if record := &g.own.Records[index]; record.HeldAt != 0 {
				changed = changed || g.ownHeld[record.Digest] == 0
				g.ownHeld[record.Digest] = now + g.options.Contact
			}
		}
	}
	for digest, until := range g.ownHeld {
		if now >= until {
			delete(g.ownHeld, digest)
			changed = true
		}
	}
	if changed {
		g.refresh()
	}
	return begun
}

// refresh shows the present state. It is called with the mutex held.
func (g *Guard) refresh() {
	view := &guardView{
		targets: map[uint32]struct{}{}, held: map[Digest]struct{}{}, watched: map[Digest]struct{}{},
		onProbation: map[Digest]struct{}{},
	}
	watch := func(digest Digest) {
		view.targets[digest.Target()] = struct{}{}
		view.watched[digest] = struct{}{}
	}
	for digest, entry := range g.entries {
		watch(digest)
		if entry.Held {
			view.held[digest] = struct{}{}
		}
		if entry.OnProbation {
			view.onProbation[digest] = struct{}{}
		}
	}
	for index := range g.own.Records {
		record := &g.own.Records[index]
		watch(record.Digest)
		if record.onProbation() {
			view.onProbation[record.Digest] = struct{}{}
		}
	}
	for digest := range g.ownHeld {
		watch(digest)
		view.held[digest] = struct{}{}
	}
	g.view.Store(view)
}

// Report takes what is to be told next, nil if nothing.
func (g *Guard) Report(gateway string) *Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.ends) == 0 && len(g.ranWell) == 0 {
		return nil
	}
	report := &Report{Gateway: gateway}
	room := maximumReport
	for _, end := range g.ends {
		if len(report.Ends) > 0 && len(end.Under) > room {
			break
		}
		room -= len(end.Under)
		report.Ends = append(report.Ends, end)
	}
	g.ends = g.ends[len(report.Ends):]
	if len(g.ends) == 0 {
		// A good end must not overtake an earlier end of a replica.
		count := min(len(g.ranWell), max(room, 1))
		report.RanWell = g.ranWell[:count:count]
		g.ranWell = g.ranWell[count:]
	}
	if len(g.ends)+len(g.ranWell) > 0 {
		g.wakeUp()
	}
	return report
}

// Return takes a report back that no coordinator has taken.
func (g *Guard) Return(report *Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ends = append(slices.Clip(report.Ends), g.ends...)
	g.ranWell = append(slices.Clip(report.RanWell), g.ranWell...)
	g.bound()
	g.wakeUp()
}

// Counts are the requests that are held and those that are watched.
func (g *Guard) Counts() (held, watched int) {
	view := g.view.Load()
	if view == nil {
		return 0, 0
	}
	return len(view.held), len(view.watched)
}
