package coordinator

import "time"

// arrival is a number of replicas, since when it has been the same, and when there were any first.
type arrival struct {
	replicas     int
	since, first time.Duration
}

// arrivalTime is for how long no replica must have come before the first is changed: a list that is still
// filling up shows too few, and a change that one of those to come would have made needless costs seconds
// of a replica.
const arrivalTime = 2 * time.Second

// arrivalLimit bounds the wait where replicas are ordered and taken away all the time: callers may come any
// moment.
const arrivalLimit = 3 * arrivalTime

// sparesOf counts the replicas of a service that stand by.
func (k *stageKeeper) sparesOf(service string) int {
	sum := 0
	for group, spare := range k.spares {
		if group.service == service {
			sum += spare.Readers + spare.Generators
		}
	}
	return sum
}

// stillArrive reports whether replicas of a service have come or gone of late, before any demand was told.
func (k *stageKeeper) stillArrive(now time.Duration, service string, replicas int) bool {
	for group := range k.demandFrom {
		if group.service == service {
			return false
		}
	}
	seen, found := k.arrivals[service]
	if !found {
		seen.first = now
	}
	if !found || seen.replicas != replicas {
		seen.replicas, seen.since = replicas, now
		k.arrivals[service] = seen
	}
	return now-seen.since < arrivalTime && now-seen.first < arrivalLimit
}
