package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
)

// Identity identifies an incarnation of a back end and its address. It never changes, so that requests read
// it without a lock: a listing that differs in it is of another Replica.
type Identity struct {
	ID string
	// Born is the start time of its process in milliseconds since 1970, 0 if it is not reported.
	Born    int64
	Service string
	// Address is an IP:port.
	Address string
	Zone    string
	// name is that of the incarnation.
	name string
}

// identityOf returns the identity of a listed replica.
func identityOf(listed *region.Replica) Identity {
	return Identity{
		ID:      listed.ID,
		Born:    listed.Born,
		Service: listed.Service,
		Address: listed.Address,
		Zone:    listed.Zone,
		name:    listed.Incarnation().Name(),
	}
}

// Incarnation returns the replica's incarnation.
func (i *Identity) Incarnation() region.Incarnation {
	return region.Incarnation{ID: i.ID, Born: i.Born}
}

// peer returns the incarnation as the peer of a gate.
func (i *Identity) peer() backpressure.Peer {
	return backpressure.Peer{Address: i.Address, Instance: i.name}
}

// age returns the time since the incarnation's process started, by the clocks of two machines.
func (i *Identity) age() time.Duration { return time.Since(time.UnixMilli(i.Born)) }

// Replica is what this gateway knows of one incarnation of a back end. All fields but its Identity are
// guarded by Directory.mutex.
type Replica struct {
	Identity
	// Slots, Stage and Preemptible are those of the newest list. Draining and Leaving are set if any list, or
	// the replica itself, has said so.
	Slots       int
	Stage       string
	Preemptible bool
	Draining    bool
	Leaving     bool
	// Version is that of its software, empty while no list has told it.
	Version string
	// inFlight is the number of this gateway's requests there, and prefillWork the part of their prefill work
	// that is not yet complete.
	inFlight    int
	prefillWork prefillWork
	// onTimeWork is the InTime part of prefillWork, by the rank of the route.
	onTimeWork [LastRank]time.Duration
	// latePrefills is the number of prompts in the Late part of prefillWork.
	latePrefills int
	// progressAt is when it was last known to have completed a prefill.
	progressAt time.Duration
	// granted is the part of inFlight and prefillWork that a coordinator has placed and counts itself.
	granted grantedWork
	// generating is the number of this gateway's streams there that have begun.
	generating int
	// tokenGap tracks the longest recent time between two events of one of the replica's streams.
	tokenGap decayingPeak
	// peers is the work that other gateways have placed there, by gateway.
	peers  map[string]peerWork
	load   Load
	loadAt time.Duration
	// failures is the number of consecutive failures; the replica is avoided until avoidUntil.
	failures   int
	avoidUntil time.Duration
	// unconnected says that the last failure was a failure to connect.
	unconnected bool
	rejections  rejections
	// learnedLimit is the learned limit of its service and stage.
	learnedLimit *learnedLimit
	limit        declaredLimit
	// processEnded says that a process with the replica's name has ended: what other processes have learned may
	// be about that one.
	processEnded bool
	// peerState is what the replica asks of this process, nil if nothing.
	peerState *backpressure.PeerState
	latency   float64
	errorRate float64
	removed   bool
	// streams are those of this gateway that run there.
	streams  map[*Lease]struct{}
	prefixes *prefixCache
	// cacheKnown says that the replica has nothing cached beyond what prefixes holds: it started after this
	// process's first list, or its cache was reported.
	cacheKnown bool
}

// update applies a listing of the replica, except for whether it is leaving. The caller must hold Directory.mutex.
func (r *Replica) update(listed *region.Replica) {
	r.Slots, r.Stage, r.Preemptible = listed.Slots, listed.Stage, listed.Preemptible
	if listed.Software != "" {
		r.Version = listed.Software
	}
}

// listing returns the replica as a list shows it. The caller must hold Directory.mutex.
func (r *Replica) listing() region.Replica {
	return region.Replica{
		ID:          r.ID,
		Born:        r.Born,
		Service:     r.Service,
		Address:     r.Address,
		Zone:        r.Zone,
		Slots:       r.Slots,
		Draining:    r.Draining,
		Stage:       r.Stage,
		Preemptible: r.Preemptible,
		Leaving:     r.Leaving,
		Software:    r.Version,
	}
}

// peerWork is what another gateway has reported of its work at a replica.
type peerWork struct {
	requests    int
	prefillWork prefillWork
	at          time.Duration
}

// peerReportLifetime is how long a gateway's report of its work counts: longer than the interval between
// two complete reports.
const peerReportLifetime = 3 * time.Second

// totalInFlight returns the number of requests of all gateways.
func (r *Replica) totalInFlight(now time.Duration) int {
	sum := r.inFlight
	for _, work := range r.peers {
		if now-work.at < peerReportLifetime {
			sum += work.requests
		}
	}
	return sum
}

// totalPrefillWork returns the replica's remaining prefill work for all gateways, as each last reported it.
func (r *Replica) totalPrefillWork(now time.Duration) prefillWork {
	sum := r.prefillWork
	for _, work := range r.peers {
		if now-work.at >= peerReportLifetime {
			continue
		}
		for urgency, busy := range work.prefillWork {
			sum[urgency] += busy
		}
	}
	return sum
}

// queueingTime returns the prefill work that a replica does before a prompt of an urgency. The caller must
// hold d.mutex.
func (d *Directory) queueingTime(replica *Replica, urgency Urgency, request PrefillRequest, now time.Duration) time.Duration {
	work := replica.totalPrefillWork(now)
	if urgency == Late {
		return work.before(Late)
	}
	if work[InTime] <= 0 {
		return replica.startedLateWork(now)
	}
	return d.waitBefore(replica, request, now)
}

// startedLateWork returns the late prefill that a replica without on-time prompts is assumed to be
// processing: once started, a prefill runs to completion, whatever arrives. Peers do not report the number
// of their late prompts, which count as one.
func (r *Replica) startedLateWork(now time.Duration) time.Duration {
	begun := r.prefillWork[Late] / time.Duration(max(r.latePrefills, 1))
	for _, work := range r.peers {
		if now-work.at < peerReportLifetime {
			begun = max(begun, work.prefillWork[Late])
		}
	}
	return begun
}

const (
	// initialAvoidance is how long a replica is avoided after a failure to connect or to answer; it doubles
	// with each consecutive one.
	initialAvoidance = 500 * time.Millisecond
	maximumAvoidance = 4 * time.Second
	// loadReportLifetime is how long the load that a replica reports counts.
	loadReportLifetime = time.Second
	// smoothing is the weight of the newest observation in moving averages.
	smoothing = 0.15
)

// avoided reports whether a replica should get no request now if another can.
func (r *Replica) avoided(now time.Duration) bool { return now < r.avoidUntil }

// refuses reports whether a replica is expected to refuse another request of this process.
func (r *Replica) refuses(now time.Duration) bool {
	return now < r.rejections.avoidUntil || !r.rejections.slowStart.allows(r.inFlight)
}

// keepsRejecting reports whether a replica has rejected rejectionsInARow requests while it was not full, and is
// expected to reject another one.
func (r *Replica) keepsRejecting(now time.Duration) bool {
	return r.rejections.consecutive >= rejectionsInARow && r.refuses(now)
}

// unreachable records that the replica could not be connected to, or did not answer. cutOff says that this process has lost
// its links to the service, which says nothing of the replica.
func (r *Replica) unreachable(now time.Duration, unconnected, cutOff bool) {
	r.failures++
	r.unconnected = unconnected
	pause := min(initialAvoidance<<min(r.failures-1, 8), maximumAvoidance)
	r.avoidUntil = now + pause
	if !cutOff {
		r.observeError(1)
	}
}

func (r *Replica) observeError(failed float64) {
	r.errorRate += smoothing * (failed - r.errorRate)
}

// answered records an answer from the replica itself.
func (r *Replica) answered(now time.Duration, latency time.Duration, failed bool) {
	r.failures = 0
	r.unconnected = false
	r.avoidUntil = 0
	if failed {
		r.observeError(1)
	} else {
		r.observeError(0)
	}
	seconds := latency.Seconds()
	if r.latency == 0 {
		r.latency = seconds
		return
	}
	r.latency += smoothing * (seconds - r.latency)
}

// occupancy estimates the share of the replica's slots in use: the greater of what the gateways have placed
// there and the replica's last reported load, which decays with age.
func (r *Replica) occupancy(now time.Duration) float64 {
	slots := float64(max(r.Slots, 1))
	placed := float64(r.totalInFlight(now)) / slots
	age := now - r.loadAt
	if r.load.Slots == 0 || age > loadReportLifetime {
		return placed
	}
	reported := float64(r.load.Running+r.load.Waiting) / float64(r.load.Slots)
	return max(placed, reported*(1-age.Seconds()/loadReportLifetime.Seconds()))
}

// isLeaving reports whether the replica takes no new work, permanently or until it has another stage. The
// caller must hold Directory.mutex.
func (r *Replica) isLeaving() bool { return r.isLeavingForGood() || r.Stage == region.StageChanging }

// isLeavingForGood reports whether the replica takes no new work until its incarnation ends, according to the list or
// its own answers. The caller must hold Directory.mutex.
func (r *Replica) isLeavingForGood() bool { return r.isListedLeaving() || r.declaresLeaving() }

// isListedLeaving reports whether a list has shown that the replica takes no new work until its incarnation ends.
// The caller must hold Directory.mutex.
func (r *Replica) isListedLeaving() bool { return r.Draining || r.Leaving }

// software returns what the replica runs. The caller must hold Directory.mutex.
func (r *Replica) software() origin.Software { return origin.SoftwareOf(r.Version, r.name) }

// otherVersion reports whether a listing is of a process with another version of the software.
func (r *Replica) otherVersion(listed string) bool {
	return r.Version != "" && listed != "" && r.Version != listed
}

// notifyStreams notifies the streams on the replica that it is leaving. The caller must hold Directory.mutex.
func (r *Replica) notifyStreams() {
	for lease := range r.streams {
		close(lease.leaving)
		delete(r.streams, lease)
	}
}
