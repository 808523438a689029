package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/region"
)

// Replica is what this gateway knows of one incarnation of a back end. Its fields
// are guarded by the Directory's mutex.
type Replica struct {
	region.Replica
	// name is that of its life.
	name string
	// inFlight counts this gateway's requests there; reading is for how long their
	// prompts keep it busy that it has yet to read.
	inFlight int
	reading  readingWork
	// ranked is reading in time by the rank of its route.
	ranked [LastRank]time.Duration
	// lateReads counts those of them that are late.
	lateReads int
	// progressAt is when it was last known to have read a prompt.
	progressAt time.Duration
	// granted is the part of inFlight and reading that a coordinator has placed and counts
	// itself.
	granted grantedWork
	// generating counts this gateway's streams there that have begun.
	generating int
	// pause is the longest time of late between two events of the replica's streams.
	pause peakMeter
	// peers is the work that other gateways have placed there.
	peers  map[string]peerWork
	load   Load
	loadAt time.Duration
	// failures in a row, and the time until which the replica is avoided.
	failures   int
	avoidUntil time.Duration
	// unconnected says that the last failure was that of making a connection.
	unconnected bool
	refusals    refusals
	// room is that of its stage of its service.
	room  *room
	limit namedLimit
	// leavingSince is when others were known to have heard that it leaves, by the gate's clock.
	leavingSince time.Duration
	// endSeen says that a process has ended which had the replica's name: what others have heard may be of it.
	endSeen bool
	// asks is what the replica asks of this process, nil if that is nothing.
	asks      *backpressure.Standing
	latency   float64
	errorRate float64
	gone      bool
	// streams are those of this gateway that run there.
	streams  map[*Lease]struct{}
	prefixes *prefixMemory
	// keptKnown says that the replica keeps no more than is noted here: it has begun since, or has
	// told.
	keptKnown bool
}

// peerWork is what another gateway told of its work at a replica.
type peerWork struct {
	requests int
	reading  readingWork
	at       time.Duration
}

// peerMemory is how long a gateway's word on its work counts: longer than the time
// between two messages that tell all of it.
const peerMemory = 3 * time.Second

// allInFlight counts the requests of all gateways.
func (r *Replica) allInFlight(now time.Duration) int {
	sum := r.inFlight
	for _, work := range r.peers {
		if now-work.at < peerMemory {
			sum += work.requests
		}
	}
	return sum
}

// allReading is what the replica has yet to read for all gateways, as each last told.
func (r *Replica) allReading(now time.Duration) readingWork {
	sum := r.reading
	for _, work := range r.peers {
		if now-work.at >= peerMemory {
			continue
		}
		for urgency, busy := range work.reading {
			sum[urgency] += busy
		}
	}
	return sum
}

// waitBefore is the work that a replica does before a request's prompt if it has an urgency. It is
// called with the mutex held.
func (d *Directory) waitBefore(replica *Replica, urgency Urgency, request ReadRequest, now time.Duration) time.Duration {
	reading := replica.allReading(now)
	if urgency == Late {
		return reading.before(Late)
	}
	if reading[InTime] <= 0 {
		return replica.begunLate(now)
	}
	return d.aheadOf(replica, request, now)
}

// begunLate is the late prompt that a replica with none in time is reading: what has been
// begun is read to its end, whatever comes. Of a peer's late prompts no number is told,
// and they count as one.
func (r *Replica) begunLate(now time.Duration) time.Duration {
	begun := r.reading[Late] / time.Duration(max(r.lateReads, 1))
	for _, work := range r.peers {
		if now-work.at < peerMemory {
			begun = max(begun, work.reading[Late])
		}
	}
	return begun
}

const (
	// firstAvoidance is how long a replica is avoided after a failure that
	// shows that it can't be reached; it doubles with each further one.
	firstAvoidance   = 500 * time.Millisecond
	maximumAvoidance = 4 * time.Second
	// loadMemory is how long a replica's own account of its load counts.
	loadMemory = time.Second
	// smoothing is the weight of the newest observation in averages.
	smoothing = 0.15
)

// avoided reports whether a replica should get no request now if another can.
func (r *Replica) avoided(now time.Duration) bool { return now < r.avoidUntil }

// refuses reports whether a replica is expected to refuse a request, or more than it has of this process.
func (r *Replica) refuses(now time.Duration) bool {
	return now < r.refusals.avoidUntil || !r.refusals.ramp.takes(r.inFlight)
}

// unreachable notes a failure of the connection or a silence.
func (r *Replica) unreachable(now time.Duration, unconnected bool) {
	r.failures++
	r.unconnected = unconnected
	pause := min(firstAvoidance<<min(r.failures-1, 8), maximumAvoidance)
	r.avoidUntil = now + pause
	r.observeError(1)
}

func (r *Replica) observeError(failed float64) {
	r.errorRate += smoothing * (failed - r.errorRate)
}

// answered notes an answer of the replica's own.
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

// occupancy estimates the share of the replica's slots in use: the greater of
// what the gateways have placed there and the replica's last account, which
// fades.
func (r *Replica) occupancy(now time.Duration) float64 {
	slots := float64(max(r.Slots, 1))
	placed := float64(r.allInFlight(now)) / slots
	age := now - r.loadAt
	if r.load.Slots == 0 || age > loadMemory {
		return placed
	}
	reported := float64(r.load.Running+r.load.Waiting) / float64(r.load.Slots)
	return max(placed, reported*(1-age.Seconds()/loadMemory.Seconds()))
}

// leaves reports whether the replica takes no new work, for good or until it has another
// stage. It is called with the mutex held.
func (r *Replica) leaves() bool { return r.ends() || r.Stage == region.StageChanging }

// ends reports whether the replica takes no new work until its life ends, as the list or its own answers
// say. It is called with the mutex held.
func (r *Replica) ends() bool { return r.Leaves() || r.saysLeaving() }

// tellStreams tells the streams that run there that the replica leaves.
func (r *Replica) tellStreams() {
	for lease := range r.streams {
		close(lease.leaving)
		delete(r.streams, lease)
	}
}
