package coordinator

import (
	"sync"
	"time"
)

// gatewayCount knows how many gateways the region has: those that poll this
// coordinator and, at the leader, those that poll the others.
type gatewayCount struct {
	mutex sync.Mutex
	polls map[string]time.Duration
	// reports are the gateways that other coordinators told of, by gateway.
	reports map[string]time.Duration
}

func newGatewayCount() *gatewayCount {
	return &gatewayCount{polls: map[string]time.Duration{}, reports: map[string]time.Duration{}}
}

// polled notes a gateway's poll.
func (g *gatewayCount) polled(now time.Duration, gateway string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.polls[gateway] = now
}

// own lists the gateways that poll this coordinator.
func (g *gatewayCount) own(now time.Duration) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	forget(g.polls, now)
	names := make([]string, 0, len(g.polls))
	for name := range g.polls {
		names = append(names, name)
	}
	return names
}

// learn notes the gateways of another coordinator.
func (g *gatewayCount) learn(now time.Duration, gateways []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, name := range gateways {
		g.reports[name] = now
	}
}

// total counts all gateways known.
func (g *gatewayCount) total(now time.Duration) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	forget(g.polls, now)
	forget(g.reports, now)
	count := len(g.polls)
	for name := range g.reports {
		if _, counted := g.polls[name]; !counted {
			count++
		}
	}
	return count
}

func forget(seen map[string]time.Duration, now time.Duration) {
	for name, at := range seen {
		if now-at > gatewayMemory {
			delete(seen, name)
		}
	}
}
