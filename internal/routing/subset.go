package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// subset selects the engines that a gateway uses by rendezvous hashing (Thaler
// and Ravishankar, IEEE/ACM ToN 1998): each gateway keeps the same few engines
// as others are added and removed, and engines are spread evenly over gateways.
// It is applied to each role separately, so every role keeps size engines if it
// has them.
func subset(gatewayID string, states []*engineState, size int) []*engineState {
	if size <= 0 || len(states) <= size {
		return states
	}
	ranked := append([]*engineState(nil), states...)
	weights := make(map[string]uint64, len(states))
	for _, state := range states {
		weights[state.engine.ID] = xxhash.Sum64String(gatewayID + "\x00" + state.engine.ID)
	}
	sort.Slice(ranked, func(i, j int) bool {
		return weights[ranked[i].engine.ID] > weights[ranked[j].engine.ID]
	})
	return ranked[:size]
}
