package relay

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Outstanding lists this gateway's work at replicas, for its peers.
func (d *Directory) Outstanding() []region.OutstandingWork {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var work []region.OutstandingWork
	for id, replica := range d.replicas {
		if replica.inFlight > 0 || replica.readingTokens > 0 {
			work = append(work, region.OutstandingWork{
				Replica:  id,
				Requests: replica.inFlight,
				Tokens:   replica.readingTokens,
			})
		}
	}
	return work
}

// TakeOutstanding notes a peer's whole work at replicas.
func (d *Directory) TakeOutstanding(gateway string, work []region.OutstandingWork) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, replica := range d.replicas {
		delete(replica.peers, gateway)
	}
	for _, each := range work {
		replica, known := d.replicas[each.Replica]
		if !known {
			continue
		}
		if replica.peers == nil {
			replica.peers = map[string]peerWork{}
		}
		replica.peers[gateway] = peerWork{requests: each.Requests, tokens: each.Tokens, at: now}
	}
}

// paceMeter learns how fast a service's replicas read prompts, in tokens a
// second, from prompts that were read with nothing before them. It is guarded by
// the Directory's mutex.
type paceMeter struct {
	samples []float64
	pace    float64
}

const (
	// initialPace is assumed until a prompt has been read.
	initialPace = 30_000
	// paceSamples are kept; the pace is their upper quartile, since a prompt
	// that had to wait seems to be read slowly.
	paceSamples = 24
	// minimumPaceTokens is the least size of a prompt that tells the pace.
	minimumPaceTokens = 1500
)

func (m *paceMeter) observe(tokens int, took time.Duration) {
	if tokens < minimumPaceTokens || took <= 0 {
		return
	}
	m.samples = append(m.samples, float64(tokens)/took.Seconds())
	if len(m.samples) > paceSamples {
		m.samples = m.samples[1:]
	}
	sorted := slices.Sorted(slices.Values(m.samples))
	m.pace = sorted[len(sorted)*3/4]
}

// tokensPerSecond returns the pace learned.
func (m *paceMeter) tokensPerSecond() float64 {
	if m == nil || m.pace == 0 {
		return initialPace
	}
	return m.pace
}
