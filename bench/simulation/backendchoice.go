package simulation

import (
	"slices"
	"time"
)

// failedFor is how long a back end that could not be reached is passed over.
const failedFor = 2 * time.Second

// failurePenalty ranks a back end that failed behind any that did not.
const failurePenalty = 1 << 20

// backEndChoice chooses among an application's back ends as the gateway does:
// the one with the fewest of its own runs, those that have just failed last.
type backEndChoice struct {
	running  map[string]int
	failedAt map[string]time.Duration
	turn     int
}

func newBackEndChoice() *backEndChoice {
	return &backEndChoice{running: map[string]int{}, failedAt: map[string]time.Duration{}}
}

func (b *backEndChoice) take(now time.Duration, able, tried []string) (string, bool) {
	b.turn++
	best, bestRank := "", 0
	for offset := range able {
		candidate := able[(b.turn+offset)%len(able)]
		if slices.Contains(tried, candidate) {
			continue
		}
		if rank := b.rank(now, candidate); best == "" || rank < bestRank {
			best, bestRank = candidate, rank
		}
	}
	if best != "" {
		b.running[best]++
	}
	return best, best != ""
}

func (b *backEndChoice) rank(now time.Duration, id string) int {
	rank := b.running[id]
	if failedAt, failed := b.failedAt[id]; failed && now-failedAt < failedFor {
		rank += failurePenalty
	}
	return rank
}

func (b *backEndChoice) give(id string) { b.running[id]-- }

func (b *backEndChoice) failed(now time.Duration, id string) { b.failedAt[id] = now }

// ableBackEnds lists the back ends that take new work, as far as is known.
func (g *gateway) ableBackEnds() []string {
	if g.world.plant == PlantDispatchToLeaving {
		return sortedKeys(g.session.MergedView().BackEnds)
	}
	var able []string
	for _, view := range g.fleet.Snapshot().BackEndsOf(applicationName) {
		able = append(able, view.ID)
	}
	return able
}
