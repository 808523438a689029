package relay

import (
	"math"
	"slices"
	"time"
)

// room is how many requests of this process the replicas of a stage of a service take, as those have shown
// that have turned some away and asked for a rest. What is beyond would be turned away, too, and take one
// replica after the other away for as long as they ask for. It is guarded by the Directory's mutex.
type room struct {
	// share is the number for each slot, 0 if nothing was found. It grows since it was found, doubling after a
	// time.
	share    float64
	since    time.Duration
	doubling time.Duration
	// level is the number for each slot that the last finding came from, and certain says that it is in no
	// doubt.
	level   float64
	certain bool
	// taken is the most requests of all processes for each slot, as far as they were known, beside which a
	// replica has taken one well of late; it fades since takenAt.
	taken   float64
	takenAt time.Duration
}

const (
	// fullShare of what was found is used.
	fullShare = 0.9
	// rankShare of that is kept free of requests of a rank for each earlier one.
	rankShare = 0.05
	// restsToDouble is in how many rests the share doubles: to find out that there is no more room costs a
	// rest, which should be a twentieth of the time. longestDoubling bounds that.
	restsToDouble   = 140
	longestDoubling = 5 * time.Minute
	// doubtedShare of a rest, leastDoubted at least, is that time while a finding is in doubt: the replica may
	// have refused for another reason than the requests that it had.
	doubtedShare = 0.1
	leastDoubted = 300 * time.Millisecond
	// forgottenRoom is in how many doublings a finding is forgotten.
	forgottenRoom = 4
	// fewChoosers is how many processes for each slot may choose a replica so that the requests of one there
	// tell how many there are of all.
	fewChoosers = 2
	// takenMemory is the time constant by which room.taken fades.
	takenMemory = 10 * time.Second
)

// tookWell notes that a replica with so many slots has taken a request well beside so many others.
func (r *room) tookWell(now time.Duration, slots, beside int) {
	r.taken = max(r.takenNow(now), float64(beside)/float64(slots))
	r.takenAt = now
}

func (r *room) takenNow(now time.Duration) float64 {
	if r.taken == 0 {
		return 0
	}
	return r.taken * math.Exp(-(now-r.takenAt).Seconds()/takenMemory.Seconds())
}

// mayBeFull reports whether a replica with so many slots may be full that has turned a request away beside so
// many others: one that refuses beside fewer than its like have taken one refuses for another reason.
func (r *room) mayBeFull(now time.Duration, slots, beside int) bool {
	return beside >= slots || beside > 0 && float64(beside)/float64(slots) >= fullShare*r.takenNow(now)
}

// found notes how many requests of this process for each slot replicas had of which one has turned another
// away that began at a time, and has asked for a rest. certain says that it had as many of all as it has
// slots.
func (r *room) found(now, begun, rest time.Duration, level float64, certain bool) {
	share := level
	if before := r.now(now); before > 0 {
		// Several that refuse at once for another reason say the same, but not again at that level.
		again := begun > r.since && level >= fullShare*r.level
		certain = certain || again || r.certain
		// One finding goes by chance.
		share = (level + before/fullShare) / 2
	}
	r.share, r.since, r.level, r.certain = fullShare*share, now, level, certain
	r.doubling = max(time.Duration(doubtedShare*float64(rest)), leastDoubted)
	if certain {
		r.doubling = restsToDouble * min(rest, longestDoubling)
	}
	r.doubling = min(r.doubling, longestDoubling)
}

// now is the share that may be used, 0 if there is no bound.
func (r *room) now(now time.Duration) float64 {
	if r.share == 0 {
		return 0
	}
	doublings := float64(now-r.since) / float64(r.doubling)
	if doublings > forgottenRoom {
		r.share = 0
		return 0
	}
	return r.share * math.Exp2(doublings)
}

// takes reports whether so many slots with so many requests of this process have room for another one. draw
// is a number from 0 up to 1: where there is room for some requests and a part, the part is taken as often
// as it says.
func takes(share float64, slots, requests int, draw float64) bool {
	return float64(requests) < max(math.Floor(share*float64(slots)+draw), 1)
}

// roomOf is that of a stage of a service. It is called with the mutex held.
func (d *Directory) roomOf(service, stage string) *room {
	key := service + "/" + stage
	known, found := d.rooms[key]
	if !found {
		known = &room{}
		d.rooms[key] = known
	}
	return known
}

// requestsBeside are those of all processes at the replica beside one of this process. What others choose is
// told by some of them only, and late: they may have as many there as this process. It is called with the
// mutex held.
func (d *Directory) requestsBeside(replica *Replica, now time.Duration) int {
	return max(replica.allInFlight(now)-1, (replica.inFlight-1)*d.choosers())
}

// isFull reports whether a replica that has turned a request of this process away has as many others as slots.
// It is called with the mutex held.
func (d *Directory) isFull(replica *Replica, now time.Duration) bool {
	return d.requestsBeside(replica, now) >= max(replica.Slots, 1)
}

// noteFull notes what a full replica shows of the room at its kind that has turned a request of this process
// away, and has asked for a rest. It is called with the mutex held.
func (d *Directory) noteFull(replica *Replica, now, begun, rest time.Duration) {
	slots, all := max(replica.Slots, 1), d.requestsBeside(replica, now)
	full := replica.room.mayBeFull(now, slots, all)
	if choosers := d.choosers(); choosers > fewChoosers*slots {
		slots, all = d.atStage(replica, now)
		full = all >= slots
	}
	if full {
		replica.room.found(now, begun, rest, float64(all)/float64(d.choosers()*slots), all >= slots)
	}
}

// atStage are the slots of the replicas of a replica's kind that do not rest, and the requests there of all
// processes beside one that was turned away. It is called with the mutex held.
func (d *Directory) atStage(replica *Replica, now time.Duration) (slots, requests int) {
	asking := d.askingNow()
	own, all := -1, -1
	for _, each := range d.services[replica.Service] {
		if each.room == replica.room && !each.gone && (each == replica || !each.rests(asking)) {
			slots += max(each.Slots, 1)
			own += each.inFlight
			all += each.allInFlight(now)
		}
	}
	return slots, max(all, own*d.choosers())
}

// withRoom are those of some replicas of a stage of a service that have room for a request of a rank, as
// far as full ones have shown. It is called with the mutex held.
func (d *Directory) withRoom(candidates []*Replica, rank int, now time.Duration) []*Replica {
	if len(candidates) == 0 {
		return candidates
	}
	share := candidates[0].room.now(now) * (1 - rankShare*float64(rank))
	if share == 0 {
		return candidates
	}
	slots, requests := 0, 0
	for _, each := range candidates {
		slots += max(each.Slots, 1)
		requests += each.inFlight
	}
	if !takes(share, slots, requests, d.draw()) {
		return nil
	}
	return slices.DeleteFunc(candidates, func(r *Replica) bool {
		return !takes(share, max(r.Slots, 1), r.inFlight, d.draw())
	})
}
