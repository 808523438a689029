package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// scheduleRetry schedules the retry of the next caller that is refused for a service: one interval (pace) after
// the previous caller, and between earliest and latest. The caller must hold d.mutex.
func (d *Directory) scheduleRetry(service string, earliest, pace, latest time.Duration) time.Duration {
	at := d.retryAt[service] + pace
	if at < earliest {
		// Add jitter, so that processes that refuse their first callers together do not have them retry
		// together.
		at = earliest + time.Duration(d.random()*float64(pace))
	}
	at = min(at, latest)
	d.retryAt[service] = at
	return at
}

// minimumLatency bounds the typical latency from below, and stands for it where none is known.
const minimumLatency = 50 * time.Millisecond

// backoffRetryAfter returns the time after which a caller should retry, if every replica of a service that is
// neither leaving nor a prefill replica is in backoff or at its learned limit for requests of a rank. It
// returns 0 if one is not, if there are none, or if no replica has asked this process for anything. Refused
// callers retry one after the other, at this process's share of the rate at which the replicas serve requests
// when full.
func (d *Directory) backoffRetryAfter(service string, rank int) time.Duration {
	asking := d.gateNow()
	if asking == 0 {
		return 0
	}
	latency := max(d.typicalLatency(service), minimumLatency.Seconds())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	slots, earliest := 0, time.Duration(0)
	var available []*Replica
	for _, replica := range d.services[service] {
		if replica.isLeaving() || replica.removed || replica.Stage == region.StagePrefill {
			continue
		}
		left := time.Duration(0)
		if replica.inBackoff(asking) {
			left = replica.peerState.BackoffLeft(asking)
		} else {
			available = append(available, replica)
		}
		if slots == 0 || left < earliest {
			earliest = left
		}
		slots += max(replica.Slots, 1)
	}
	if slots == 0 || len(d.belowLearnedLimit(available, rank, now)) > 0 {
		return 0
	}
	pace := time.Duration(latency / float64(slots) * float64(d.placerCount()) * float64(time.Second))
	return d.scheduleRetry(service, now+earliest, pace, now+earliest+maximumRetryAfter) - now
}
