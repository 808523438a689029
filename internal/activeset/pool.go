package activeset

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Group identifies the replicas of a service in a region. Apart from their roles they are interchangeable.
type Group struct{ Service, Region string }

// Role is the kind of work that a replica does.
type Role int

// Roles. Prefill and Decode replicas serve one stage each; NonModel replicas are not model engines.
const (
	NonModel Role = iota
	Prefill
	Decode
)

// Replica is the planner's view of a replica.
type Replica struct {
	ID    string
	Group Group
	Zone  string
	Role  Role
	Slots int
	// Preemptible replicas may be preempted by their provider, all of a zone at once.
	Preemptible bool
	// Active replicas take work.
	Active bool
	// Eligible is false for replicas that are leaving, are changing their stage, don't respond or accept only
	// a limited number of requests.
	Eligible bool
	// Software is the version of its software.
	Software string
}

// poolKey identifies the replicas of a group with one role.
type poolKey struct {
	group Group
	role  Role
}

// poolMembers are the replicas of a pool.
type poolMembers struct {
	// activeByZone are the eligible replicas that are active, standbyByZone those that could be activated.
	// Once sorted, both are in activation order.
	activeByZone, standbyByZone map[string][]*Replica
	// activeCount is the number of replicas in activeByZone, maximumSlots the largest number of slots of a
	// replica of the pool.
	activeCount, maximumSlots int
	// activeOf counts the active replicas by software, and standbyOf holds those on standby.
	activeOf  map[string]int
	standbyOf map[string][]*Replica
}

func newPoolMembers() *poolMembers {
	return &poolMembers{
		activeByZone:  map[string][]*Replica{},
		standbyByZone: map[string][]*Replica{},
		activeOf:      map[string]int{},
		standbyOf:     map[string][]*Replica{},
	}
}

// add adds a replica. Of an ineligible one only the slots count.
func (m *poolMembers) add(replica *Replica) {
	m.maximumSlots = max(m.maximumSlots, replica.Slots)
	switch {
	case !replica.Eligible:
	case replica.Active:
		m.activeByZone[replica.Zone] = append(m.activeByZone[replica.Zone], replica)
		m.activeCount++
		m.activeOf[replica.Software]++
	default:
		m.standbyByZone[replica.Zone] = append(m.standbyByZone[replica.Zone], replica)
		m.standbyOf[replica.Software] = append(m.standbyOf[replica.Software], replica)
	}
}

// minimumOfSoftware is the number of active replicas of each version of the software, while there are several: streams go
// on only at replicas of the version that has begun them.
const minimumOfSoftware = 2

// activateScarce returns the replicas on standby to activate so that minimumOfSoftware of each version are active, of
// those that have any. The ids are of the first in activation order that are not among those that were activated already.
func (m *poolMembers) activateScarce(activated []string) (ids []string) {
	for _, software := range slices.Sorted(maps.Keys(m.activeOf)) {
		if len(m.activeOf) == 1 {
			return nil
		}
		standby := slices.SortedFunc(slices.Values(m.standbyOf[software]), compareActivationOrder)
		for _, replica := range standby {
			if m.activeOf[software] >= minimumOfSoftware {
				break
			}
			if !slices.Contains(activated, replica.ID) {
				m.activeOf[software]++
				ids = append(ids, replica.ID)
			}
		}
	}
	return ids
}

// sort sorts the replicas of each zone in activation order: preemptible ones last, and otherwise by a hash
// of their ids, so that every leader chooses the same ones.
func (m *poolMembers) sort() {
	for _, byZone := range []map[string][]*Replica{m.activeByZone, m.standbyByZone} {
		for _, replicas := range byZone {
			slices.SortFunc(replicas, compareActivationOrder)
		}
	}
}

func compareActivationOrder(a, b *Replica) int {
	if a.Preemptible != b.Preemptible {
		if a.Preemptible {
			return 1
		}
		return -1
	}
	return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
}

// activateNext activates the next replica on standby in the zone with the fewest active replicas, among
// zones that have any on standby, so that the loss of a zone takes no more than its share of the active
// ones.
func (m *poolMembers) activateNext() (id string, found bool) {
	zone := ""
	for candidate, standby := range m.standbyByZone {
		if len(standby) == 0 {
			continue
		}
		if !found || m.precedes(candidate, zone) {
			zone, found = candidate, true
		}
	}
	if !found {
		return "", false
	}
	next := m.standbyByZone[zone][0]
	m.standbyByZone[zone] = m.standbyByZone[zone][1:]
	m.activeByZone[zone] = append(m.activeByZone[zone], next)
	m.activeCount++
	m.activeOf[next.Software]++
	return next.ID, true
}

// precedes reports whether a zone comes before another in activation: it has fewer active replicas, or as
// many and the smaller name.
func (m *poolMembers) precedes(zone, other string) bool {
	if count, otherCount := len(m.activeByZone[zone]), len(m.activeByZone[other]); count != otherCount {
		return count < otherCount
	}
	return zone < other
}

// deactivateLast sends a replica to standby: the last one, in activation order, of the zone with the most
// active replicas. It is spared if hardly any other active one has its software.
func (m *poolMembers) deactivateLast() (id string, spared bool) {
	zone := ""
	for candidate := range m.activeByZone {
		if zone == "" || m.precedes(zone, candidate) {
			zone = candidate
		}
	}
	active := m.activeByZone[zone]
	last := active[len(active)-1]
	m.activeByZone[zone] = active[:len(active)-1]
	m.activeCount--
	if len(m.activeOf) > 1 && m.activeOf[last.Software] <= minimumOfSoftware {
		return last.ID, true
	}
	m.activeOf[last.Software]--
	return last.ID, false
}
