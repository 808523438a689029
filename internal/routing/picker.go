package routing

import (
	"math/rand/v2"
	"time"
)

// picker samples candidates and returns the best of them.
type picker struct {
	// sampleSize is the number of engines sampled; 0 compares all.
	sampleSize int
	random     *rand.Rand
}

// compareAllLimit is the number of engines up to which all are compared: with
// so few, herding by many gateways is no concern, and a sample would too often
// consist of poor ones only.
const compareAllLimit = 4

// sample returns the engines to be compared: a random sample, weighted by each
// engine's traffic share, plus the engine with the longest cached prefix.
func (p picker) sample(now time.Duration, states []*engineState, longestPrefix *engineState, options EjectionOptions) []*engineState {
	if p.sampleSize <= 0 || len(states) <= max(p.sampleSize, compareAllLimit) {
		return p.sampleRecovering(now, states, options)
	}
	sampled := make([]*engineState, 0, p.sampleSize+1)
	for _, index := range p.random.Perm(len(states)) {
		state := states[index]
		if p.random.Float64() > state.health.trafficShare(now, options) {
			continue
		}
		sampled = append(sampled, state)
		if len(sampled) == p.sampleSize {
			break
		}
	}
	if longestPrefix != nil && !contains(sampled, longestPrefix) {
		sampled = append(sampled, longestPrefix)
	}
	if len(sampled) == 0 {
		return states
	}
	return sampled
}

// sampleRecovering omits engines in slow start at random, according to their
// traffic share. It returns all engines if none remains.
func (p picker) sampleRecovering(now time.Duration, states []*engineState, options EjectionOptions) []*engineState {
	var sampled []*engineState
	for _, state := range states {
		share := state.health.trafficShare(now, options)
		if share >= 1 || p.random.Float64() <= share {
			sampled = append(sampled, state)
		}
	}
	if len(sampled) == 0 {
		return states
	}
	return sampled
}

// best returns the candidate with the highest score. Ties are broken at random,
// so that gateways with the same view don't herd onto one engine.
func (p picker) best(candidates []*candidate) *candidate {
	var best *candidate
	ties := 0
	for _, c := range candidates {
		switch {
		case best == nil || c.score > best.score:
			best, ties = c, 1
		case c.score == best.score:
			ties++
			if p.random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

func contains(states []*engineState, wanted *engineState) bool {
	for _, state := range states {
		if state == wanted {
			return true
		}
	}
	return false
}
