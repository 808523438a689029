package coordinator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// gatewayList knows the region's gateways by their addresses: those that poll
// this coordinator and, at the leader, those that poll the others.
type gatewayList struct {
	mutex sync.Mutex
	polls *seenGateways
	// reports are the gateways that other coordinators told of.
	reports *seenGateways
	// joined are both, made anew when one of them has changed.
	joined     addressList
	joinedFrom [2]uint64
	// told is the whole list as the leader told it.
	told addressList
}

// addressList is a sorted list of addresses with its hash.
type addressList struct {
	addresses []string
	hash      uint64
}

func newAddressList(sorted []string) addressList {
	return addressList{addresses: sorted, hash: hashOf(sorted)}
}

func newGatewayList() *gatewayList {
	return &gatewayList{polls: newSeenGateways(), reports: newSeenGateways(), joined: newAddressList(nil)}
}

// polled notes a gateway's poll.
func (g *gatewayList) polled(now time.Duration, address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.polls.note(now, address)
}

// own lists the gateways that poll this coordinator.
func (g *gatewayList) own(now time.Duration) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.polls.forget(now)
	return g.polls.list().addresses
}

// learn notes the gateways of another coordinator.
func (g *gatewayList) learn(now time.Duration, addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, address := range addresses {
		g.reports.note(now, address)
	}
}

// all lists the gateways that the leader knows, sorted, with their hash.
func (g *gatewayList) all(now time.Duration) addressList {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.polls.forget(now)
	g.reports.forget(now)
	if from := [2]uint64{g.polls.changes, g.reports.changes}; from != g.joinedFrom {
		g.joinedFrom = from
		g.joined = newAddressList(union(g.polls.list().addresses, g.reports.list().addresses))
	}
	return g.joined
}

// everyone lists the gateways that are known here in any way: a new leader has been told of
// gateways that it has not heard of itself yet.
func (g *gatewayList) everyone(now time.Duration) []string {
	all := g.all(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return union(all.addresses, g.told.addresses)
}

// take notes the whole list as the leader told it.
func (g *gatewayList) take(told []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.told = newAddressList(told)
}

// known returns the whole list as last told. Before the leader has told any, those
// that poll this coordinator are known.
func (g *gatewayList) known() addressList {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.told.addresses) > 0 {
		return g.told
	}
	return g.polls.list()
}

// seenGateways are gateways with when they were last seen. The sorted list of them is made anew only
// when one comes or goes: it is read with each poll of each gateway.
type seenGateways struct {
	at map[string]time.Duration
	// changes counts those that have come or gone, and listedAt is the count that listed is of.
	changes, listedAt uint64
	listed            addressList
	forgottenAt       time.Duration
}

// forgetInterval is the time between two looks for gateways that have gone.
const forgetInterval = gatewayMemory / 20

func newSeenGateways() *seenGateways {
	return &seenGateways{at: map[string]time.Duration{}, listed: newAddressList(nil)}
}

func (s *seenGateways) note(now time.Duration, address string) {
	if _, known := s.at[address]; !known {
		s.changes++
	}
	s.at[address] = now
}

// forget drops those that were not seen for a time.
func (s *seenGateways) forget(now time.Duration) {
	if now-s.forgottenAt < forgetInterval {
		return
	}
	s.forgottenAt = now
	for address, at := range s.at {
		if now-at > gatewayMemory {
			delete(s.at, address)
			s.changes++
		}
	}
}

func (s *seenGateways) list() addressList {
	if s.changes != s.listedAt {
		s.listedAt = s.changes
		addresses := make([]string, 0, len(s.at))
		for address := range s.at {
			addresses = append(addresses, address)
		}
		slices.Sort(addresses)
		s.listed = newAddressList(addresses)
	}
	return s.listed
}

// union merges two lists into a sorted one.
func union(a, b []string) []string {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return slices.Compact(merged)
}

func hashOf(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(addresses, ","))
}
