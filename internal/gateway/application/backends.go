package application

import (
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/wire"
)

// failedFor is how long a back end that could not be reached is passed over.
const failedFor = 2 * time.Second

// backEnds chooses among an application's back ends: the one with the fewest of
// this gateway's own runs, passing over those that have just failed.
type backEnds struct {
	mutex    sync.Mutex
	running  map[string]int
	failedAt map[string]time.Duration
	turn     int
}

func newBackEnds() *backEnds {
	return &backEnds{running: map[string]int{}, failedAt: map[string]time.Duration{}}
}

// take chooses a back end and counts a run on it; give must be called at the
// run's end.
func (b *backEnds) take(now time.Duration, able []wire.BackEndView, tried []string) (wire.BackEndView, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn++
	var best *wire.BackEndView
	bestRank := 0
	for offset := range able {
		candidate := &able[(b.turn+offset)%len(able)]
		if slices.Contains(tried, candidate.ID) {
			continue
		}
		rank := b.rank(now, candidate.ID)
		if best == nil || rank < bestRank {
			best, bestRank = candidate, rank
		}
	}
	if best == nil {
		return wire.BackEndView{}, false
	}
	b.running[best.ID]++
	return *best, true
}

// failurePenalty ranks a back end that failed behind any that did not.
const failurePenalty = 1 << 20

func (b *backEnds) rank(now time.Duration, id string) int {
	rank := b.running[id]
	if failedAt, failed := b.failedAt[id]; failed && now-failedAt < failedFor {
		rank += failurePenalty
	}
	return rank
}

func (b *backEnds) give(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running[id]--
	if b.running[id] <= 0 {
		delete(b.running, id)
	}
}

func (b *backEnds) failed(now time.Duration, id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failedAt[id] = now
}
