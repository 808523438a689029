package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// leaseShare is the part of the contact time for which conclusions are drawn from a view. The rest is for clocks that run at
// different rates.
const leaseShare = 0.9

// viewLease is a gateway's lease on its list of replicas and its configuration: until the contact time after they were known to be
// complete, no stream begins at software, or at services of routes, that they lack.
type viewLease struct {
	// kept is set if leases on lists are kept: coordinators of earlier builds keep none.
	kept bool
	// confirmedAt is when the list was known to be complete; it is valid once confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// newSoftware is the software of the list at which streams may not begin yet, and unconfirmed what only the platform has
	// shown: coordinators may not have it.
	newSoftware []region.NewSoftware
	unconfirmed []region.NewSoftware
	// newRoutes are the services at which streams of routes may not begin yet. They are kept if routesKept is set.
	newRoutes  []region.NewRoute
	routesKept bool
}

// renew renews the lease by a view that was asked for at a time: it may have been under way since.
func (l *viewLease) renew(view *region.View, polledAt time.Duration) {
	at := polledAt + time.Duration(view.HeldMillis-view.AgeMillis)*time.Millisecond
	if !l.confirmed || at > l.confirmedAt {
		l.confirmed, l.confirmedAt = true, at
	}
}

// heldLease says what can be concluded from the list and a configuration.
type heldLease struct {
	// software is set if no stream can have begun at software that the list lacks, and routes if none can have begun at
	// services of routes that the configuration lacks.
	software, routes bool
	// kept says that there are leases on lists, routesKept that there are some on configurations. If not, the view counts for
	// the contact time.
	kept, routesKept bool
}

// heldLease returns what can be concluded from the list and the configuration of a version now.
func (v *viewClient) heldLease(version uint64) heldLease {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	software, kept := v.holdsLease()
	held := heldLease{software: software, kept: kept, routes: software, routesKept: v.lease.routesKept}
	if held.routesKept {
		// What is received and not in force yet is known to be newer.
		held.routes = software && v.version() == version && v.receivedVersion.Load() <= version
	}
	return held
}

// holdsLease reports whether no stream can have begun at software that the list lacks, and whether such leases are kept at
// all. The caller must hold v.mutex.
func (v *viewClient) holdsLease() (holds, kept bool) {
	if v.lease.kept {
		return v.lease.confirmed && v.now()-v.lease.confirmedAt < time.Duration(leaseShare*float64(v.settings.ContactTime)), true
	}
	return v.confirmed && v.now()-v.freshAt <= v.settings.ContactTime, false
}

// noteNewRoutes takes over the services at which streams of routes may not begin yet, unless the view is older than what is
// known. The caller must hold v.mutex.
func (v *viewClient) noteNewRoutes(view *region.View) {
	if view.Version < max(v.version(), v.receivedVersion.Load()) {
		return
	}
	v.lease.routesKept, v.lease.newRoutes = view.RoutesKept, view.NewRoutes
}

// mayBegin reports whether streams of a route may begin at a service.
func (v *viewClient) mayBegin(route *traffic.Route, service string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	host := strings.ToLower(route.Host)
	return !slices.ContainsFunc(v.lease.newRoutes, func(each region.NewRoute) bool {
		at := &each.RouteService
		return (at.Service == service || *at == origin.AnyRouteService) && at.MayServe(host, route.PathPrefix)
	})
}

// noteNewSoftware takes over the software at which streams may not begin yet, unless the view is older than the list. The
// caller must hold v.mutex.
func (v *viewClient) noteNewSoftware(view *region.View) {
	if v.list.IsNewerThan(view) {
		return
	}
	v.lease.kept, v.lease.newSoftware = view.SoftwareGated, view.NewSoftware
	v.lease.unconfirmed = slices.DeleteFunc(v.lease.unconfirmed, func(each region.NewSoftware) bool {
		return slices.ContainsFunc(v.list.Replicas(), func(r region.Replica) bool { return r.Service == each.Service && r.Software == each.Version })
	})
	v.showNewSoftware()
}

// noteDirectSoftware notes the software of a list that no coordinator has shown.
func (v *viewClient) noteDirectSoftware(replicas []region.Replica) {
	running := v.directory.RunningSoftware()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.lease.kept {
		return
	}
	for index := range replicas {
		replica := &replicas[index]
		known := running[replica.Service]
		if len(known) == 0 || known[origin.SoftwareOf(replica.Software, replica.Incarnation().Name())] {
			continue
		}
		v.lease.unconfirmed = append(v.lease.unconfirmed, region.NewSoftware{Service: replica.Service, Version: replica.Software})
	}
	v.showNewSoftware()
}

// showNewSoftware tells the directory at what software streams may not begin yet. The caller must hold v.mutex.
func (v *viewClient) showNewSoftware() {
	if len(v.lease.unconfirmed) == 0 {
		v.directory.SetNewSoftware(v.lease.newSoftware)
		return
	}
	v.directory.SetNewSoftware(slices.Concat(v.lease.newSoftware, v.lease.unconfirmed))
}
