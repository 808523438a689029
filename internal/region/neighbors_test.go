package region_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

func TestNeighborsLieEvenlyInTheList(t *testing.T) {
	var addresses []string
	for number := range 100 {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%03d:1", number))
	}
	chosen := map[string]int{}
	for _, own := range addresses {
		neighbors := region.Neighbors(addresses, own)
		assert.Len(t, neighbors, region.MaximumNeighbors)
		assert.NotContains(t, neighbors, own)
		assert.Len(t, slices.Compact(slices.Sorted(slices.Values(neighbors))), region.MaximumNeighbors)
		for _, each := range neighbors {
			chosen[each]++
		}
	}
	for _, address := range addresses {
		assert.Equal(t, region.MaximumNeighbors, chosen[address], "no gateway is the neighbor of many")
	}
	assert.Equal(t, []string{"b", "c"}, region.Neighbors([]string{"a", "b", "c"}, "a"))
	assert.Equal(t, []string{"c", "a"}, region.Neighbors([]string{"a", "b", "c"}, "b"))
	assert.Empty(t, region.Neighbors([]string{"a"}, "a"))
	assert.Empty(t, region.Neighbors(nil, "a"))
	assert.Equal(t, []string{"b"}, region.Neighbors([]string{"b"}, "a"), "it is not listed itself yet")
}
