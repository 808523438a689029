package relay

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// grant is a coordinator's lease on a replica, which this gateway's lease stands for: the
// coordinator is told what happens there. It is guarded by the Directory's mutex.
type grant struct {
	id uint64
	// number is that of Directory.grants when it was given.
	number uint64
	// by is the coordinator's address.
	by   string
	tell func(region.LeaseEvent)
	// notablePause of a stream is told while the stream runs, the longest one at its end.
	notablePause time.Duration
	longestPause time.Duration
	pauseTellAt  time.Duration
}

// grantedWork is the work at a replica that a coordinator counts itself.
type grantedWork struct {
	requests int
	reading  readingWork
}

const (
	// notablePauseShare of the pause that streams may make is told at once: a sixth of what
	// they may make while a generating replica reads prompts (pauseShare).
	notablePauseShare = 0.1
	// pauseInterval is the least time between two messages on one stream's pauses, well
	// below the time in which a peak fades.
	pauseInterval = peakFade / 4
)

// ForgetGrants is called when the coordinator that grants leases is another one, or has
// forgotten them: from now on what was granted counts as this gateway's own choice.
func (d *Directory) ForgetGrants() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.grants++
	for _, replica := range d.replicas {
		replica.granted = grantedWork{}
	}
}

// takeGrant leases the replica that a coordinator has chosen; nil if it must not be used, by
// what this gateway knows.
func (d *Directory) takeGrant(given *grant, answer *region.PlacementAnswer, request ReadRequest, stages ...string) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica, known := d.replicas[answer.Replica]
	if !known || replica.ends() || replica.gone || !slices.Contains(stages, replica.Stage) || slices.Contains(request.Excluded, replica) || replica.rests(d.askingNow()) {
		return nil
	}
	lease := d.lease(replica)
	lease.Choice = Choice{
		Candidates: answer.Candidates,
		InFlight:   answer.InFlight,
		Occupancy:  float64(answer.OccupancyPercent) / percent,
		PeersAge:   time.Duration(answer.PeersAgeMillis) * time.Millisecond,
		LoadAge:    -time.Millisecond,
	}
	given.number = d.grants
	given.notablePause = time.Duration(notablePauseShare * float64(request.TargetGap))
	lease.grant = given
	replica.granted.requests++
	if answer.BusyMicros > 0 {
		lease.readGranted(answer, request)
	}
	return lease
}

const percent = 100

// readGranted notes that the replica is to read a prompt, as a coordinator estimates it. It
// is called with the mutex held.
func (l *Lease) readGranted(answer *region.PlacementAnswer, request ReadRequest) {
	estimated := readEstimate{
		replica: l.Replica,
		wait:    time.Duration(answer.WaitMicros) * time.Microsecond,
		move:    time.Duration(answer.MoveMicros) * time.Microsecond,
		busy:    time.Duration(answer.BusyMicros) * time.Microsecond,
		from:    l.directory.replicas[answer.Fetch],
		missing: answer.Missing,
	}
	urgency := InTime
	if answer.Late {
		urgency = Late
	}
	l.noteReading(request, estimated, urgency, micros(answer.WholeMicros))
	// What else the replica reads is not known here, so that nothing can be learned of it.
	l.reading.alone = false
	l.fetchFrom = estimated.from
	l.Replica.granted.reading[urgency] += estimated.busy
}

// grantCounts reports whether the coordinator that granted the lease still counts it.
func (l *Lease) grantCounts() bool { return l.grant != nil && l.grant.number == l.directory.grants }

// grantEnds tells the coordinator that the place is free. It is called with the mutex held.
func (l *Lease) grantEnds() {
	if l.grant == nil {
		return
	}
	if l.grantCounts() {
		l.Replica.granted.requests--
	}
	l.tell(region.LeaseEvent{Kind: region.LeaseReleased, Micros: l.grant.longestPause.Microseconds()})
}

// tell tells the coordinator that granted the lease what has happened. It is called with the
// mutex held.
func (l *Lease) tell(event region.LeaseEvent) {
	if l.grant == nil {
		return
	}
	event.Lease = l.grant.id
	l.grant.tell(event)
}

// tellPause is called with the mutex held.
func (l *Lease) tellPause(now, took time.Duration) {
	if l.grant == nil {
		return
	}
	l.grant.longestPause = max(l.grant.longestPause, took)
	if l.grant.notablePause <= 0 || took < l.grant.notablePause || now < l.grant.pauseTellAt {
		return
	}
	l.grant.pauseTellAt = now + pauseInterval
	l.tell(region.LeaseEvent{Kind: region.LeasePaused, Micros: took.Microseconds()})
}

// answeredEvent is what a coordinator is told of a replica's answer.
func answeredEvent(failed bool, load *Load) region.LeaseEvent {
	told := region.LeaseEvent{Kind: region.LeaseAnswered, Failed: failed}
	if load != nil {
		told.Running, told.Waiting, told.Slots = load.Running, load.Waiting, load.Slots
	}
	return told
}

// placedBy names who has chosen the replica: a coordinator by its address, or the gateway.
func (l *Lease) placedBy() string {
	if l.grant == nil {
		return "self"
	}
	return l.grant.by
}

// Describe is the answer to a question that has led to this lease.
func (l *Lease) Describe() *region.PlacementAnswer {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	answer := &region.PlacementAnswer{
		Outcome:          region.PlacementGranted,
		Replica:          l.Replica.name,
		Candidates:       l.Choice.Candidates,
		InFlight:         l.Choice.InFlight,
		OccupancyPercent: int(l.Choice.Occupancy * percent),
		PeersAgeMillis:   l.Choice.PeersAge.Milliseconds(),
	}
	if l.fetchFrom != nil {
		answer.Fetch = l.fetchFrom.name
	}
	if placed := l.reading; placed != nil {
		answer.Late = placed.urgency == Late
		answer.Missing = placed.missing
		answer.WaitMicros = placed.wait.Microseconds()
		answer.MoveMicros = placed.move.Microseconds()
		answer.BusyMicros = max(placed.busy.Microseconds(), 1)
		answer.WholeMicros = placed.whole.Microseconds()
	}
	return answer
}

// Find returns the replicas with some names, as far as they are known.
func (d *Directory) Find(names []string) []*Replica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var found []*Replica
	for _, name := range names {
		if replica, known := d.replicas[name]; known {
			found = append(found, replica)
		}
	}
	return found
}
