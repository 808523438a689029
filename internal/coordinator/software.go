package coordinator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/build"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// maximumFormerSoftware bounds the software that is remembered after the last replica that ran it.
	maximumFormerSoftware = 256
	// clockSlack is by how much the clocks of two coordinators may differ.
	clockSlack = 5 * time.Second
	// recountTime is how long software that runs again needs no gate: everyone counts what has run for origin.Window, also
	// by a list that is as old as the contact time.
	recountTime = origin.Window / 2
	// sinceEver is the SoftwareSince of a group whose first list is known: replicas have run nothing before it.
	sinceEver = 1
)

// serviceSoftware is a version of the software of a service's replicas.
type serviceSoftware struct{ service, version string }

// noteFormerSoftware records in a state what no listed replica runs any more after a change of the list at a time, 0 if
// that is not known.
func noteFormerSoftware(state, before *region.State, at int64) {
	switch {
	case at == 0:
		state.FormerSoftware, state.SoftwareSince = nil, 0
		return
	case before.SoftwareSince == 0 && before.ListRevision == 0 && len(before.Replicas) == 0:
		state.SoftwareSince = sinceEver
	case before.SoftwareSince == sinceEver && before.Version == 0:
		// Without a configuration no stream has begun.
	case before.SoftwareSince == 0 || lostUnknownSoftware(before.Replicas, state.Replicas):
		state.SoftwareSince = at
	}
	listed := listedSoftware(state.Replicas)
	former := slices.DeleteFunc(slices.Clone(state.FormerSoftware), func(each region.FormerSoftware) bool {
		return listed[serviceSoftware{each.Service, each.Version}] || at-each.Until >= int64(origin.Window+clockSlack)
	})
	for gone := range listedSoftware(before.Replicas) {
		if !listed[gone] {
			former = append(former, region.FormerSoftware{Service: gone.service, Version: gone.version, Until: at})
		}
	}
	if len(former) > maximumFormerSoftware {
		former, state.SoftwareSince = nil, at
	}
	slices.SortFunc(former, compareFormer)
	state.FormerSoftware = former
}

// noteNewSoftware records in a state at what software streams may begin that they couldn't begin at before a change of the
// list, nil if only the activity of replicas has changed. It stays until a SoftwareCommand, whatever is listed meanwhile.
func noteNewSoftware(state, before *region.State, change *region.ListCommand) {
	if change != nil {
		state.SoftwareGated = change.Gated
	}
	if !state.SoftwareGated {
		state.NewSoftware = nil
		return
	}
	known, others := countedSoftware(before, change)
	earlier := listedSoftware(before.Replicas)
	for _, former := range before.FormerSoftware {
		earlier[serviceSoftware{former.Service, former.Version}] = true
	}
	added := slices.Clone(state.NewSoftware)
	for software := range activeSoftware(state.Replicas) {
		if known[software] || !others[software.service] {
			continue
		}
		added = append(added, region.NewSoftware{
			Service: software.service, Version: software.version, Revision: state.ListRevision, Begun: earlier[software],
		})
	}
	slices.SortFunc(added, func(a, b region.NewSoftware) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	state.NewSoftware = added
}

// countedSoftware returns at what software everyone takes it that streams may have begun before a change of the list, or that
// may not begin any yet; and the services that had any.
func countedSoftware(before *region.State, change *region.ListCommand) (counted map[serviceSoftware]bool, services map[string]bool) {
	counted, services = activeSoftware(before.Replicas), map[string]bool{}
	for software := range counted {
		services[software.service] = true
	}
	for _, each := range before.NewSoftware {
		counted[serviceSoftware{each.Service, each.Version}] = true
	}
	if change == nil {
		return counted, services
	}
	for _, former := range before.FormerSoftware {
		age := change.At - former.Until
		services[former.Service] = services[former.Service] || age < int64(origin.Window+clockSlack)
		if age < int64(recountTime) {
			counted[serviceSoftware{former.Service, former.Version}] = true
		}
	}
	return counted, services
}

// activeSoftware returns the known versions that replicas run which are not on standby.
func activeSoftware(replicas []region.ListedReplica) map[serviceSoftware]bool {
	return listedSoftware(slices.DeleteFunc(slices.Clone(replicas), func(each region.ListedReplica) bool { return each.Standby }))
}

// applySoftware lets streams begin at the software that lists up to a revision show, and at the services of routes of
// configurations up to a version. It replaces the state's slices, since readers hold them.
func (m *stateMachine) applySoftware(change *region.SoftwareCommand) {
	m.state.NewRoutes = slices.DeleteFunc(slices.Clone(m.state.NewRoutes), func(each region.NewRoute) bool {
		return each.Version <= change.Version
	})
	m.state.NewSoftware = slices.DeleteFunc(slices.Clone(m.state.NewSoftware), func(each region.NewSoftware) bool {
		return each.Revision <= change.Revision
	})
}

// gatesSoftware reports whether new software is kept from beginning streams. It is not while the group has coordinators of an
// earlier build; until all have reported their builds, it goes on as before.
func (c *Coordinator) gatesSoftware(state *region.State) bool {
	all, earlier := c.builds.support(c.sortedMembers(), build.SoftwareGateProtocol)
	if all || earlier {
		return all
	}
	return state.SoftwareGated || len(state.Replicas) == 0
}

// listedSoftware returns the known versions that replicas run.
func listedSoftware(replicas []region.ListedReplica) map[serviceSoftware]bool {
	listed := map[serviceSoftware]bool{}
	for index := range replicas {
		if replica := &replicas[index].Replica; replica.Software != "" {
			listed[serviceSoftware{replica.Service, replica.Software}] = true
		}
	}
	return listed
}

// lostUnknownSoftware reports whether a replica whose version is not known is gone, or has another one.
func lostUnknownSoftware(before, after []region.ListedReplica) bool {
	return slices.ContainsFunc(before, func(each region.ListedReplica) bool {
		if each.Replica.Software != "" {
			return false
		}
		now, found := findListed(after, each.Replica.ID)
		return !found || now.Incarnation() != each.Replica.Incarnation() || now.Software != ""
	})
}

// formerSoftware returns the software that replicas have run within origin.Window and no listed one runs, and whether that
// is all.
func (c *Coordinator) formerSoftware(state region.State) (former []region.FormerSoftware, complete bool) {
	now := c.usage.clock.Now().UnixNano()
	for _, each := range state.FormerSoftware {
		if now-each.Until < int64(origin.Window+clockSlack) {
			former = append(former, each)
		}
	}
	return former, c.isCompleteSince(state.SoftwareSince, now)
}

// isCompleteSince reports whether what this coordinator's copy of the state keeps since a time, 0 for never, is all that counts
// within origin.Window. Both times are in nanoseconds since 1970.
func (c *Coordinator) isCompleteSince(since, now int64) bool {
	age := c.freshness.age(c.now())
	fresh := age >= 0 && age < c.settings.ContactTime
	return fresh && since != 0 && now-since >= int64(origin.Window+clockSlack)
}

// recentSoftware returns at what software the streams of services may have begun within origin.Window, by this coordinator's
// copy of the state.
func (c *Coordinator) recentSoftware(services []string) []origin.ServiceVersions {
	state, _ := c.machine.read()
	former, complete := c.formerSoftware(state)
	recent := make([]origin.ServiceVersions, 0, len(services))
	for _, service := range services {
		each := origin.ServiceVersions{Service: service, Complete: complete}
		known := map[origin.Software]bool{}
		for index := range state.Replicas {
			if replica := &state.Replicas[index].Replica; replica.Service == service {
				known[origin.SoftwareOf(replica.Software, replica.Incarnation().Name())] = true
			}
		}
		for _, gone := range former {
			if gone.Service == service {
				known[origin.Software{Version: gone.Version}] = true
			}
		}
		for _, not := range state.NewSoftware {
			if not.Service == service && !not.Begun {
				// No stream has begun there yet.
				delete(known, origin.Software{Version: not.Version})
			}
		}
		for software := range known {
			each.Software = append(each.Software, software)
		}
		if len(each.Software) > origin.MaximumSoftware {
			each.Software, each.Complete = each.Software[:origin.MaximumSoftware], false
		}
		recent = append(recent, each)
	}
	return recent
}

// compareFormer orders former software by service and version.
func compareFormer(a, b region.FormerSoftware) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
}
