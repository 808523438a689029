package traffic

import (
	"slices"
	"sync"
)

// Splitter deals requests to the parts of a route exactly by their weights, by
// smooth weighted round robin: after as many requests as the weights add up to,
// each part has had exactly its weight. It may be used concurrently.
type Splitter struct {
	mutex   sync.Mutex
	parts   []Part
	current []int
	total   int
}

// NewSplitter returns a splitter that starts at a position drawn by intN, which
// returns a number from 0 up to its argument.
func NewSplitter(parts []Part, intN func(int) int) *Splitter {
	splitter := &Splitter{parts: parts, current: make([]int, len(parts))}
	for _, part := range parts {
		splitter.total += part.Weight
	}
	if splitter.total > 0 {
		for range intN(splitter.total) {
			splitter.Next()
		}
	}
	return splitter
}

// Splits reports whether the splitter deals to just these parts.
func (s *Splitter) Splits(parts []Part) bool { return slices.Equal(s.parts, parts) }

// Next returns the service of the next request.
func (s *Splitter) Next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best := -1
	for index := range s.parts {
		s.current[index] += s.parts[index].Weight
		if s.parts[index].Weight > 0 && (best < 0 || s.current[index] > s.current[best]) {
			best = index
		}
	}
	if best < 0 {
		return ""
	}
	s.current[best] -= s.total
	return s.parts[best].Service
}
