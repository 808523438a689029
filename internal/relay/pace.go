package relay

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// paceMeter learns how fast prompts are read, in tokens a second, from prompts
// that were read with next to nothing before them. It is guarded by the
// Directory's mutex.
type paceMeter struct {
	samples []float64
	pace    float64
}

const (
	// initialPace is assumed until a prompt has been read.
	initialPace = 30_000
	// paceSamples are kept; the pace is their median.
	paceSamples = 12
	// minimumPaceTokens is the least size of a prompt that tells the pace, and
	// maximumPaceBacklog the most tokens that may stand before it: what waits
	// seems to be read slowly.
	minimumPaceTokens  = 1500
	maximumPaceBacklog = 100
)

func (m *paceMeter) observe(tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	m.samples = append(m.samples, float64(tokens)/took.Seconds())
	if len(m.samples) > paceSamples {
		m.samples = m.samples[1:]
	}
	sorted := slices.Sorted(slices.Values(m.samples))
	m.pace = sorted[len(sorted)/2]
}

// tokensPerSecond returns the pace learned.
func (m *paceMeter) tokensPerSecond() float64 {
	if m == nil || m.pace == 0 {
		return initialPace
	}
	return m.pace
}

// notePace learns from a prompt that a reader has read. What was fetched tells
// nothing. It is called with the mutex held.
func (l *Lease) notePace() {
	if l.Replica.Stage != region.StagePrefill || l.fetchFrom != nil {
		return
	}
	if l.tokens < minimumPaceTokens || l.backlog > maximumPaceBacklog {
		return
	}
	l.directory.paceOf(l.Replica.Service).observe(l.tokens, l.directory.clock()-l.begun)
}
