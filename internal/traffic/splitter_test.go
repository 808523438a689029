package traffic_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/traffic"
)

func weighted(weights ...int) []traffic.Part {
	var parts []traffic.Part
	for index, weight := range weights {
		parts = append(parts, traffic.Part{Service: string(rune('a' + index)), Weight: weight})
	}
	return parts
}

// TestLargeWeightsDoNotDelayATable guards against a table that takes time, or memory, by the size of
// a weight: the gateways went on by the older configuration.
func TestLargeWeightsDoNotDelayATable(t *testing.T) {
	const most = math.MaxInt64
	for name, test := range map[string]struct {
		weights []int
		shares  []float64
	}{
		"sum of a billion":      {[]int{900_000_000, 100_000_000}, []float64{0.9, 0.1}},
		"sum near 2^63":         {[]int{9e18 / 10 * 9, 9e18 / 10}, []float64{0.9, 0.1}},
		"sum above 2^63":        {[]int{4e18, 4e18, 4e18}, []float64{1. / 3, 1. / 3, 1. / 3}},
		"sum of 2^64":           {[]int{1 << 62, 1 << 62, 1 << 62, 1 << 62}, []float64{0.25, 0.25, 0.25, 0.25}},
		"sum far above 2^64":    {[]int{most, most, most, most, most}, []float64{0.2, 0.2, 0.2, 0.2, 0.2}},
		"large beside small":    {[]int{most, 1, 0, most}, []float64{0.5, 0, 0, 0.5}},
		"one part":              {[]int{most}, []float64{1}},
		"hundreds of the large": {largest(400), nil},
	} {
		t.Run(name, func(t *testing.T) {
			parts := weighted(test.weights...)
			made := make(chan *traffic.Table, 1)
			go func() { made <- traffic.NewTable(configuration(route("r", "h", "/p/", parts...)), nil) }()
			select {
			case table := <-made:
				assertShares(t, table.Find("h", "/p/").Splitter, test.shares)
			case <-time.After(20 * time.Second):
				t.Fatal("the table is not made after 20 s")
			}
		})
	}
}

func largest(parts int) []int {
	weights := make([]int, parts)
	for index := range weights {
		weights[index] = math.MaxInt64
	}
	return weights
}

func assertShares(t *testing.T, splitter *traffic.Splitter, shares []float64) {
	t.Helper()
	const requests = 10_000
	counts := map[string]int{}
	for range requests {
		counts[splitter.Next()]++
	}
	for index, share := range shares {
		assert.InDelta(t, share, float64(counts[string(rune('a'+index))])/requests, 0.001, "part %d", index)
	}
}

// TestASplitterDealsRandomWeightsExactlyFromAnyPosition has random parts, and starts anywhere.
func TestASplitterDealsRandomWeightsExactlyFromAnyPosition(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		weights := make([]int, 1+random.IntN(6))
		total := 0
		for index := range weights {
			weights[index] = random.IntN(30)
			total += weights[index]
		}
		splitter := traffic.NewSplitter(weighted(weights...), random.IntN)
		counts := map[string]int{}
		for range total {
			counts[splitter.Next()]++
		}
		for index, weight := range weights {
			assert.Equal(t, weight, counts[string(rune('a'+index))], "seed %d, weights %v", seed, weights)
		}
	}
}
