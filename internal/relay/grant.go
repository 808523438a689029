package relay

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// grant is a coordinator's lease on a replica that backs a lease of this gateway: the gateway reports to the
// coordinator what happens to the request. It is guarded by the Directory's mutex.
type grant struct {
	id uint64
	// number is the value of Directory.grants when the lease was granted.
	number uint64
	// by is the coordinator's address.
	by   string
	tell func(region.LeaseEvent)
	// A pause of the stream from reportablePause on is reported while the stream runs, at most once in
	// pauseReportInterval; longestPause is reported when the lease ends.
	reportablePause   time.Duration
	longestPause      time.Duration
	nextPauseReportAt time.Duration
}

// grantedWork is the work at a replica that was granted by a coordinator, which counts it itself.
type grantedWork struct {
	requests int
	reading  prefillWork
}

const (
	// reportablePauseShare is the share of the target gap between events from which a pause is reported at
	// once: a sixth of the share that a decode replica may use to read prompts (pauseShare).
	reportablePauseShare = 0.1
	// pauseReportInterval is the minimum time between two reports on one stream's pauses, well below
	// the time constant with which a peak decays.
	pauseReportInterval = peakTimeConstant / 4
)

// ForgetGrants is called when the granting coordinator has been replaced, or has lost its leases: from now on the
// leases granted so far count as this gateway's own choices.
func (d *Directory) ForgetGrants() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.grantGeneration++
	for _, replica := range d.replicas {
		replica.granted = grantedWork{}
	}
}

// takeGrant leases the replica that a coordinator has chosen; it returns nil if this gateway knows a reason not to
// use that replica.
func (d *Directory) takeGrant(given *grant, answer *region.PlacementAnswer, request ReadRequest, stages ...string) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica, known := d.replicas[answer.Replica]
	if !known || replica.isLeavingForGood() || replica.removed || !slices.Contains(stages, replica.Stage) || slices.Contains(request.Excluded, replica) || replica.inBackoff(d.gateNow()) {
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
	given.number = d.grantGeneration
	given.reportablePause = time.Duration(reportablePauseShare * float64(request.TargetTokenGap))
	lease.grant = given
	replica.granted.requests++
	if answer.BusyMicros > 0 {
		lease.noteGrantedRead(answer, request)
	}
	return lease
}

const percent = 100

// noteGrantedRead records that the replica is to read a prompt, with the coordinator's estimate of the times. The
// caller must hold the Directory's mutex.
func (l *Lease) noteGrantedRead(answer *region.PlacementAnswer, request ReadRequest) {
	estimated := prefillEstimate{
		replica:  l.Replica,
		wait:     time.Duration(answer.WaitMicros) * time.Microsecond,
		transfer: time.Duration(answer.MoveMicros) * time.Microsecond,
		busy:     time.Duration(answer.BusyMicros) * time.Microsecond,
		from:     l.directory.replicas[answer.Fetch],
		missing:  answer.Missing,
	}
	urgency := InTime
	if answer.Late {
		urgency = Late
	}
	l.recordPrefill(request, estimated, urgency, micros(answer.WholeMicros))
	// The replica's other prompts are not known here, so its read time must not be used to learn costs.
	l.prefill.alone = false
	l.fetchFrom = estimated.from
	l.Replica.granted.reading[urgency] += estimated.busy
}

// grantCounts reports whether the coordinator that granted the lease still counts it.
func (l *Lease) grantCounts() bool {
	return l.grant != nil && l.grant.number == l.directory.grantGeneration
}

// grantEnds reports to the coordinator that the lease was released. The caller must hold the Directory's mutex.
func (l *Lease) grantEnds() {
	if l.grant == nil {
		return
	}
	if l.grantCounts() {
		l.Replica.granted.requests--
	}
	l.report(region.LeaseEvent{Kind: region.LeaseReleased, Micros: l.grant.longestPause.Microseconds()})
}

// report reports an event to the coordinator that granted the lease, if one did. The caller must hold the
// Directory's mutex.
func (l *Lease) report(event region.LeaseEvent) {
	if l.grant == nil {
		return
	}
	event.Lease = l.grant.id
	l.grant.tell(event)
}

// reportPause records a pause of the stream, and reports it to the coordinator if it is long enough. The caller must
// hold the Directory's mutex.
func (l *Lease) reportPause(now, took time.Duration) {
	if l.grant == nil {
		return
	}
	l.grant.longestPause = max(l.grant.longestPause, took)
	if l.grant.reportablePause <= 0 || took < l.grant.reportablePause || now < l.grant.nextPauseReportAt {
		return
	}
	l.grant.nextPauseReportAt = now + pauseReportInterval
	l.report(region.LeaseEvent{Kind: region.LeasePaused, Micros: took.Microseconds()})
}

// answeredEvent returns the event that reports a replica's response to a coordinator.
func answeredEvent(failed bool, load *Load) region.LeaseEvent {
	told := region.LeaseEvent{Kind: region.LeaseAnswered, Failed: failed}
	if load != nil {
		told.Running, told.Waiting, told.Slots = load.Running, load.Waiting, load.Slots
	}
	return told
}

// chosenBy names the process that chose the replica: the address of a coordinator, or "self" for this gateway.
func (l *Lease) chosenBy() string {
	if l.grant == nil {
		return "self"
	}
	return l.grant.by
}

// Describe returns the answer to the placement query that led to this lease.
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
	if placed := l.prefill; placed != nil {
		answer.Late = placed.urgency == Late
		answer.Missing = placed.missing
		answer.WaitMicros = placed.wait.Microseconds()
		answer.MoveMicros = placed.transfer.Microseconds()
		answer.BusyMicros = max(placed.busy.Microseconds(), 1)
		answer.WholeMicros = placed.whole.Microseconds()
	}
	return answer
}

// Find returns the replicas with the given incarnation names; unknown names are skipped.
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
