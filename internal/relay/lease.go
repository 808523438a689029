package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/costmodel"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Lease is the capacity that a request occupies on a replica.
type Lease struct {
	Replica *Replica
	// Stage is the replica's stage when it was chosen.
	Stage string
	// Software is what the replica ran when it was chosen.
	Software origin.Software
	// Choice is what was known when the replica was chosen.
	Choice    Choice
	directory *Directory
	startedAt time.Duration
	// concurrent is the number of other requests that the replica had when it was chosen.
	concurrent int
	// wasLeaving is set if the replica was known to be leaving when it was chosen, as there was no other.
	wasLeaving bool
	// prefill is the prompt that the replica has yet to prefill, nil if there is none.
	prefill *placedPrefill
	// fetchFrom is the replica from which this one should fetch the prompt's prefix, nil if it should
	// prefill the whole prompt.
	fetchFrom *Replica
	released  bool
	// stream is set once the stream has begun; lastEventAt is when its last event arrived.
	stream      *streamMeter
	lastEventAt time.Duration
	// leaving is closed when the replica of a stream announces that it is leaving.
	leaving chan struct{}
	// grant is the coordinator's lease that this one stands for, nil if the gateway has chosen the replica
	// itself.
	grant *grant
	// permit allows the request to be sent to a replica with a rate limit, nil if the replica declares none
	// or the request was sent; the permit may be held until permitEnds.
	permit     *Permit
	permitEnds time.Time
}

// lease creates a lease on a replica. The caller must hold d.mutex.
func (d *Directory) lease(replica *Replica) *Lease {
	replica.inFlight++
	now := d.clock()
	if tracker := d.linksTo(replica.Service); tracker != nil {
		tracker.Begin(now)
	}
	return &Lease{
		Replica:    replica,
		Stage:      replica.Stage,
		Software:   replica.software(),
		directory:  d,
		startedAt:  now,
		concurrent: d.concurrentRequests(replica, now),
		wasLeaving: replica.isLeavingForGood(),
		leaving:    make(chan struct{}),
	}
}

// beganToLeave reports whether the replica has begun to leave, or is no longer listed, since it was chosen.
func (l *Lease) beganToLeave() bool {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return !l.wasLeaving && (l.Replica.isLeavingForGood() || l.Replica.removed)
}

// stageUnchanged reports whether the replica has the stage that it had when it was chosen.
func (l *Lease) stageUnchanged() bool {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.Stage == l.Stage
}

// placedPrefill is a prompt that was assigned to a replica for prefill.
type placedPrefill struct {
	prefillEstimate
	urgency Urgency
	rank    int
	work    costmodel.Work
	// alone says that the replica had no other prompts to prefill, as far as is known.
	alone bool
	// cacheKnown says that the replica has no more of the prompt cached than is known.
	cacheKnown bool
	// expectedAt is when the prefill is expected to be complete.
	expectedAt time.Duration
	// zone is that of the gateway that received the request.
	zone string
	// whole is how long the prefill would take with nothing cached.
	whole time.Duration
}

// startPrefill records that the replica is to prefill a prompt, and chooses the replica to fetch its prefix
// from. The caller must hold Directory.mutex.
func (l *Lease) startPrefill(request PrefillRequest, estimated prefillEstimate, urgency Urgency) {
	d, replica, prompt := l.directory, l.Replica, request.Prompt
	l.recordPrefill(request, estimated, urgency, d.prefillTime(replica, request, prompt.Tokens))
	l.fetchFrom = estimated.from
	if l.fetchFrom == nil && estimated.missing > prompt.unsharedTokens() && !d.disabled[mechanism.Fetching] {
		l.fetchFrom = d.likelyPrefixSource(replica, prompt, l.startedAt)
	}
}

// recordPrefill records that the replica is to prefill a prompt; whole is how long that would take with
// nothing cached. The caller must hold Directory.mutex.
func (l *Lease) recordPrefill(request PrefillRequest, estimated prefillEstimate, urgency Urgency, whole time.Duration) {
	d, replica, prompt := l.directory, l.Replica, request.Prompt
	l.prefill = &placedPrefill{
		prefillEstimate: estimated,
		urgency:         urgency,
		rank:            request.Rank,
		work:            costmodel.Work{Tokens: prompt.Tokens, Missing: estimated.missing},
		alone:           replica.totalPrefillWork(l.startedAt).before(Late) == 0,
		cacheKnown:      d.knowsCached(replica) || estimated.missing <= prompt.unsharedTokens(),
		zone:            request.Zone,
		expectedAt:      l.startedAt + estimated.prefillTime() + d.costModel(replica.Service).Overhead(),
		whole:           whole,
	}
	d.notePrefill(replica.Service, estimated.times(request, whole))
	replica.prefillWork[urgency] += estimated.busy
	if urgency == Late {
		replica.latePrefills++
	} else {
		replica.onTimeWork[request.Rank] += estimated.busy
		d.rankMeterOf(replica.Service).place(request.Rank, estimated.busy)
	}
	d.rankMeterOf(replica.Service).tenants.place(request.Tenant, estimated.busy, l.startedAt)
	replica.prefixes.add(prompt.Parts, d.engines[replica.Service].CacheTokens, l.prefill.expectedAt)
	d.placed.add(replica.name, prompt, l.prefill.expectedAt)
}

// cacheLearningTime is how long after its first list a process may lack knowledge of what replicas have
// cached: by then frequently requested prefixes have passed through it.
const cacheLearningTime = 10 * time.Second

// knowsCached reports whether it is known what a replica has cached. Once cacheLearningTime has passed since
// the first list, it is taken as known for every replica. The caller must hold d.mutex.
func (d *Directory) knowsCached(replica *Replica) bool {
	return replica.cacheKnown || d.clock()-d.firstListAt > cacheLearningTime
}

// Release frees the capacity. It may be called more than once.
func (l *Lease) Release() {
	l.returnPermit()
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.Replica.inFlight--
	if tracker := l.directory.linksTo(l.Replica.Service); tracker != nil {
		tracker.End()
	}
	l.grantEnds()
	if l.stream != nil {
		l.stream.end(l.directory.clock())
		l.removeStream()
	}
	l.prefillDone()
}

// StreamBegun records that the replica has begun to generate for a request of a route. handedOver says that
// another replica has prefilled the prompt.
func (l *Lease) StreamBegun(route string, handedOver bool) {
	d := l.directory
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	service := l.Replica.Service
	if d.streams[service] == nil {
		d.streams[service] = streamMeters{}
	}
	stream := d.streams[service].of(route)
	stream.begin(now)
	l.addStream(stream)
	l.report(region.LeaseEvent{Kind: region.LeaseStarted, HandedOver: handedOver})
	if handedOver {
		d.handoverTimes.observe(service, now-l.startedAt)
	}
}

// addStream records that a stream runs on the replica. The caller must hold Directory.mutex.
func (l *Lease) addStream(stream *streamMeter) {
	l.stream = stream
	l.lastEventAt = l.directory.clock()
	l.Replica.generating++
	if l.Replica.isLeaving() {
		close(l.leaving)
		return
	}
	if l.Replica.streams == nil {
		l.Replica.streams = map[*Lease]struct{}{}
	}
	l.Replica.streams[l] = struct{}{}
}

// removeStream records that the stream no longer runs on the replica. The caller must hold Directory.mutex.
func (l *Lease) removeStream() {
	l.stream = nil
	l.Replica.generating--
	delete(l.Replica.streams, l)
}

// moveStreamTo moves the stream to another lease, on the replica where it continues.
func (l *Lease) moveStreamTo(target *Lease) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if l.stream == nil {
		return
	}
	stream := l.stream
	l.removeStream()
	target.addStream(stream)
	target.report(region.LeaseEvent{Kind: region.LeaseStarted})
}

// StreamContinued records the arrival of a further event of the stream.
func (l *Lease) StreamContinued() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	l.observeGap(now, now-l.lastEventAt)
	l.lastEventAt = now
}

// ObserveGap records an inter-token gap of the stream, as a gateway has reported it.
func (l *Lease) ObserveGap(gap time.Duration) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.observeGap(l.directory.clock(), gap)
}

// observeGap records an inter-token gap. The caller must hold Directory.mutex.
func (l *Lease) observeGap(now, gap time.Duration) {
	l.Replica.tokenGap.observe(now, gap)
	l.reportGap(now, gap)
}

// PrefillDone records that the prefill is complete.
func (l *Lease) PrefillDone() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.Replica.progressAt = l.directory.clock()
	l.recordSuccess(l.Replica.progressAt)
	l.report(region.LeaseEvent{Kind: region.LeasePrefilled})
	l.observeOverrun()
	l.observeCost()
	if l.prefill != nil {
		d := l.directory
		d.sizesOf(l.Replica.Service, l.prefill.rank).prefilled[sizeClass(l.prefill.work.Tokens)]++
	}
	l.prefillDone()
}

// observeOverrun records by how much longer than estimated an on-time prefill took: inside the region for the
// replica's stage, otherwise for the path to its region. Late prefills are left out, because they also wait for
// on-time ones. The caller must hold Directory.mutex.
func (l *Lease) observeOverrun() {
	if l.prefill == nil || l.prefill.urgency != InTime {
		return
	}
	d, now := l.directory, l.directory.clock()
	if path, crosses := d.regionPathBetween(l.prefill.zone, l.Replica.Zone); crosses {
		d.pathDelays.observe(path, now, now-l.prefill.expectedAt)
		return
	}
	d.overruns.observe(l.Replica.Service+"/"+l.Replica.Stage, now-l.prefill.expectedAt)
}

// observeCost updates the cost model from a prefill on a prefill replica that had nothing else to do. A
// prompt that may have been fetched in part says little, and counts only while nothing is known. Nothing is
// learned while it is unknown what the replica has cached from before this process started: after a restart
// of all processes, cached prompts made the engines look eight times as fast as they are, and prompts were
// late for six seconds. The caller must hold Directory.mutex.
func (l *Lease) observeCost() {
	if l.prefill == nil || !l.prefill.alone || !l.prefill.cacheKnown || l.Replica.Stage != region.StagePrefill || l.directory.disabled[mechanism.LearnedCosts] {
		return
	}
	model := l.directory.costModel(l.Replica.Service)
	if l.fetchFrom != nil && model.Known() {
		return
	}
	model.Observe(l.prefill.work, l.directory.clock()-l.startedAt)
}

// PromptCached records that the replica now has a prompt cached. For a decode replica it is reported to peers
// too; for prefill replicas that was done when the prompt was placed.
func (l *Lease) PromptCached(prompt *Prompt) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.report(region.LeaseEvent{Kind: region.LeaseCached})
	if l.Replica.Stage == region.StageDecode {
		l.directory.placed.add(l.Replica.name, prompt, l.directory.clock())
	}
	l.Replica.prefixes.add(prompt.Parts, l.directory.engines[l.Replica.Service].CacheTokens, l.directory.clock())
}

func (l *Lease) prefillDone() {
	if l.prefill == nil {
		return
	}
	l.Replica.prefillWork[l.prefill.urgency] -= l.prefill.busy
	if l.grantCounts() {
		l.Replica.granted.prefillWork[l.prefill.urgency] -= l.prefill.busy
	}
	if l.prefill.urgency == Late {
		l.Replica.latePrefills--
	} else {
		l.Replica.onTimeWork[l.prefill.rank] -= l.prefill.busy
	}
	l.prefill = nil
}

// Unreachable records that the replica did not answer. handedOver says that a connection existed, so that the
// request may have reached the replica. It must be false if the system gave the connection up because the
// replica's machine acknowledged nothing: the replica then counts as not accepting connections.
func (l *Lease) Unreachable(handedOver bool) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	if !handedOver {
		l.directory.lostContact(l.Replica, l.startedAt)
	}
	l.Replica.unreachable(now, !handedOver, l.directory.isCutOff(l.Replica.Service))
	if l.directory.linksWork(l.Replica.Service) {
		l.report(region.LeaseEvent{Kind: region.LeaseUnreachable, HandedOver: handedOver})
	}
	l.directory.logger.Info(event.ReplicaAvoided, "replica", l.Replica.ID, "for_ms", (l.Replica.avoidUntil - now).Milliseconds(),
		"failures", l.Replica.failures, "connected", handedOver)
}

// Refused records that the replica refused the request and asked the sender to back off for a time, 0 if it
// did not ask.
func (l *Lease) Refused(backoff time.Duration) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.directory.heard(l.Replica)
	l.directory.recordRejection(l, backoff)
	l.report(region.LeaseEvent{Kind: region.LeaseRejected, Micros: backoff.Microseconds()})
}

// Misdirected records that another incarnation answers at the replica's address.
func (l *Lease) Misdirected() {
	l.directory.Misdirected(l.Replica)
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.report(region.LeaseEvent{Kind: region.LeaseMisdirected})
}

// Answered records the replica's answer.
func (l *Lease) Answered(failed bool, load *Load) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	if l.Replica.failures > 0 {
		l.directory.logger.Info(event.ReplicaBack, "replica", l.Replica.ID, "failures", l.Replica.failures)
	}
	l.Replica.answered(now, now-l.startedAt, failed)
	l.directory.heard(l.Replica)
	if !failed {
		l.recordSuccess(now)
	}
	l.report(answeredEvent(failed, load))
	if load != nil && !l.directory.disabled[mechanism.ReportedLoad] {
		l.Replica.load = *load
		l.Replica.loadAt = now
	}
}

// missing returns the tokens of the prompt that the replica has to prefill.
func (l *Lease) missing() int {
	if l.prefill == nil {
		return 0
	}
	return l.prefill.missing
}

// expectedWait returns how long the prompt is expected to wait for the prefill of others.
func (l *Lease) expectedWait() time.Duration {
	if l.prefill == nil {
		return 0
	}
	return l.prefill.wait
}

// Rank returns the scheduling rank of the prompt, or the stream, at its replica: the route's priority, or
// the last rank for a late prompt.
func (l *Lease) Rank(route *traffic.Route) int {
	if l.prefill != nil && l.prefill.urgency == Late && !l.directory.disabled[mechanism.Ranks] {
		return LastRank
	}
	return rankOf(route.Priority)
}
