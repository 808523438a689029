package listener

import "sync/atomic"

// counts are those of connections that were closed, and requests that were refused, before any handler.
type counts struct {
	endings [endings]atomic.Uint64
	refused atomic.Uint64
}

func (c *counts) end(reason ending) { c.endings[reason].Add(1) }

// countsSnapshot are counts at a time.
type countsSnapshot struct {
	endings [endings]uint64
	turned  uint64
	refused uint64
}

func (l *Listener) counted() countsSnapshot {
	counted := countsSnapshot{turned: l.TurnedAway(), refused: l.counts.refused.Load()}
	for reason := range l.counts.endings {
		counted.endings[reason] = l.counts.endings[reason].Load()
	}
	return counted
}

// Endings returns how many connections were closed, by cause.
func (l *Listener) Endings() map[string]uint64 {
	counted := l.counted()
	byCause := map[string]uint64{"turned_away": counted.turned, "refused": counted.refused}
	for reason := endIdle; reason < endings; reason++ {
		byCause[endingNames[reason]] = counted.endings[reason]
	}
	return byCause
}

// Phases returns how many connections are open, by what they are at.
func (l *Listener) Phases() map[string]int {
	byPhase := map[string]int{}
	for _, name := range phaseNames {
		byPhase[name] = 0
	}
	for _, c := range l.connections() {
		byPhase[phaseNames[c.current()]]++
	}
	return byPhase
}
