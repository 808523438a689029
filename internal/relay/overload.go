package relay

import (
	"math"
	"time"
)

// rankedMeter keeps what prompts in time ask of a service's readers, by the rank of their
// routes, and how many of the readers have such work. It fades with readMemory. It is guarded
// by the Directory's mutex.
type rankedMeter struct {
	// busy is the work that was placed here of late, in seconds, and prompts its number.
	busy, prompts [LastRank]float64
	// squares is the sum of the squares of the prompts' work, in seconds.
	squares float64
	// taken is the share of the readers that have prompts in time to read, of late.
	taken float64
	// readers is their number, and late that of those which have late prompts, now.
	readers, late int
	tenants       tenantMeter
	// sizes are by rank, nil where there were no prompts.
	sizes [LastRank]*sizeMeter
	at    time.Duration
}

// fade forgets with the time, and returns the share that is left.
func (m *rankedMeter) fade(now time.Duration) float64 {
	left := math.Exp(-(now - m.at).Seconds() / readMemory.Seconds())
	m.at = now
	for rank := range m.busy {
		m.busy[rank] *= left
		m.prompts[rank] *= left
	}
	m.squares *= left
	return left
}

// observe notes the readers as a prompt comes.
func (m *rankedMeter) observe(now time.Duration, readers []*Replica) {
	left := m.fade(now)
	if len(readers) == 0 {
		return
	}
	taken := 0
	m.readers, m.late = len(readers), 0
	for _, reader := range readers {
		reading := reader.allReading(now)
		if reading[InTime] > 0 {
			taken++
		}
		if reading[Late] > 0 {
			m.late++
		}
	}
	m.taken = left*m.taken + (1-left)*float64(taken)/float64(len(readers))
}

// place notes a prompt in time that was placed.
func (m *rankedMeter) place(rank int, busy time.Duration) {
	m.busy[rank] += busy.Seconds()
	m.prompts[rank]++
	m.squares += busy.Seconds() * busy.Seconds()
}

// ahead is the share of the work in time that is of a rank or an earlier one; all of it as
// long as nothing is known.
func (m *rankedMeter) ahead(rank int) float64 {
	var sum, all float64
	for each, busy := range m.busy {
		all += busy
		if each <= rank {
			sum += busy
		}
	}
	if all <= 0 {
		return 1
	}
	return sum / all
}

// pushing is the share of a reader's time that prompts of earlier ranks take which have yet to
// come: what waits there waits for them, too. Without it, prompts of the latest rank were taken
// for in time and then read late: at 1.5 times the capacity goodput fell from 0.94 to 0.60.
func (m *rankedMeter) pushing(rank int) float64 {
	if rank == 0 || m.taken <= 0 {
		return 0
	}
	return min(m.taken*m.ahead(rank-1), mostPushing)
}

// mostPushing bounds by how much a wait is stretched, to ten times: a prompt that waits for
// nothing has the time that it needs however much of earlier ranks comes.
const mostPushing = 0.9

// behind is how long a prompt of a later rank takes to be read.
func (m *rankedMeter) behind(rank int) time.Duration {
	var busy, prompts float64
	for each := rank + 1; each < LastRank; each++ {
		busy += m.busy[each]
		prompts += m.prompts[each]
	}
	if prompts <= 0 {
		return 0
	}
	return time.Duration(busy / prompts * float64(time.Second))
}

// typical is how long a prompt in time takes to be read, the mean over the work: half of the work takes
// about as long or longer. It is 0 as long as nothing is known.
func (m *rankedMeter) typical() time.Duration {
	var all float64
	for _, busy := range m.busy {
		all += busy
	}
	if all <= 0 {
		return 0
	}
	return time.Duration(m.squares / all * float64(time.Second))
}

// rankedOf is called with the mutex held.
func (d *Directory) rankedOf(service string) *rankedMeter {
	meter, found := d.ranked[service]
	if !found {
		meter = &rankedMeter{at: d.clock()}
		d.ranked[service] = meter
	}
	return meter
}

// aheadOf is the work in time that the replica does before a prompt of a rank: replicas take the
// prompts of earlier ranks first. What peers have told is not parted by rank, and counts as the
// work that was placed here. One of a later rank that has been begun is read to its end. It is
// called with the mutex held.
func (d *Directory) aheadOf(replica *Replica, request ReadRequest, now time.Duration) time.Duration {
	rank := request.Rank
	all := replica.allReading(now)[InTime]
	var own, ahead time.Duration
	for each, busy := range replica.ranked {
		own += busy
		if each <= rank {
			ahead += busy
		}
	}
	meter := d.rankedOf(replica.Service)
	ahead += time.Duration(meter.ahead(rank) * float64(max(all-own, 0)))
	wait := ahead + min(max(all-ahead, 0), meter.behind(rank))
	return time.Duration(float64(wait) * meter.tenants.beyond(request.Tenant, now) / (1 - meter.pushing(rank)))
}

// rankOf bounds the rank of a route.
func rankOf(priority int) int { return min(max(priority, 0), LastRank-1) }

// lateLeft is the time in which a late prompt has to be read: callers leave a stream that has
// been silent for some objectives, though not at once, long before their deadline.
func (r *ReadRequest) lateLeft() time.Duration {
	passed := r.Objective - r.AimLeft
	return min(r.Left, max(lateObjectives*r.Objective, leastPatience)-passed)
}

const (
	// lateObjectives is after how many objectives from its arrival a prompt is of no use any
	// more.
	lateObjectives = 4
	// leastPatience is for how long callers wait for a stream at least, however short its
	// objective.
	leastPatience = 2 * time.Second
)

// mayBeginLate reports whether a late prompt may go to a reader that has nothing to read: there
// it begins at once, and is read to its end. The readers with late prompts are kept to a share of
// those that prompts in time leave free, so that these hardly meet any. It is called with the
// mutex held.
func (d *Directory) mayBeginLate(estimated *readEstimate, now time.Duration) bool {
	meter := d.rankedOf(estimated.replica.Service)
	idle := estimated.replica.allReading(now).before(Late) <= 0
	return idle && float64(meter.late+1) <= lateReaderShare*(1-meter.taken)*float64(meter.readers)
}

// lateReaderShare of the readers that are free of prompts in time may read late ones that began
// at once.
const lateReaderShare = 0.5

// lateTotal is the time until a replica has read a late prompt: it reads late ones only while it
// has none in time, which is the less often the more of the readers have such work. It is called
// with the mutex held.
func (d *Directory) lateTotal(estimated *readEstimate) time.Duration {
	free := 1 - d.rankedOf(estimated.replica.Service).taken
	if free <= 0 {
		return math.MaxInt64
	}
	total := estimated.total().Seconds() / free
	if total > longestTold.Seconds() {
		return longestTold
	}
	return time.Duration(total * float64(time.Second))
}
