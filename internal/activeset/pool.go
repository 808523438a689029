package activeset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Group names replicas that can do each other's work, but for their roles: those of a service in a
// region.
type Group struct{ Service, Region string }

// Role is what a replica does.
type Role int

// Roles. Readers read prompts, Generators generate answers; Plain replicas are not model engines.
const (
	Plain Role = iota
	Reader
	Generator
)

// Replica is a replica as the planner sees it.
type Replica struct {
	ID    string
	Group Group
	Zone  string
	Role  Role
	Slots int
	// Preemptible replicas may be taken away, all of a zone at once.
	Preemptible bool
	// Active replicas take work.
	Active bool
	// Sound is false for replicas that leave, change their stage, don't answer or take only a limited
	// number of requests.
	Sound bool
}

// pool is the replicas of a group with one role.
type pool struct {
	group Group
	role  Role
}

// members are the replicas of a pool.
type members struct {
	// working are active and sound; spare could be activated. Both are by zone, in the order in which
	// they are activated.
	working, spare map[string][]*Replica
	// active counts working, slots are the most that one of the pool has.
	active, slots int
}

func newMembers() *members {
	return &members{working: map[string][]*Replica{}, spare: map[string][]*Replica{}}
}

// add takes a replica in.
func (m *members) add(replica *Replica) {
	m.slots = max(m.slots, replica.Slots)
	switch {
	case !replica.Sound:
	case replica.Active:
		m.working[replica.Zone] = append(m.working[replica.Zone], replica)
		m.active++
	default:
		m.spare[replica.Zone] = append(m.spare[replica.Zone], replica)
	}
}

// sort puts the replicas of each zone in the order in which they are activated: by a hash of their ids, so
// that every leader chooses the same ones, and those last that may be taken away.
func (m *members) sort() {
	for _, byZone := range []map[string][]*Replica{m.working, m.spare} {
		for _, replicas := range byZone {
			slices.SortFunc(replicas, compare)
		}
	}
}

func compare(a, b *Replica) int {
	if a.Preemptible != b.Preemptible {
		if a.Preemptible {
			return 1
		}
		return -1
	}
	return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
}

// take activates the next replica: of the zone with the fewest working ones that has a spare one, so that a
// zone that is lost takes no more of them than its share.
func (m *members) take() (id string, found bool) {
	zone := ""
	for candidate, spare := range m.spare {
		if len(spare) == 0 {
			continue
		}
		if !found || m.before(candidate, zone) {
			zone, found = candidate, true
		}
	}
	if !found {
		return "", false
	}
	next := m.spare[zone][0]
	m.spare[zone] = m.spare[zone][1:]
	m.working[zone] = append(m.working[zone], next)
	m.active++
	return next.ID, true
}

// before reports whether a zone's turn comes before another's.
func (m *members) before(zone, other string) bool {
	if here, there := len(m.working[zone]), len(m.working[other]); here != there {
		return here < there
	}
	return zone < other
}

// give sends a replica to stand by: the last of the zone with the most working ones.
func (m *members) give() string {
	zone := ""
	for candidate := range m.working {
		if zone == "" || m.before(zone, candidate) {
			zone = candidate
		}
	}
	working := m.working[zone]
	last := working[len(working)-1]
	m.working[zone] = working[:len(working)-1]
	m.active--
	return last.ID
}
