package coordinator

import (
	"slices"
	"sync"

	"github.com/pierhaven/pierhaven/internal/region"
)

// memberZones holds the zones of the coordinators. Each coordinator reports its zone to the leader, which
// sends all zones to the others. Gateways receive them with their views, and need not ask each coordinator.
// It is safe for concurrent use.
type memberZones struct {
	mutex sync.Mutex
	// zones are the coordinators' zones, by address.
	zones map[string]string
	// legacy are the addresses of the coordinators that report no zone: they run an earlier version.
	legacy map[string]bool
	// list is the last result of withZones. It is reused as long as members and zones are the same.
	list memberList
}

// memberList holds the members of the group with their zones, and the hash of both.
type memberList struct {
	addresses, zones []string
	hash             uint64
}

func newMemberZones() *memberZones {
	return &memberZones{zones: map[string]string{}, legacy: map[string]bool{}}
}

// set records the zone of a coordinator. An empty zone marks a coordinator of an earlier version.
func (m *memberZones) set(address, zone string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if zone == "" {
		m.legacy[address] = true
		return
	}
	delete(m.legacy, address)
	m.zones[address] = zone
}

// hasLegacyMember reports whether any of the members ran an earlier version when it last reported. A member
// whose version is not known does not count.
func (m *memberZones) hasLegacyMember(members []string) bool {
	return len(m.legacyMembers(members)) > 0
}

// legacyMembers returns the members that ran an earlier version when they last reported.
func (m *memberZones) legacyMembers(members []string) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var legacy []string
	for _, address := range members {
		if m.legacy[address] {
			legacy = append(legacy, address)
		}
	}
	return legacy
}

// merge records the zones that the leader sent.
func (m *memberZones) merge(members []region.CoordinatorZone) {
	for _, member := range members {
		m.set(member.Address, member.Zone)
	}
}

// withZones returns the members with their zones; the zone is empty if it is not known.
func (m *memberZones) withZones(members []string) memberList {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	zones := make([]string, len(members))
	for index, address := range members {
		zones[index] = m.zones[address]
	}
	if !slices.Equal(m.list.addresses, members) || !slices.Equal(m.list.zones, zones) {
		m.list = memberList{addresses: members, zones: zones, hash: region.HashAddresses(append(slices.Clone(members), zones...))}
	}
	return m.list
}

// known returns the members whose zones are known.
func (l memberList) known() []region.CoordinatorZone {
	var known []region.CoordinatorZone
	for index, zone := range l.zones {
		if zone != "" {
			known = append(known, region.CoordinatorZone{Address: l.addresses[index], Zone: zone})
		}
	}
	return known
}

// sortedMembers returns the sorted addresses of the group's members.
func (c *Coordinator) sortedMembers() []string {
	return slices.Sorted(slices.Values(c.group.MemberAddresses()))
}
