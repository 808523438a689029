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
	polls map[string]time.Duration
	// reports are the gateways that other coordinators told of.
	reports map[string]time.Duration
	// told is the whole list as the leader told it.
	told []string
}

func newGatewayList() *gatewayList {
	return &gatewayList{polls: map[string]time.Duration{}, reports: map[string]time.Duration{}}
}

// polled notes a gateway's poll.
func (g *gatewayList) polled(now time.Duration, address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.polls[address] = now
}

// own lists the gateways that poll this coordinator.
func (g *gatewayList) own(now time.Duration) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	forget(g.polls, now)
	return keysOf(g.polls)
}

// learn notes the gateways of another coordinator.
func (g *gatewayList) learn(now time.Duration, addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, address := range addresses {
		g.reports[address] = now
	}
}

// all lists the gateways that the leader knows, sorted.
func (g *gatewayList) all(now time.Duration) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	forget(g.polls, now)
	forget(g.reports, now)
	all := append(keysOf(g.polls), keysOf(g.reports)...)
	slices.Sort(all)
	return slices.Compact(all)
}

// everyone lists the gateways that are known here in any way: a new leader has been told of
// gateways that it has not heard of itself yet.
func (g *gatewayList) everyone(now time.Duration) []string {
	all := g.all(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	everyone := append(all, g.told...)
	slices.Sort(everyone)
	return slices.Compact(everyone)
}

// take notes the whole list as the leader told it.
func (g *gatewayList) take(told []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.told = told
}

// known returns the whole list as last told, with its hash. Before the leader has
// told any, those that poll this coordinator are known.
func (g *gatewayList) known() ([]string, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.told) > 0 {
		return g.told, hashOf(g.told)
	}
	polling := keysOf(g.polls)
	slices.Sort(polling)
	return polling, hashOf(polling)
}

func hashOf(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(addresses, ","))
}

func keysOf(seen map[string]time.Duration) []string {
	keys := make([]string, 0, len(seen))
	for key := range seen {
		keys = append(keys, key)
	}
	return keys
}

func forget(seen map[string]time.Duration, now time.Duration) {
	for name, at := range seen {
		if now-at > gatewayMemory {
			delete(seen, name)
		}
	}
}
