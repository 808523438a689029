package traffic

import (
	"math/bits"
	"slices"
	"sync/atomic"
)

// Splitter deals requests to the parts of a route by their weights: of as many
// requests as the weights add up to, each part has exactly its weight, evenly
// spread. It may be used concurrently.
//
// A request's part follows from its number alone, so that a splitter may start at
// any position. The numbers of the parts before each part are taken out of the
// sequence in turn: of n requests, the first part has n times its share, rounded
// down, and what is left is dealt likewise to the parts after it.
type Splitter struct {
	parts []Part
	// weights are those of the parts, scaled to add up to 2^62 at most; totals are the sums from
	// each part on.
	weights, totals []uint64
	// next is the number of the next request.
	next atomic.Uint64
}

// maximumTotalBits bounds the sum of a splitter's weights: it is held by an int, from which the start
// is drawn.
const maximumTotalBits = 62

// NewSplitter returns a splitter that starts at a position drawn by intN, which
// returns a number from 0 up to its argument.
func NewSplitter(parts []Part, intN func(int) int) *Splitter {
	splitter := &Splitter{parts: parts, weights: scaledWeights(parts), totals: make([]uint64, len(parts)+1)}
	for index := len(parts) - 1; index >= 0; index-- {
		splitter.totals[index] = splitter.totals[index+1] + splitter.weights[index]
	}
	if total := splitter.totals[0]; total > 0 {
		splitter.next.Store(uint64(intN(int(total))))
	}
	return splitter
}

// scaledWeights returns the weights of parts, all divided by the power of two that makes their sum
// fit. A part that has a weight keeps one.
func scaledWeights(parts []Part) []uint64 {
	var high, low, carry uint64
	for _, part := range parts {
		low, carry = bits.Add64(low, weightOf(part), 0)
		high += carry
	}
	shift := max(bits.Len64(low)-maximumTotalBits, 0)
	if high > 0 {
		shift = 64 + bits.Len64(high) - maximumTotalBits
	}
	if shift > 0 {
		// Weights that are rounded up need room.
		shift++
	}
	weights := make([]uint64, len(parts))
	for index, part := range parts {
		weight := weightOf(part)
		weights[index] = max(weight>>shift, min(weight, 1))
	}
	return weights
}

func weightOf(part Part) uint64 { return uint64(max(part.Weight, 0)) }

// Splits reports whether the splitter deals to just these parts.
func (s *Splitter) Splits(parts []Part) bool { return slices.Equal(s.parts, parts) }

// Next returns the service of the next request.
func (s *Splitter) Next() string {
	if s.totals[0] == 0 {
		return ""
	}
	number := (s.next.Add(1) - 1) % s.totals[0]
	for index := range s.parts {
		before := share(number, s.weights[index], s.totals[index])
		if share(number+1, s.weights[index], s.totals[index]) > before {
			return s.parts[index].Service
		}
		number -= before
	}
	return ""
}

// share returns number * weight / total, rounded down. The number must be at most the total, which
// must be at least the weight.
func share(number, weight, total uint64) uint64 {
	if number == total {
		return weight
	}
	high, low := bits.Mul64(number, weight)
	quotient, _ := bits.Div64(high, low, total)
	return quotient
}
