package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
)

// rejections tracks the requests that a replica has rejected, and when it can take requests again. It is
// guarded by the Directory's mutex.
type rejections struct {
	// consecutive counts the rejections that came while the replica was not full. A success of a request that
	// began after the last rejection resets it. The first rejection came at firstRejectedAt, the last one at
	// lastRejectedAt.
	consecutive                     int
	firstRejectedAt, lastRejectedAt time.Duration
	// avoidUntil is the time until which the replica is expected to reject requests.
	avoidUntil time.Duration
	// backoffUntil is the time until which ReplicasInBackoff reports the replica as in backoff: it has requested one from
	// this process, or from one that this process places requests for, or has rejected several requests in a
	// row.
	backoffUntil time.Duration
	slowStart    slowStart
}

// slowStart is a slow start: it bounds the requests of a process at a replica that has rejected one although
// it was not full. The bound begins at one and grows by one with each request that succeeds.
type slowStart struct {
	// limit is the bound, 0 for none.
	limit int
	// startedAt is the time at which the slow start began.
	startedAt time.Duration
}

func (r *slowStart) begin(now time.Duration) { r.limit, r.startedAt = 1, now }

// recordSuccess records the success of a request that began at the given time; one that began before the slow
// start does not count. The bound ends once it exceeds the number of slots.
func (r *slowStart) recordSuccess(requestStart time.Duration, slots int) {
	if r.limit == 0 || requestStart < r.startedAt {
		return
	}
	if r.limit++; r.limit > slots {
		r.limit = 0
	}
}

// allows reports whether one more request may be sent beside those in flight.
func (r *slowStart) allows(inFlight int) bool { return r.limit == 0 || inFlight < r.limit }

const (
	// rejectionsInARow is the number of consecutive rejections after which a replica is taken for one that rejects
	// everything. One that rejects half of its requests is mistaken for it once in sixteen.
	rejectionsInARow = 4
	// minimumAvoidance is the least time for which a replica is avoided after it has rejected a request.
	minimumAvoidance = 60 * time.Millisecond
	// maximumBackoff bounds the time for which a replica is avoided that rejects requests repeatedly,
	// unless it requests a longer backoff.
	maximumBackoff = 4 * time.Second
	// maximumSharedBackoff bounds the time for which a replica is avoided that has requested a backoff
	// from another process.
	maximumSharedBackoff = 10 * time.Second
	// jitterShare is the largest share of such a time that is added as random jitter, and maximumJitter
	// the largest jitter: processes that avoid a replica at the same time should not all return at the
	// same time.
	jitterShare   = 0.1
	maximumJitter = 500 * time.Millisecond
	// maximumReportedBackoffs bounds the backoffs reported to others; the longest ones are reported.
	maximumReportedBackoffs = 48
)

// extendAvoidance has the replica avoided at least until the given time.
func (r *rejections) extendAvoidance(until time.Duration) { r.avoidUntil = max(r.avoidUntil, until) }

// recordSuccess records that the lease's replica has run the request successfully. The caller must hold
// l.directory.mutex.
func (l *Lease) recordSuccess(now time.Duration) {
	slots := max(l.Replica.Slots, 1)
	l.Replica.learnedLimit.accepted(now, slots, l.concurrent)
	l.Replica.rejections.slowStart.recordSuccess(l.startedAt, slots)
	if l.startedAt > l.Replica.rejections.lastRejectedAt {
		l.Replica.rejections.consecutive = 0
	}
}

// recordRejection records that a lease's replica has rejected the request and requested a backoff, 0 for
// none. The caller must hold d.mutex.
func (d *Directory) recordRejection(lease *Lease, requestedBackoff time.Duration) {
	now, replica := d.clock(), lease.Replica
	if next := d.successor(replica); next != nil {
		d.inheritPeerState(replica.peer(), next)
	}
	state := &replica.rejections
	state.extendAvoidance(now + minimumAvoidance)
	if requestedBackoff > 0 && !d.disabled[mechanism.LearnedRoom] {
		d.updateLearnedLimit(replica, now, lease.startedAt, requestedBackoff)
	}
	if d.isFull(replica, now) || d.disabled[mechanism.RefusalBackoff] {
		// A full replica is avoided only for the minimum: another process may find a free slot there immediately.
		return
	}
	if state.consecutive == 0 {
		state.firstRejectedAt = now
	}
	state.consecutive++
	state.lastRejectedAt = now
	state.slowStart.begin(now)
	backoff := min(max(requestedBackoff, minimumAvoidance)<<min(state.consecutive-1, 8), max(requestedBackoff, maximumBackoff))
	state.extendAvoidance(now + d.withJitter(backoff))
	if until := now + min(backoff, maximumSharedBackoff); (requestedBackoff > 0 || state.consecutive > 1) && until > state.backoffUntil && !d.disabled[mechanism.RestHints] {
		state.backoffUntil = until
		d.backoffRevision++
	}
}

// rejectsAll reports whether a replica has rejected all requests for as long as another one takes to
// change its stage, so that another one should replace it. The caller must hold d.mutex.
func (d *Directory) rejectsAll(replica *Replica, now time.Duration) bool {
	state := &replica.rejections
	return state.consecutive > 1 && replica.refuses(now) && now-state.firstRejectedAt >= d.engines[replica.Service].SwitchTime
}

// withJitter returns the delay extended by a random jitter.
func (d *Directory) withJitter(delay time.Duration) time.Duration {
	jitter := min(jitterShare*float64(delay), float64(maximumJitter))
	return delay + time.Duration(d.random()*jitter)
}

// BackoffRevision returns a number that grows with each backoff that is added to ReplicasInBackoff, or
// extended there.
func (d *Directory) BackoffRevision() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.backoffRevision
}

// ReplicasInBackoff lists the replicas to report as in backoff, the longest remaining time first, at most
// maximumReportedBackoffs. These are the replicas that, while they were not full, rejected a request of this
// process, or of one that this process places requests for, and either requested a backoff or rejected at least
// twice in a row.
func (d *Directory) ReplicasInBackoff() []region.BackoffReplica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.backoffRevision == 0 {
		return nil
	}
	var reported []region.BackoffReplica
	now := d.clock()
	for name, replica := range d.replicas {
		if left := replica.rejections.backoffUntil - now; left > 0 {
			reported = append(reported, region.BackoffReplica{Replica: name, LeftMillis: int(left.Milliseconds())})
		}
	}
	slices.SortFunc(reported, func(a, b region.BackoffReplica) int {
		return cmp.Or(cmp.Compare(b.LeftMillis, a.LeftMillis), strings.Compare(a.Replica, b.Replica))
	})
	return reported[:min(len(reported), maximumReportedBackoffs)]
}

// ApplyBackoffs records the replicas that have requested a backoff from another process.
func (d *Directory) ApplyBackoffs(reported []region.BackoffReplica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, each := range reported {
		if replica, known := d.replicas[each.Replica]; known {
			left := time.Duration(min(max(each.LeftMillis, 0), int(maximumSharedBackoff.Milliseconds()))) * time.Millisecond
			replica.rejections.extendAvoidance(now + d.withJitter(left))
		}
	}
}
