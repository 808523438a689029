package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
)

// refusals is what a replica has shown by refusing requests. It is guarded by the Directory's mutex.
type refusals struct {
	// inRow counts those that came while it was not full, since it last took a request well; the first one
	// came at firstAt, the last one at lastAt.
	inRow           int
	firstAt, lastAt time.Duration
	// avoidUntil is until when the replica is expected to refuse requests.
	avoidUntil time.Duration
	// restUntil is when the rest ends that the replica has asked of this process, or of one that it places
	// for.
	restUntil time.Duration
	ramp      ramp
}

// ramp bounds a process's requests at a replica that has refused one though it was not full: one at first,
// one more with each that it takes well.
type ramp struct {
	// most is the bound, 0 for none.
	most int
	// since is when it began.
	since time.Duration
}

func (r *ramp) begin(now time.Duration) { r.most, r.since = 1, now }

// tookWell notes that a replica with so many slots has taken a request well that began at a time.
func (r *ramp) tookWell(begun time.Duration, slots int) {
	if r.most == 0 || begun < r.since {
		return
	}
	if r.most++; r.most > slots {
		r.most = 0
	}
}

// takes reports whether one request more than so many may be sent.
func (r *ramp) takes(inFlight int) bool { return r.most == 0 || inFlight < r.most }

const (
	// fullAvoidance is how long a replica is avoided at least that has refused a request.
	fullAvoidance = 60 * time.Millisecond
	// longestBackoff bounds the time for which a replica is avoided that refuses again and again, unless it
	// asks for a longer one.
	longestBackoff = 4 * time.Second
	// longestHint bounds the time for which a replica is avoided that has asked another process for a rest.
	longestHint = 10 * time.Second
	// returnJitter is the share by which such times differ by chance, longestJitter at most: those who avoid
	// a replica together should not return together.
	returnJitter  = 0.1
	longestJitter = 500 * time.Millisecond
	// mostResting bounds the rests that are told to others, the longest ones.
	mostResting = 48
)

// avoidFull has the replica avoided until a time.
func (r *refusals) avoidFull(until time.Duration) { r.avoidUntil = max(r.avoidUntil, until) }

// tookWell notes that the lease's replica has taken the request well. It is called with the mutex held.
func (l *Lease) tookWell(now time.Duration) {
	slots := max(l.Replica.Slots, 1)
	l.Replica.room.tookWell(now, slots, l.beside)
	l.Replica.refusals.ramp.tookWell(l.begun, slots)
	if l.begun > l.Replica.refusals.lastAt {
		l.Replica.refusals.inRow = 0
	}
}

// noteRefusal notes that a lease's replica has refused the request, and has asked for a rest, or for none. It
// is called with the mutex held.
func (d *Directory) noteRefusal(lease *Lease, rest time.Duration) {
	now, replica := d.clock(), lease.Replica
	known := &replica.refusals
	known.avoidFull(now + fullAvoidance)
	if rest > 0 && !d.off[mechanism.LearnedRoom] {
		d.noteFull(replica, now, lease.begun, rest)
	}
	if d.isFull(replica, now) || d.off[mechanism.RefusalBackoff] {
		// Others may find a free place there at once.
		return
	}
	if known.inRow == 0 {
		known.firstAt = now
	}
	known.inRow++
	known.lastAt = now
	known.ramp.begin(now)
	backoff := min(max(rest, fullAvoidance)<<min(known.inRow-1, 8), max(rest, longestBackoff))
	known.avoidFull(now + d.jittered(backoff))
	if until := now + min(backoff, longestHint); (rest > 0 || known.inRow > 1) && until > known.restUntil && !d.off[mechanism.RestHints] {
		known.restUntil = until
		d.restRevision++
	}
}

// refusesAll reports whether a replica has refused all requests for as long as another one takes to change its
// stage, so that one had better take its place. It is called with the mutex held.
func (d *Directory) refusesAll(replica *Replica, now time.Duration) bool {
	known := &replica.refusals
	return known.inRow > 1 && replica.refuses(now) && now-known.firstAt >= d.engines[replica.Service].SwitchTime
}

// jittered is a time, or somewhat more.
func (d *Directory) jittered(length time.Duration) time.Duration {
	jitter := min(returnJitter*float64(length), float64(longestJitter))
	return length + time.Duration(d.draw()*jitter)
}

// RestRevision is a number that grows with each rest that Resting lists.
func (d *Directory) RestRevision() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.restRevision
}

// Resting lists the replicas that have asked this process, or one that it places for, to be left alone.
func (d *Directory) Resting() []region.RestingReplica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.restRevision == 0 {
		return nil
	}
	var resting []region.RestingReplica
	now := d.clock()
	for name, replica := range d.replicas {
		if left := replica.refusals.restUntil - now; left > 0 {
			resting = append(resting, region.RestingReplica{Replica: name, LeftMillis: int(left.Milliseconds())})
		}
	}
	slices.SortFunc(resting, func(a, b region.RestingReplica) int {
		return cmp.Or(cmp.Compare(b.LeftMillis, a.LeftMillis), strings.Compare(a.Replica, b.Replica))
	})
	return resting[:min(len(resting), mostResting)]
}

// TakeResting notes the replicas that have asked another process for rests.
func (d *Directory) TakeResting(resting []region.RestingReplica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, each := range resting {
		if replica, known := d.replicas[each.Replica]; known {
			left := time.Duration(min(max(each.LeftMillis, 0), int(longestHint.Milliseconds()))) * time.Millisecond
			replica.refusals.avoidFull(now + d.jittered(left))
		}
	}
}
