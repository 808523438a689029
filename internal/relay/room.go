package relay

import (
	"math"
	"slices"
	"time"
)

// learnedLimit is a concurrency limit for this process's requests at the replicas of one service and stage, learned
// from replicas that have refused requests and asked for a backoff. Requests beyond it would be refused,
// too, and put one replica after the other into backoff. It is guarded by Directory.mutex.
type learnedLimit struct {
	// perSlotLimit is the limit per slot as of since, 0 if there is none. It doubles every doublingTime.
	perSlotLimit float64
	since        time.Duration
	doublingTime time.Duration
	// level is the number of requests per slot at the last refusal that counted, and confirmed says that
	// there is no doubt about the limit.
	level     float64
	confirmed bool
	// taken is the largest recent number of concurrent requests of all processes per slot, as far as known,
	// with which a replica accepted one; it decays from takenAt on.
	taken   float64
	takenAt time.Duration
}

const (
	// usableShare is the share of the observed level that is used.
	usableShare = 0.9
	// reservedSharePerRank is the share of that which is reserved for earlier ranks, per rank.
	reservedSharePerRank = 0.05
	// backoffsToDouble is the time in which a confirmed limit doubles, in backoffs. From usableShare of the
	// level, it takes about 20 backoffs to reach the level again: a probe that finds no more capacity costs a
	// backoff, which should be a twentieth of the time. maximumDoubling bounds the time.
	backoffsToDouble = 140
	maximumDoubling  = 5 * time.Minute
	// unconfirmedShare is the time in which an unconfirmed limit doubles, as a share of the backoff, at least
	// minimumUnconfirmed: the replica may have refused for a reason other than its number of requests.
	unconfirmedShare   = 0.1
	minimumUnconfirmed = 300 * time.Millisecond
	// forgetAfterDoublings is the number of doublings after which a limit is dropped.
	forgetAfterDoublings = 4
	// maximumPlacersPerSlot is the largest number of placing processes per slot up to which this process's
	// requests at one replica indicate how many all processes have there; beyond it, the whole stage is
	// counted.
	maximumPlacersPerSlot = 2
	// takenDecay is the time constant with which learnedLimit.taken decays.
	takenDecay = 10 * time.Second
)

// accepted records that a replica accepted a request in addition to a number of others.
func (r *learnedLimit) accepted(now time.Duration, slots, others int) {
	r.taken = max(r.decayedTaken(now), float64(others)/float64(slots))
	r.takenAt = now
}

func (r *learnedLimit) decayedTaken(now time.Duration) float64 {
	if r.taken == 0 {
		return 0
	}
	return r.taken * math.Exp(-(now-r.takenAt).Seconds()/takenDecay.Seconds())
}

// mayBeFull reports whether a replica that refused a request may be full. others is the number of other
// requests that it had. Unless these take all slots, the refusal has another reason if there are none, or
// if they are fewer per slot than usableShare of what replicas of the same service and stage have recently
// accepted.
func (r *learnedLimit) mayBeFull(now time.Duration, slots, others int) bool {
	return others >= slots || others > 0 && float64(others)/float64(slots) >= usableShare*r.decayedTaken(now)
}

// update records the level, in requests of this process per slot, at which a replica refused a request that
// began at a time, and asked for a backoff. confirmed says that the replica had at least as many
// requests of all processes as slots.
func (r *learnedLimit) update(now, begun, backoff time.Duration, level float64, confirmed bool) {
	share := level
	if before := r.perSlot(now); before > 0 {
		// Several replicas that refuse at once for another reason agree, but do not refuse again later at
		// about that level.
		again := begun > r.since && level >= usableShare*r.level
		confirmed = confirmed || again || r.confirmed
		// Average with the previous limit, since a single refusal is a random sample.
		share = (level + before/usableShare) / 2
	}
	r.perSlotLimit, r.since, r.level, r.confirmed = usableShare*share, now, level, confirmed
	r.doublingTime = max(time.Duration(unconfirmedShare*float64(backoff)), minimumUnconfirmed)
	if confirmed {
		r.doublingTime = backoffsToDouble * min(backoff, maximumDoubling)
	}
	r.doublingTime = min(r.doublingTime, maximumDoubling)
}

// perSlot returns the current limit per slot, 0 if there is none.
func (r *learnedLimit) perSlot(now time.Duration) float64 {
	if r.perSlotLimit == 0 {
		return 0
	}
	doublings := float64(now-r.since) / float64(r.doublingTime)
	if doublings > forgetAfterDoublings {
		r.perSlotLimit = 0
		return 0
	}
	return r.perSlotLimit * math.Exp2(doublings)
}

// allowsAnother reports whether a number of slots with a number of this process's requests may take another one.
// random is a random number in [0, 1): a fractional limit is rounded up with a probability equal to the
// fraction. At least one request is always allowed.
func allowsAnother(share float64, slots, requests int, random float64) bool {
	return float64(requests) < max(math.Floor(share*float64(slots)+random), 1)
}

// learnedLimitOf returns the learned limit of a service and stage. The caller must hold d.mutex.
func (d *Directory) learnedLimitOf(service, stage string) *learnedLimit {
	key := service + "/" + stage
	known, found := d.learnedLimits[key]
	if !found {
		known = &learnedLimit{}
		d.learnedLimits[key] = known
	}
	return known
}

// concurrentRequests estimates the requests of all processes at the replica, excluding one of this process.
// Only some of the other processes report their work, and with a delay. The estimate is therefore the greater
// of the known total and the total if each process had as many requests there as this one. The caller must
// hold d.mutex.
func (d *Directory) concurrentRequests(replica *Replica, now time.Duration) int {
	return max(replica.totalInFlight(now)-1, (replica.inFlight-1)*d.placerCount())
}

// isFull reports whether a replica that refused a request of this process has at least as many other requests
// as slots, by the estimate of concurrentRequests. The caller must hold d.mutex.
func (d *Directory) isFull(replica *Replica, now time.Duration) bool {
	return d.concurrentRequests(replica, now) >= max(replica.Slots, 1)
}

// updateLearnedLimit updates the learned limit from a replica that refused a request of this process and asked for a
// backoff, if it may be full. The caller must hold d.mutex.
func (d *Directory) updateLearnedLimit(replica *Replica, now, begun, backoff time.Duration) {
	slots, all := max(replica.Slots, 1), d.concurrentRequests(replica, now)
	full := replica.learnedLimit.mayBeFull(now, slots, all)
	if placers := d.placerCount(); placers > maximumPlacersPerSlot*slots {
		slots, all = d.stageLoad(replica, now)
		full = all >= slots
	}
	if full {
		replica.learnedLimit.update(now, begun, backoff, float64(all)/float64(d.placerCount()*slots), all >= slots)
	}
}

// stageLoad returns the slots of the replicas of a replica's service and stage that are not in backoff, and
// the requests of all processes there, excluding a refused one. The caller must hold d.mutex.
func (d *Directory) stageLoad(replica *Replica, now time.Duration) (slots, requests int) {
	asking := d.gateNow()
	own, all := -1, -1
	for _, each := range d.services[replica.Service] {
		if each.learnedLimit == replica.learnedLimit && !each.removed && (each == replica || !each.inBackoff(asking)) {
			slots += max(each.Slots, 1)
			own += each.inFlight
			all += each.totalInFlight(now)
		}
	}
	return slots, max(all, own*d.placerCount())
}

// belowLearnedLimit returns the candidates, all of one service and stage, that are below the learned limit
// for requests of a rank, nil if the stage as a whole is not. The caller must hold d.mutex.
func (d *Directory) belowLearnedLimit(candidates []*Replica, rank int, now time.Duration) []*Replica {
	if len(candidates) == 0 {
		return candidates
	}
	share := candidates[0].learnedLimit.perSlot(now) * (1 - reservedSharePerRank*float64(rank))
	if share == 0 {
		return candidates
	}
	slots, requests := 0, 0
	for _, each := range candidates {
		slots += max(each.Slots, 1)
		requests += each.inFlight
	}
	if !allowsAnother(share, slots, requests, d.random()) {
		return nil
	}
	return slices.DeleteFunc(candidates, func(r *Replica) bool {
		return !allowsAnother(share, max(r.Slots, 1), r.inFlight, d.random())
	})
}
