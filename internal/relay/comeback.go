package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// callBack is when the next caller that is refused for a service should come back: a pace after the one
// before, not before earliest nor after latest. It is called with the mutex held.
func (d *Directory) callBack(service string, earliest, pace, latest time.Duration) time.Duration {
	at := d.returnAt[service] + pace
	if at < earliest {
		// Processes that refuse their first callers together call them back apart.
		at = earliest + time.Duration(d.draw()*float64(pace))
	}
	at = min(at, latest)
	d.returnAt[service] = at
	return at
}

// leastLatency stands for the time that a request takes where none is known.
const leastLatency = 50 * time.Millisecond

// restsReturn is in how long a caller should come back whose request of a rank no replica of a service takes
// since all rest, or are as full as they may get; zero if one does not. Those who were refused here come back
// one after the other, at this process's part of the pace at which the replicas serve when they are full.
func (d *Directory) restsReturn(service string, rank int) time.Duration {
	asking := d.askingNow()
	if asking == 0 {
		return 0
	}
	latency := max(d.typicalLatency(service), leastLatency.Seconds())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	slots, earliest := 0, time.Duration(0)
	var awake []*Replica
	for _, replica := range d.services[service] {
		if replica.leaves() || replica.gone || replica.Stage == region.StagePrefill {
			continue
		}
		left := time.Duration(0)
		if replica.rests(asking) {
			left = replica.asks.RestLeft(asking)
		} else {
			awake = append(awake, replica)
		}
		if slots == 0 || left < earliest {
			earliest = left
		}
		slots += max(replica.Slots, 1)
	}
	if slots == 0 || len(d.withRoom(awake, rank, now)) > 0 {
		return 0
	}
	pace := time.Duration(latency / float64(slots) * float64(d.choosers()) * float64(time.Second))
	return d.callBack(service, now+earliest, pace, now+earliest+longestReturn) - now
}
