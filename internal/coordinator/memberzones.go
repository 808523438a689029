package coordinator

import (
	"slices"
	"sync"

	"github.com/pierhaven/pierhaven/internal/region"
)

// memberZones knows the zones of the coordinators: each tells the leader its own, and the leader tells
// all. Gateways learn them with their views, so that each need not ask every coordinator.
type memberZones struct {
	mutex sync.Mutex
	// zones are by address.
	zones map[string]string
	// earlier are the coordinators, by address, that tell no zone: those of an earlier version.
	earlier map[string]bool
	list    memberList
}

// memberList is the members of the group with their zones, and the hash of both.
type memberList struct {
	addresses, zones []string
	hash             uint64
}

func newMemberZones() *memberZones {
	return &memberZones{zones: map[string]string{}, earlier: map[string]bool{}}
}

// learn notes the zone of a coordinator.
func (m *memberZones) learn(address, zone string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if zone == "" {
		m.earlier[address] = true
		return
	}
	delete(m.earlier, address)
	m.zones[address] = zone
}

// anyEarlier reports whether one of the members has last been heard as one of an earlier version.
func (m *memberZones) anyEarlier(members []string) bool { return len(m.earlierOf(members)) > 0 }

// earlierOf are the members that have last been heard as of an earlier version.
func (m *memberZones) earlierOf(members []string) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var earlier []string
	for _, address := range members {
		if m.earlier[address] {
			earlier = append(earlier, address)
		}
	}
	return earlier
}

// take takes over what the leader tells.
func (m *memberZones) take(members []region.CoordinatorZone) {
	for _, member := range members {
		m.learn(member.Address, member.Zone)
	}
}

// of returns the zones of the members, empty where one is not known.
func (m *memberZones) of(members []string) memberList {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	zones := make([]string, len(members))
	for index, address := range members {
		zones[index] = m.zones[address]
	}
	if !slices.Equal(m.list.addresses, members) || !slices.Equal(m.list.zones, zones) {
		m.list = memberList{addresses: members, zones: zones, hash: hashOf(append(slices.Clone(members), zones...))}
	}
	return m.list
}

// told lists the members whose zones are known.
func (l memberList) told() []region.CoordinatorZone {
	var told []region.CoordinatorZone
	for index, zone := range l.zones {
		if zone != "" {
			told = append(told, region.CoordinatorZone{Address: l.addresses[index], Zone: zone})
		}
	}
	return told
}

// sortedMembers are the addresses of the group's members, sorted.
func (c *Coordinator) sortedMembers() []string {
	return slices.Sorted(slices.Values(c.group.MemberAddresses()))
}
