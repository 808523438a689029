package coordinator

import "time"

// replicaCount is the number of a service's replicas on the list that are not leaving, the time since which it has not
// changed, and the time of the first count.
type replicaCount struct {
	count        int
	since, first time.Duration
}

// listSettleTime is how long a service's replicas on the list must stay the same in number before the first stage change: a
// list that is still incomplete shows too few replicas, and a change that proves needless costs seconds of a replica.
const listSettleTime = 2 * time.Second

// maximumListSettleTime bounds the wait if replicas are ordered and removed all the time: callers may arrive at any
// moment.
const maximumListSettleTime = 3 * listSettleTime

// standbyCount returns the number of a service's replicas on standby.
func (p *stagePlanner) standbyCount(service string) int {
	sum := 0
	for group, onStandby := range p.standby {
		if group.service == service {
			sum += onStandby.Prefill + onStandby.Decode
		}
	}
	return sum
}

// listIsSettling reports whether the number of a service's replicas has changed, or was first counted, less than
// listSettleTime ago, and no demand for the service has been reported yet. It is false from
// maximumListSettleTime after the first count on, even if the number still changes.
func (p *stagePlanner) listIsSettling(now time.Duration, service string, replicas int) bool {
	for group := range p.demandSince {
		if group.service == service {
			return false
		}
	}
	last, found := p.replicaCounts[service]
	if !found {
		last.first = now
	}
	if !found || last.count != replicas {
		last.count, last.since = replicas, now
		p.replicaCounts[service] = last
	}
	return now-last.since < listSettleTime && now-last.first < maximumListSettleTime
}
