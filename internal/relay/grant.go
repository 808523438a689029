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
	// generation is the value of Directory.grantGeneration when the lease was granted.
	generation uint64
	// by is the coordinator's address.
	by     string
	report func(region.LeaseEvent)
	// An inter-token gap of at least reportableGap is reported while the stream runs, at most once per
	// gapReportInterval; longestGap is reported when the lease ends.
	reportableGap   time.Duration
	longestGap      time.Duration
	nextGapReportAt time.Duration
}

// grantedWork is the work at a replica that was granted by a coordinator, which counts it itself.
type grantedWork struct {
	requests    int
	prefillWork prefillWork
}

const (
	// reportableGapShare is the share of the target inter-token gap from which a gap is reported at once:
	// a sixth of the share that prefills on a decode replica may use (prefillGapShare).
	reportableGapShare = 0.1
	// gapReportInterval is the minimum time between two reports on one stream's gaps, well below
	// the time constant with which a peak decays.
	gapReportInterval = peakTimeConstant / 4
)

// ForgetGrants must be called when the granting coordinator was replaced, or has lost its leases: the leases
// granted so far count as this gateway's own choices from then on.
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
func (d *Directory) takeGrant(given *grant, answer *region.PlacementAnswer, request PrefillRequest, stages ...string) *Lease {
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
	given.generation = d.grantGeneration
	given.reportableGap = time.Duration(reportableGapShare * float64(request.TargetTokenGap))
	lease.grant = given
	replica.granted.requests++
	if answer.BusyMicros > 0 {
		lease.noteGrantedPrefill(answer, request)
	}
	return lease
}

const percent = 100

// noteGrantedPrefill records that the replica is to prefill a prompt, with the coordinator's estimate of the times.
// The caller must hold the Directory's mutex.
func (l *Lease) noteGrantedPrefill(answer *region.PlacementAnswer, request PrefillRequest) {
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
	// The replica's other prompts are not known here, so its prefill time must not be used to learn costs.
	l.prefill.alone = false
	l.fetchFrom = estimated.from
	l.Replica.granted.prefillWork[urgency] += estimated.busy
}

// grantCounts reports whether the coordinator that granted the lease still counts it.
func (l *Lease) grantCounts() bool {
	return l.grant != nil && l.grant.generation == l.directory.grantGeneration
}

// grantEnds reports to the coordinator that the lease was released. The caller must hold the Directory's mutex.
func (l *Lease) grantEnds() {
	if l.grant == nil {
		return
	}
	if l.grantCounts() {
		l.Replica.granted.requests--
	}
	l.report(region.LeaseEvent{Kind: region.LeaseReleased, Micros: l.grant.longestGap.Microseconds()})
}

// report reports an event to the coordinator that granted the lease, if one did. The caller must hold the
// Directory's mutex.
func (l *Lease) report(event region.LeaseEvent) {
	if l.grant == nil {
		return
	}
	event.Lease = l.grant.id
	l.grant.report(event)
}

// reportGap records an inter-token gap of the stream, and reports it to the coordinator if it is long enough
// and none was reported within gapReportInterval. The caller must hold the Directory's mutex.
func (l *Lease) reportGap(now, gap time.Duration) {
	if l.grant == nil {
		return
	}
	l.grant.longestGap = max(l.grant.longestGap, gap)
	if l.grant.reportableGap <= 0 || gap < l.grant.reportableGap || now < l.grant.nextGapReportAt {
		return
	}
	l.grant.nextGapReportAt = now + gapReportInterval
	l.report(region.LeaseEvent{Kind: region.LeaseGap, Micros: gap.Microseconds()})
}

// answeredEvent returns the event that reports a replica's response to a coordinator.
func answeredEvent(failed bool, load *Load) region.LeaseEvent {
	reported := region.LeaseEvent{Kind: region.LeaseAnswered, Failed: failed}
	if load != nil {
		reported.Running, reported.Waiting, reported.Slots = load.Running, load.Waiting, load.Slots
	}
	return reported
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
