package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure a Guard.
type Options struct {
	// Now returns the time since an arbitrary moment, on a monotonic clock.
	Now func() time.Duration
	// InSync reports whether the gateway's view of the coordinators' state is up to date.
	InSync func() bool
	// ContactTime bounds the time that processes which can reach each other need to learn what one of them
	// knows.
	ContactTime time.Duration
	// Retention is how long evidence is retained.
	Retention time.Duration
	// OnDropped is called with the number of digests in evidence that is dropped because too much of it
	// has not been reported.
	OnDropped func(digests int)
}

// SettleShare is the part of the contact time for which evidence has to exist before a request is held.
// All gateways' evidence reaches the leader within some tens of milliseconds; the rest of the contact
// time is left for the hold to reach all gateways.
const SettleShare = 0.1

// SettleTime returns how long evidence has to exist before a request is held.
func SettleTime(contact time.Duration) time.Duration {
	return time.Duration(SettleShare * float64(contact))
}

// Guard is a gateway's knowledge of requests that crash replicas. It may be used concurrently.
type Guard struct {
	options Options
	// view is what requests are checked against; it is replaced, never modified.
	view atomic.Pointer[guardView]
	// reportReady holds one token while there is something to report, and localEvidence while there may
	// be local evidence to check.
	reportReady, localEvidence chan struct{}

	mutex    sync.Mutex
	revision uint64
	// joint are the sets of parts that the coordinators can't tell apart.
	joint []JointSuspects
	// entries are the watched requests that the coordinators have reported.
	entries map[Digest]NewsEntry
	// local is the evidence of this gateway alone, by which it holds requests while it reaches no
	// coordinator. localHeldUntil are the requests that it holds, with the time until which it does.
	local          State
	localPosition  uint64
	localHeldUntil map[Digest]time.Duration
	// exonerated are the parts of prompts that are taken for harmless; startedAt is when the Guard was created.
	exonerated *exoneratedParts
	startedAt  time.Duration
	unreported reportQueue
}

// guardView is an immutable snapshot of what a Guard knows.
type guardView struct {
	// targets are the target hashes of all watched digests.
	targets map[uint32]struct{}
	held    map[Digest]struct{}
	// watched are the requests that the coordinators have reported, and all with local evidence.
	watched map[Digest]struct{}
	// onProbation are the requests that may be held soon.
	onProbation map[Digest]struct{}
	// joint are sets of parts; a request with all parts of one is held.
	joint []JointSuspects
}

// NewGuard returns a Guard without evidence.
func NewGuard(options Options) *Guard {
	return &Guard{
		options:        options,
		reportReady:    make(chan struct{}, 1),
		localEvidence:  make(chan struct{}, 1),
		entries:        map[Digest]NewsEntry{},
		localHeldUntil: map[Digest]time.Duration{},
		exonerated:     newExoneratedParts(exonerationTimes * options.ContactTime),
		startedAt:      options.Now(),
		unreported:     reportQueue{onDropped: options.OnDropped},
	}
}

// Request is a request that is identified by its content, and by the parts of its prompt.
type Request interface {
	// TargetHash is HashTarget of the request's host and target.
	TargetHash() uint32
	// Digest is the digest of the request's content.
	Digest() Digest
	// Parts are the digests of the parts of its prompt that other requests may share.
	Parts() []Digest
}

// HeldBy returns the digest by which a request is held, so that it must be sent to no replica: that of its content or of a
// part of its prompt. The content is hashed only if a request with the same target is watched, and parts only if
// any part is: a call then takes 17 us for a body of 17 KB, and otherwise 0.15 us (BenchmarkGuardedCall, one processor).
func (g *Guard) HeldBy(request Request) (digest Digest, held bool) {
	view := g.view.Load()
	digest, held = view.first(request, func(digest Digest) bool {
		_, held := view.held[digest]
		return held
	})
	if held || !view.watchesParts() {
		return digest, held
	}
	for _, suspects := range view.joint {
		if containsAll(request.Parts(), suspects.Parts) {
			return suspects.Parts[0], true
		}
	}
	return Digest{}, false
}

// containsAll reports whether a set contains all of the others.
func containsAll(set, others []Digest) bool {
	return !slices.ContainsFunc(others, func(each Digest) bool { return !slices.Contains(set, each) })
}

// Holds reports whether a request is held.
func (g *Guard) Holds(request Request) bool {
	_, held := g.HeldBy(request)
	return held
}

// first returns the first digest of a request, of its content or of a part, that is watched and satisfies a condition.
func (v *guardView) first(request Request, satisfies func(Digest) bool) (digest Digest, found bool) {
	if v.watches(request) && satisfies(request.Digest()) {
		return request.Digest(), true
	}
	if !v.watchesParts() {
		return Digest{}, false
	}
	for _, part := range request.Parts() {
		if satisfies(part) {
			return part, true
		}
	}
	return Digest{}, false
}

// MayRetry reports whether a request that has lost its connection to a replica may be retried on
// another one within the same call. A request on probation is sent only once a call: within one call it
// might crash several more replicas before the evidence of the first crash has arrived.
func (g *Guard) MayRetry(request Request) bool { return !g.OnProbation(request) }

// OnProbation reports whether a request is on probation: as many replicas have crashed under it as
// under a held request, but other requests that ran there might be the cause.
func (g *Guard) OnProbation(request Request) bool {
	_, onProbation := g.Suspect(request)
	return onProbation
}

// Suspect returns the digest by which a request is on probation.
func (g *Guard) Suspect(request Request) (digest Digest, onProbation bool) {
	view := g.view.Load()
	return view.first(request, func(digest Digest) bool {
		_, onProbation := view.onProbation[digest]
		return onProbation
	})
}

// MayForward reports whether a request may be forwarded to processes that do not have the evidence known
// here. It may not once two or more replicas have crashed under it.
func (g *Guard) MayForward(request Request) bool {
	view := g.view.Load()
	if !view.watches(request) {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	digest := request.Digest()
	_, reported := g.entries[digest]
	local, _ := g.local.Find(digest)
	return !reported && !local.watched()
}

// watchesParts reports whether any part of prompts is watched.
func (v *guardView) watchesParts() bool {
	if v == nil || len(v.targets) == 0 {
		return false
	}
	_, watched := v.targets[partTarget]
	return watched
}

// watches reports whether a request with the same target is watched.
func (v *guardView) watches(request Request) bool {
	if v == nil || len(v.targets) == 0 {
		return false
	}
	_, watched := v.targets[request.TargetHash()]
	return watched
}

// ReplicaCrashed records that a replica has crashed under requests of this gateway.
func (g *Guard) ReplicaCrashed(replica string, requests []Digest) {
	requests = slices.DeleteFunc(slices.Clone(requests), g.exonerates)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	crash := Crash{Replica: replica, Requests: requests}
	g.applyLocal(&Command{Crashes: []Crash{crash}})
	g.unreported.addCrash(crash)
	g.rebuildView()
	g.signal()
}

// exonerates reports whether a digest is that of a part which is no cause of a crash, as far as this gateway knows: requests
// with it have recently run to their ends. Shortly after its start it has seen too few of them to tell.
func (g *Guard) exonerates(digest Digest) bool {
	now := g.options.Now()
	return digest.IsPart() && (now-g.startedAt < g.options.ContactTime || g.exonerated.covers(now, digest))
}

// Completed records that a replica has run a request to completion. lostReplica says that the call had
// lost its connection to a replica before; otherwise the completion is reported only if the request is
// watched.
func (g *Guard) Completed(request Request, lostReplica bool) {
	parts := request.Parts()
	if len(parts) > 0 {
		g.exonerated.add(g.options.Now(), parts)
	}
	completed := g.watchedDigests(request, parts)
	if lostReplica && !slices.Contains(completed, request.Digest()) {
		completed = append(completed, request.Digest())
	}
	if len(completed) == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyLocal(&Command{Completions: completed})
	for _, digest := range completed {
		delete(g.localHeldUntil, digest)
	}
	g.unreported.addCompletions(completed...)
	g.rebuildView()
	g.signal()
}

// watchedDigests returns the digests of a request and its parts that are watched.
func (g *Guard) watchedDigests(request Request, parts []Digest) []Digest {
	view := g.view.Load()
	var watched []Digest
	note := func(digest Digest) {
		if _, found := view.watched[digest]; found {
			watched = append(watched, digest)
		}
	}
	if view.watches(request) {
		note(request.Digest())
	}
	if view.watchesParts() {
		for _, part := range parts {
			note(part)
		}
	}
	return watched
}

// applyLocal applies a command to the local evidence. The caller must hold g.mutex.
func (g *Guard) applyLocal(command *Command) {
	g.localPosition++
	command.At = g.options.Now().Nanoseconds() + 1
	g.local.Apply(g.localPosition, command)
}

func (g *Guard) signal() {
	select {
	case g.localEvidence <- struct{}{}:
	default:
	}
	select {
	case g.reportReady <- struct{}{}:
	default:
	}
}

// ReportReady returns a channel that holds a token whenever there is something to report.
func (g *Guard) ReportReady() <-chan struct{} { return g.reportReady }

// Revision returns the revision of the last news applied.
func (g *Guard) Revision() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.revision
}

// ApplyNews applies news from a coordinator; nil means that there is none.
func (g *Guard) ApplyNews(update *News) {
	if update == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if update.Revision <= g.revision {
		return
	}
	if update.Complete {
		clear(g.entries)
	}
	for _, entry := range update.Entries {
		g.reportIfExonerated(entry.Digest)
		g.entries[entry.Digest] = entry
		if entry.Held {
			// The replicas that it has crashed are no evidence against requests that ran beside it.
			g.applyLocal(&Command{Hold: []Digest{entry.Digest}})
		}
	}
	for _, digest := range update.Unwatched {
		delete(g.entries, digest)
		// An operator may have released it, or it has run to completion elsewhere.
		g.applyLocal(&Command{Release: []Digest{digest}})
		delete(g.localHeldUntil, digest)
	}
	g.joint = update.Joint
	g.revision = update.Revision
	g.rebuildView()
}

// reportIfExonerated reports a part that the coordinators have begun to watch as one of a request that has run to its end, if
// one has here. The caller must hold g.mutex.
func (g *Guard) reportIfExonerated(digest Digest) {
	if _, known := g.entries[digest]; known || !digest.IsPart() || !g.exonerated.covers(g.options.Now(), digest) {
		return
	}
	g.applyLocal(&Command{Completions: []Digest{digest}})
	g.unreported.addCompletions(digest)
	g.signal()
}

// HasLocalEvidence reports whether there is local evidence to check.
func (g *Guard) HasLocalEvidence() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.hasLocalEvidence()
}

// The caller must hold g.mutex.
func (g *Guard) hasLocalEvidence() bool { return len(g.local.Records) > 0 || len(g.localHeldUntil) > 0 }

// LocalEvidence returns a channel that holds a token once there may be local evidence.
func (g *Guard) LocalEvidence() <-chan struct{} { return g.localEvidence }

// CheckLocalEvidence deletes expired local evidence and, while the gateway is not in sync, holds requests
// by the rest. These holds last for one contact time after it is in sync again, in which the coordinators
// decide. It returns the requests that it has begun to hold.
func (g *Guard) CheckLocalEvidence() []Digest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.hasLocalEvidence() {
		return nil
	}
	now := g.options.Now()
	if expiry := (now - g.options.Retention).Nanoseconds(); expiry > 0 && g.local.HasExpired(expiry) {
		g.applyLocal(&Command{ForgetBefore: expiry})
	}
	outOfSync := !g.options.InSync()
	changed := false
	var newlyHeld []Digest
	if outOfSync {
		newlyHeld = g.local.Due(now.Nanoseconds()+1, SettleTime(g.options.ContactTime))
		if len(newlyHeld) > 0 {
			g.applyLocal(&Command{Hold: newlyHeld})
		}
		for index := range g.local.Records {
			if record := &g.local.Records[index]; record.HeldAt != 0 {
				changed = changed || g.localHeldUntil[record.Digest] == 0
				g.localHeldUntil[record.Digest] = now + g.options.ContactTime
			}
		}
	}
	for digest, until := range g.localHeldUntil {
		if now >= until {
			delete(g.localHeldUntil, digest)
			changed = true
		}
	}
	if changed {
		g.rebuildView()
	}
	return newlyHeld
}

// rebuildView replaces the view by one of the present state. The caller must hold g.mutex.
func (g *Guard) rebuildView() {
	view := &guardView{
		targets: map[uint32]struct{}{}, held: map[Digest]struct{}{}, watched: map[Digest]struct{}{},
		onProbation: map[Digest]struct{}{},
	}
	watch := func(digest Digest) {
		view.targets[digest.TargetHash()] = struct{}{}
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
	bursts := g.local.bursts()
	for index := range g.local.Records {
		record := &g.local.Records[index]
		watch(record.Digest)
		if bursts.onProbation(record) {
			view.onProbation[record.Digest] = struct{}{}
		}
	}
	view.joint = append(slices.Clone(g.joint), g.local.jointSuspects(bursts)...)
	for digest := range g.localHeldUntil {
		watch(digest)
		view.held[digest] = struct{}{}
	}
	g.view.Store(view)
}

// Report removes and returns what is to be reported next, nil if there is nothing.
func (g *Guard) Report(gateway string) *Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report := g.unreported.take(gateway)
	if !g.unreported.isEmpty() {
		g.signal()
	}
	return report
}

// Requeue puts a report back that no coordinator has accepted.
func (g *Guard) Requeue(report *Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unreported.putBack(report)
	g.signal()
}

// Counts returns the number of held requests and that of watched ones.
func (g *Guard) Counts() (held, watched int) {
	view := g.view.Load()
	if view == nil {
		return 0, 0
	}
	return len(view.held), len(view.watched)
}
