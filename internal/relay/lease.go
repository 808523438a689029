package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/costmodel"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Lease is a place that a request takes up at a replica.
type Lease struct {
	Replica *Replica
	// Choice is what was known when the replica was chosen.
	Choice    Choice
	directory *Directory
	begun     time.Duration
	// beside are the requests that the replica had beside this one as it was chosen.
	beside int
	// reading is the prompt that the replica has yet to read, nil if there is none.
	reading *placedReading
	// fetchFrom is the replica from which this one should fetch the prompt's
	// beginning, nil if it should read all itself.
	fetchFrom *Replica
	released  bool
	// stream is set once the stream has begun; eventAt is when its last event came.
	stream  *streamMeter
	eventAt time.Duration
	// leaving is closed when the replica of a stream leaves.
	leaving chan struct{}
	// grant is the coordinator's lease that this one stands for, nil if the gateway has
	// chosen the replica itself.
	grant *grant
	// permit is what a replica with a limit has been allowed the request by, nil if it names none or
	// the request was sent; permitEnds is until when it may be kept back.
	permit     *Permit
	permitEnds time.Time
}

// lease is called with the mutex held.
func (d *Directory) lease(replica *Replica) *Lease {
	replica.inFlight++
	now := d.clock()
	return &Lease{Replica: replica, directory: d, begun: now, beside: d.requestsBeside(replica, now), leaving: make(chan struct{})}
}

// placedReading is a prompt that a replica has been given to read.
type placedReading struct {
	readEstimate
	urgency Urgency
	rank    int
	work    costmodel.Work
	// alone says that the replica had nothing else to read, as far as is known.
	alone bool
	// certain says that the replica keeps no more of the prompt than is known.
	certain bool
	// dueAt is when the prompt is expected to have been read.
	dueAt time.Duration
	// zone is that of the gateway which has the request.
	zone string
	// whole is for how long the replica would read the prompt if it kept nothing of it.
	whole time.Duration
}

// readPrompt notes that the replica is to read a prompt, and chooses where its beginning is
// fetched. It is called with the mutex held.
func (l *Lease) readPrompt(request ReadRequest, estimated readEstimate, urgency Urgency) {
	d, replica, prompt := l.directory, l.Replica, request.Prompt
	l.noteReading(request, estimated, urgency, d.busyTime(replica, request, prompt.Tokens))
	l.fetchFrom = estimated.from
	if l.fetchFrom == nil && estimated.missing > prompt.ownTokens() && !d.off[mechanism.Fetching] {
		l.fetchFrom = d.unknownSource(replica, prompt, l.begun)
	}
}

// noteReading notes that the replica is to read a prompt, which would take it whole if it kept
// nothing of it. It is called with the mutex held.
func (l *Lease) noteReading(request ReadRequest, estimated readEstimate, urgency Urgency, whole time.Duration) {
	d, replica, prompt := l.directory, l.Replica, request.Prompt
	l.reading = &placedReading{
		readEstimate: estimated,
		urgency:      urgency,
		rank:         request.Rank,
		work:         costmodel.Work{Tokens: prompt.Tokens, Missing: estimated.missing},
		alone:        replica.allReading(l.begun).before(Late) == 0,
		certain:      d.knowsKept(replica) || estimated.missing <= prompt.ownTokens(),
		zone:         request.Zone,
		dueAt:        l.begun + estimated.reading() + d.model(replica.Service).Overhead(),
		whole:        whole,
	}
	d.noteRead(replica.Service, estimated.times(request, whole))
	replica.reading[urgency] += estimated.busy
	if urgency == Late {
		replica.lateReads++
	} else {
		replica.ranked[request.Rank] += estimated.busy
		d.rankedOf(replica.Service).place(request.Rank, estimated.busy)
	}
	d.rankedOf(replica.Service).tenants.place(request.Tenant, estimated.busy, l.begun)
	replica.prefixes.learn(prompt.Parts, d.engines[replica.Service].CacheTokens, l.reading.dueAt)
	d.placed.add(replica.name, prompt, l.reading.dueAt)
}

// strangeTime is for how long after its first list a process may have missed what replicas keep:
// by then what is asked for often has been asked for here.
const strangeTime = 10 * time.Second

// knowsKept reports whether what a replica keeps is known. It is called with the mutex held.
func (d *Directory) knowsKept(replica *Replica) bool {
	return replica.keptKnown || d.clock()-d.listedAt > strangeTime
}

// Release gives the place back. It may be called more than once.
func (l *Lease) Release() {
	l.returnPermit()
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.Replica.inFlight--
	l.grantEnds()
	if l.stream != nil {
		l.stream.end(l.directory.clock())
		l.streamLeaves()
	}
	l.readDone()
}

// StreamBegun notes that the replica generates for a request of a route. handedOver says
// that another replica has read the prompt.
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
	l.streamComes(stream)
	l.tell(region.LeaseEvent{Kind: region.LeaseBegun, HandedOver: handedOver})
	if handedOver {
		d.handovers.observe(service, now-l.begun)
	}
}

// streamComes notes that a stream runs at the replica. It is called with the mutex held.
func (l *Lease) streamComes(stream *streamMeter) {
	l.stream = stream
	l.eventAt = l.directory.clock()
	l.Replica.generating++
	if l.Replica.leaves() {
		close(l.leaving)
		return
	}
	if l.Replica.streams == nil {
		l.Replica.streams = map[*Lease]struct{}{}
	}
	l.Replica.streams[l] = struct{}{}
}

// streamLeaves notes that the stream runs there no more. It is called with the mutex held.
func (l *Lease) streamLeaves() {
	l.stream = nil
	l.Replica.generating--
	delete(l.Replica.streams, l)
}

// handStreamTo notes that a stream goes on at another replica.
func (l *Lease) handStreamTo(target *Lease) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if l.stream == nil {
		return
	}
	stream := l.stream
	l.streamLeaves()
	target.streamComes(stream)
	target.tell(region.LeaseEvent{Kind: region.LeaseBegun})
}

// StreamWentOn notes that a further event of the stream has come.
func (l *Lease) StreamWentOn() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	l.paused(now, now-l.eventAt)
	l.eventAt = now
}

// StreamPaused notes a pause between two events of the stream.
func (l *Lease) StreamPaused(took time.Duration) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.paused(l.directory.clock(), took)
}

// paused is called with the mutex held.
func (l *Lease) paused(now, took time.Duration) {
	l.Replica.pause.observe(now, took)
	l.tellPause(now, took)
}

// PromptRead notes that the prompt has been read.
func (l *Lease) PromptRead() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.Replica.progressAt = l.directory.clock()
	l.tookWell(l.Replica.progressAt)
	l.tell(region.LeaseEvent{Kind: region.LeaseRead})
	l.noteExcess()
	l.noteCost()
	if l.reading != nil {
		d := l.directory
		d.sizesOf(l.Replica.Service, l.reading.rank).read[sizeClass(l.reading.work.Tokens)]++
	}
	l.readDone()
}

// noteExcess learns by how much longer than expected a prompt has taken that waited for
// no other class: inside its region that of the stage, else that of the way. It is called with the mutex held.
func (l *Lease) noteExcess() {
	if l.reading == nil || l.reading.urgency != InTime {
		return
	}
	d, now := l.directory, l.directory.clock()
	if on, crosses := d.wayBetween(l.reading.zone, l.Replica.Zone); crosses {
		d.ways.observe(on, now, now-l.reading.dueAt)
		return
	}
	d.excesses.observe(l.Replica.Service+"/"+l.Replica.Stage, now-l.reading.dueAt)
}

// noteCost learns from a prompt that a reader has read with nothing else to do. What may
// have been fetched tells little, and counts only while nothing is known. Of what a replica
// may keep from before this process began nothing is learned: after a restart of all, prompts
// that were kept taught a pace eight times the engines', and prompts were late for six seconds. It
// is called with the mutex held.
func (l *Lease) noteCost() {
	if l.reading == nil || !l.reading.alone || !l.reading.certain || l.Replica.Stage != region.StagePrefill || l.directory.off[mechanism.LearnedCosts] {
		return
	}
	model := l.directory.model(l.Replica.Service)
	if l.fetchFrom != nil && model.Known() {
		return
	}
	model.Observe(l.reading.work, l.directory.clock()-l.begun)
}

// PromptKept notes that the replica now keeps a prompt, for peers too if the
// replica generates: they were told of readers when the prompt was placed.
func (l *Lease) PromptKept(prompt *Prompt) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.tell(region.LeaseEvent{Kind: region.LeaseKept})
	if l.Replica.Stage == region.StageDecode {
		l.directory.placed.add(l.Replica.name, prompt, l.directory.clock())
	}
	l.Replica.prefixes.learn(prompt.Parts, l.directory.engines[l.Replica.Service].CacheTokens, l.directory.clock())
}

func (l *Lease) readDone() {
	if l.reading == nil {
		return
	}
	l.Replica.reading[l.reading.urgency] -= l.reading.busy
	if l.grantCounts() {
		l.Replica.granted.reading[l.reading.urgency] -= l.reading.busy
	}
	if l.reading.urgency == Late {
		l.Replica.lateReads--
	} else {
		l.Replica.ranked[l.reading.rank] -= l.reading.busy
	}
	l.reading = nil
}

// Unreachable notes that the replica did not answer, after the request was handed
// over or before.
func (l *Lease) Unreachable(handedOver bool) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	l.Replica.unreachable(now, !handedOver)
	l.tell(region.LeaseEvent{Kind: region.LeaseUnreachable, HandedOver: handedOver})
	l.directory.logger.Info(event.ReplicaAvoided, "replica", l.Replica.ID, "for_ms", (l.Replica.avoidUntil - now).Milliseconds(),
		"failures", l.Replica.failures, "connected", handedOver)
}

// Refused notes that the replica refused the request, and wants to be left alone for a time by whom it has
// refused; 0 if it asks for nothing.
func (l *Lease) Refused(rest time.Duration) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.directory.noteRefusal(l, rest)
	l.tell(region.LeaseEvent{Kind: region.LeaseFull, Micros: rest.Microseconds()})
}

// Misdirected notes that another incarnation answers at the replica's address.
func (l *Lease) Misdirected() {
	l.directory.Misdirected(l.Replica)
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.tell(region.LeaseEvent{Kind: region.LeaseMisdirected})
}

// Answered notes the replica's answer.
func (l *Lease) Answered(failed bool, load *Load) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	if l.Replica.failures > 0 {
		l.directory.logger.Info(event.ReplicaBack, "replica", l.Replica.ID, "failures", l.Replica.failures)
	}
	l.Replica.answered(now, now-l.begun, failed)
	if !failed {
		l.tookWell(now)
	}
	l.tell(answeredEvent(failed, load))
	if load != nil && !l.directory.off[mechanism.ReportedLoad] {
		l.Replica.load = *load
		l.Replica.loadAt = now
	}
}

// missing are the prompt's tokens that the replica is to read.
func (l *Lease) missing() int {
	if l.reading == nil {
		return 0
	}
	return l.reading.missing
}

// expectedWait is for how long other prompts are expected to be read before.
func (l *Lease) expectedWait() time.Duration {
	if l.reading == nil {
		return 0
	}
	return l.reading.wait
}

// Rank orders the prompt, or the stream, at its replica: by the route's priority, what is
// late behind all others.
func (l *Lease) Rank(route *traffic.Route) int {
	if l.reading != nil && l.reading.urgency == Late && !l.directory.off[mechanism.Ranks] {
		return LastRank
	}
	return rankOf(route.Priority)
}
