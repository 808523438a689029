package relay

import (
	"math"
	"time"
)

// rankMeter measures the work that on-time prompts demand of a service's prefill replicas, by the
// rank of their routes, and how many of the replicas have such work. It decays with readTimeConstant.
// It is guarded by the Directory's mutex.
type rankMeter struct {
	// busy is the work recently placed by this process, in seconds, and prompts the number of its prompts.
	busy, prompts [LastRank]float64
	// squares is the sum of the squares of the prompts' work, in square seconds.
	squares float64
	// busyShare is the recent share of the prefill replicas that have on-time prompts to prefill.
	busyShare float64
	// prefillReplicas is the present number of prefill replicas, and lateReplicas the number of those with late
	// prompts.
	prefillReplicas, lateReplicas int
	tenants                       tenantMeter
	// sizes are by rank, nil where there were no prompts.
	sizes [LastRank]*sizeMeter
	at    time.Duration
}

// decay decays the sums up to now, and returns the factor that was applied.
func (m *rankMeter) decay(now time.Duration) float64 {
	left := math.Exp(-(now - m.at).Seconds() / readTimeConstant.Seconds())
	m.at = now
	for rank := range m.busy {
		m.busy[rank] *= left
		m.prompts[rank] *= left
	}
	m.squares *= left
	return left
}

// observe samples the state of the prefill replicas when a prompt arrives.
func (m *rankMeter) observe(now time.Duration, replicas []*Replica) {
	left := m.decay(now)
	if len(replicas) == 0 {
		return
	}
	busyReplicas := 0
	m.prefillReplicas, m.lateReplicas = len(replicas), 0
	for _, replica := range replicas {
		work := replica.totalPrefillWork(now)
		if work[InTime] > 0 {
			busyReplicas++
		}
		if work[Late] > 0 {
			m.lateReplicas++
		}
	}
	m.busyShare = left*m.busyShare + (1-left)*float64(busyReplicas)/float64(len(replicas))
}

// place records an on-time prompt that was placed.
func (m *rankMeter) place(rank int, busy time.Duration) {
	m.busy[rank] += busy.Seconds()
	m.prompts[rank]++
	m.squares += busy.Seconds() * busy.Seconds()
}

// shareUpTo is the share of the on-time work that is of a rank or an earlier one; 1 as long as no work is
// known.
func (m *rankMeter) shareUpTo(rank int) float64 {
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

// earlierRankLoad is the share of a prefill replica's time taken by prompts of earlier ranks that have yet
// to arrive: prompts that wait there also wait for them. Without it, prompts of the latest rank were
// classified as on time and then prefilled late: at 1.5 times the capacity goodput fell from 0.94 to 0.60.
func (m *rankMeter) earlierRankLoad(rank int) float64 {
	if rank == 0 || m.busyShare <= 0 {
		return 0
	}
	return min(m.busyShare*m.shareUpTo(rank-1), maximumEarlierRankLoad)
}

// maximumEarlierRankLoad bounds the stretching of a wait, to ten times. A prompt that has no work to wait for is
// not delayed, however much work of earlier ranks arrives.
const maximumEarlierRankLoad = 0.9

// meanLaterRank is the mean prefill time of a prompt of a later rank, 0 if there is none.
func (m *rankMeter) meanLaterRank(rank int) time.Duration {
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

// typical is the work-weighted mean prefill time of an on-time prompt: about half of the work belongs to prompts
// that take as long or longer. It is 0 as long as no work is known.
func (m *rankMeter) typical() time.Duration {
	var all float64
	for _, busy := range m.busy {
		all += busy
	}
	if all <= 0 {
		return 0
	}
	return time.Duration(m.squares / all * float64(time.Second))
}

// rankMeterOf returns the meter of a service. The caller must hold d.mutex.
func (d *Directory) rankMeterOf(service string) *rankMeter {
	meter, found := d.rankMeters[service]
	if !found {
		meter = &rankMeter{at: d.clock()}
		d.rankMeters[service] = meter
	}
	return meter
}

// waitBefore is the expected time for on-time work that the replica does before the request's prompt: replicas
// prefill the prompts of earlier ranks first. Work reported by peers is not broken down by rank; its ranks are
// assumed to be distributed as those of the work placed by this process. A prefill of a later rank that was
// started runs to completion. The wait is stretched for prompts of earlier ranks that have yet to arrive
// (earlierRankLoad), and for heavy tenants (waitFactor). The caller must hold d.mutex.
func (d *Directory) waitBefore(replica *Replica, request PrefillRequest, now time.Duration) time.Duration {
	rank := request.Rank
	all := replica.totalPrefillWork(now)[InTime]
	var own, ahead time.Duration
	for each, busy := range replica.onTimeWork {
		own += busy
		if each <= rank {
			ahead += busy
		}
	}
	meter := d.rankMeterOf(replica.Service)
	ahead += time.Duration(meter.shareUpTo(rank) * float64(max(all-own, 0)))
	wait := ahead + min(max(all-ahead, 0), meter.meanLaterRank(rank))
	return time.Duration(float64(wait) * meter.tenants.waitFactor(request.Tenant, now) / (1 - meter.earlierRankLoad(rank)))
}

// rankOf limits the rank of a route to the valid range.
func rankOf(priority int) int { return min(max(priority, 0), LastRank-1) }

// lateLeft is the remaining time in which a late prompt has to be prefilled: callers abandon a stream without
// events after a few times its objective, but not before minimumCallerPatience, and long before their deadline.
func (r *PrefillRequest) lateLeft() time.Duration {
	passed := r.Objective - r.ObjectiveLeft
	return min(r.Left, max(lateObjectives*r.Objective, minimumCallerPatience)-passed)
}

const (
	// lateObjectives is the age, in multiples of its objective, at which a prompt has become useless.
	lateObjectives = 4
	// minimumCallerPatience is how long callers wait for a stream at least, however short its objective.
	minimumCallerPatience = 2 * time.Second
)

// mayBeginLate reports whether a late prompt may be placed at an idle prefill replica, where it starts at once
// and runs to completion. The replicas with late prompts are limited to a share of those that have no on-time
// prompts, so that on-time prompts rarely wait for late ones. The caller must hold d.mutex.
func (d *Directory) mayBeginLate(estimated *prefillEstimate, now time.Duration) bool {
	meter := d.rankMeterOf(estimated.replica.Service)
	idle := estimated.replica.totalPrefillWork(now).before(Late) <= 0
	return idle && float64(meter.lateReplicas+1) <= lateReplicaShare*(1-meter.busyShare)*float64(meter.prefillReplicas)
}

// lateReplicaShare bounds the prefill replicas with late prompts, including an idle one on which a late prompt is placed,
// as a share of those without on-time prompts.
const lateReplicaShare = 0.5

// lateTotal is the expected time until a replica has prefilled a late prompt. A replica processes late prompts only
// while it has no on-time ones; the share of that time is estimated by the share of the replicas without on-time
// prompts. The caller must hold d.mutex.
func (d *Directory) lateTotal(estimated *prefillEstimate) time.Duration {
	free := 1 - d.rankMeterOf(estimated.replica.Service).busyShare
	if free <= 0 {
		return math.MaxInt64
	}
	total := estimated.total().Seconds() / free
	if total > maximumReportedTime.Seconds() {
		return maximumReportedTime
	}
	return time.Duration(total * float64(time.Second))
}
