package region

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaximumNeighbors bounds the peers to which a gateway forwards calls, and so its connections to them.
const MaximumNeighbors = 8

// Neighbors returns at most MaximumNeighbors of a sorted list of addresses, without own. They lie evenly in the list: gateways
// with neighboring addresses tend to share a zone, and to lose their links together.
func Neighbors(addresses []string, own string) []string {
	self, found := slices.BinarySearch(addresses, own)
	others := len(addresses)
	if found {
		others--
	}
	count := min(others, MaximumNeighbors)
	neighbors := make([]string, 0, count)
	for number := range count {
		step := number * others / count
		if found {
			step++
		}
		neighbors = append(neighbors, addresses[(self+step)%len(addresses)])
	}
	return neighbors
}

// HashAddresses returns a hash of a list of addresses.
func HashAddresses(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(addresses, ","))
}
