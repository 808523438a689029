package origin

import "time"

// Window is how long a stream may be taken up after it has begun, unless its caller waits longer. Records are sent while
// a service has run more than one software within it.
const Window = 30 * time.Second

// MaximumSoftware bounds what is remembered of a service that runs something new all the time.
const MaximumSoftware = 64

// Versions remembers what the replicas of services run and have run within Window. It is not safe for concurrent use.
type Versions struct {
	// knownSince is when the first whole list was observed; it is valid once observed is set.
	knownSince time.Duration
	observed   bool
	services   map[string]*recentSoftware
}

// recentSoftware is what a service's replicas run and have run.
type recentSoftware struct {
	// seenAt is when the software was last listed, or ceased to be.
	seenAt map[Software]time.Duration
	listed map[Software]bool
	// forgottenUntil is until when software that was forgotten for lack of room would have counted.
	forgottenUntil time.Duration
}

// Confirm records that nothing else has run within Window but what is listed and what has run until the given times.
func (v *Versions) Confirm(now time.Duration, former map[string]map[Software]time.Duration) {
	v.observed, v.knownSince = true, min(v.knownSince, now-Window)
	if v.services == nil {
		v.services = map[string]*recentSoftware{}
	}
	for service, gone := range former {
		if v.services[service] == nil {
			v.services[service] = &recentSoftware{seenAt: map[Software]time.Duration{}}
		}
		recent := v.services[service]
		for software, until := range gone {
			if seen, known := recent.seenAt[software]; !known || seen < until {
				recent.seenAt[software] = until
			}
		}
	}
}

// Observe records a list: what the replicas of each service run. whole is false while parts of the list are missing.
func (v *Versions) Observe(now time.Duration, list map[string]map[Software]bool, whole bool) {
	if !whole {
		v.observed = false
	} else if !v.observed {
		v.observed, v.knownSince = true, now
	}
	if v.services == nil {
		v.services = map[string]*recentSoftware{}
	}
	for service := range list {
		if v.services[service] == nil {
			v.services[service] = &recentSoftware{seenAt: map[Software]time.Duration{}}
		}
	}
	for service, recent := range v.services {
		recent.observe(now, list[service])
		if len(recent.seenAt) == 0 && now >= recent.forgottenUntil {
			delete(v.services, service)
		}
	}
}

func (r *recentSoftware) observe(now time.Duration, listed map[Software]bool) {
	for software := range r.listed {
		r.seenAt[software] = now
	}
	for software := range listed {
		r.seenAt[software] = now
	}
	r.listed = listed
	for software, at := range r.seenAt {
		if !listed[software] && now-at >= Window {
			delete(r.seenAt, software)
		}
	}
	for software := range r.seenAt {
		if len(r.seenAt) <= MaximumSoftware {
			return
		}
		delete(r.seenAt, software)
		r.forgottenUntil = now + Window
	}
}

// Recent returns what the replicas of a service run and have run within Window.
func (v *Versions) Recent(now time.Duration, service string) ServiceVersions {
	result := ServiceVersions{Service: service, Complete: v.observed && now-v.knownSince >= Window}
	recent := v.services[service]
	if recent == nil {
		return result
	}
	for software, at := range recent.seenAt {
		if recent.listed[software] || now-at < Window {
			result.Software = append(result.Software, software)
		}
	}
	result.Complete = result.Complete && now >= recent.forgottenUntil
	return result
}

// Only returns the one origin at which a stream may have begun, given what services have run, and whether there is just
// one and no other can be missing.
func Only(services []ServiceVersions) (Origin, bool) {
	var only Origin
	count := 0
	for _, each := range services {
		if !each.Complete {
			return Origin{}, false
		}
		for _, software := range each.Software {
			only = Origin{Service: each.Service, Software: software}
			count++
		}
	}
	return only, count == 1
}
