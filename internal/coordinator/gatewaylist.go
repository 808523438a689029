package coordinator

import (
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// gatewayList holds the addresses of the region's gateways: those that poll this
// coordinator and, at the leader, those that poll the others. It is safe for
// concurrent use.
type gatewayList struct {
	mutex   sync.Mutex
	pollers *recentGateways
	// reported are the gateways that coordinators have reported to this one as the leader.
	reported *recentGateways
	// merged is the union of both. It is rebuilt when one of them has changed;
	// mergedFrom are the change counts that it was built from.
	merged     addressList
	mergedFrom [2]uint64
	// fromLeader is the complete list that the leader last sent.
	fromLeader addressList
}

// addressList is a sorted list of addresses with its hash.
type addressList struct {
	addresses []string
	hash      uint64
}

func newAddressList(sorted []string) addressList {
	return addressList{addresses: sorted, hash: region.HashAddresses(sorted)}
}

func newGatewayList() *gatewayList {
	return &gatewayList{pollers: newRecentGateways(), reported: newRecentGateways(), merged: newAddressList(nil)}
}

// recordPoll records a gateway's poll.
func (g *gatewayList) recordPoll(now time.Duration, address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pollers.record(now, address)
}

// localGateways returns the addresses of the gateways that poll this coordinator.
func (g *gatewayList) localGateways(now time.Duration) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pollers.expire(now)
	return g.pollers.list().addresses
}

// recordReported records the gateways that a coordinator reports.
func (g *gatewayList) recordReported(now time.Duration, addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, address := range addresses {
		g.reported.record(now, address)
	}
}

// all returns the sorted addresses of the gateways that poll this coordinator or were reported to it,
// with their hash. At the leader these are all gateways of the region.
func (g *gatewayList) all(now time.Duration) addressList {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pollers.expire(now)
	g.reported.expire(now)
	if from := [2]uint64{g.pollers.changes, g.reported.changes}; from != g.mergedFrom {
		g.mergedFrom = from
		g.merged = newAddressList(union(g.pollers.list().addresses, g.reported.list().addresses))
	}
	return g.merged
}

// allKnown returns the addresses of all gateways that are known from any source. A new leader has not
// received reports of all gateways yet, but has the list that the previous leader sent.
func (g *gatewayList) allKnown(now time.Duration) []string {
	all := g.all(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return union(all.addresses, g.fromLeader.addresses)
}

// setFromLeader stores the complete list that the leader sent.
func (g *gatewayList) setFromLeader(addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.fromLeader = newAddressList(addresses)
}

// known returns the complete list that the leader last sent. Before the first such
// list, it returns the gateways that poll this coordinator.
func (g *gatewayList) known() addressList {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.fromLeader.addresses) > 0 {
		return g.fromLeader
	}
	return g.pollers.list()
}

// recentGateways holds gateways with the time at which each was last seen. The sorted list of them is
// cached and rebuilt only when a gateway is added or expires, since each poll of each gateway reads it.
// It is not safe for concurrent use; gatewayList's mutex guards it.
type recentGateways struct {
	lastSeen map[string]time.Duration
	// changes counts additions and expirations; sortedAt is the count at which sorted was built.
	changes, sortedAt uint64
	sorted            addressList
	lastExpiry        time.Duration
}

// expiryInterval is the minimum time between two searches for expired gateways.
const expiryInterval = gatewayRetention / 20

func newRecentGateways() *recentGateways {
	return &recentGateways{lastSeen: map[string]time.Duration{}, sorted: newAddressList(nil)}
}

func (r *recentGateways) record(now time.Duration, address string) {
	if _, known := r.lastSeen[address]; !known {
		r.changes++
	}
	r.lastSeen[address] = now
}

// expire deletes the gateways that were last seen more than gatewayRetention ago. It searches for them at
// most once per expiryInterval.
func (r *recentGateways) expire(now time.Duration) {
	if now-r.lastExpiry < expiryInterval {
		return
	}
	r.lastExpiry = now
	for address, at := range r.lastSeen {
		if now-at > gatewayRetention {
			delete(r.lastSeen, address)
			r.changes++
		}
	}
}

func (r *recentGateways) list() addressList {
	if r.changes != r.sortedAt {
		r.sortedAt = r.changes
		addresses := make([]string, 0, len(r.lastSeen))
		for address := range r.lastSeen {
			addresses = append(addresses, address)
		}
		slices.Sort(addresses)
		r.sorted = newAddressList(addresses)
	}
	return r.sorted
}

// union merges two lists into a sorted one.
func union(a, b []string) []string {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return slices.Compact(merged)
}
