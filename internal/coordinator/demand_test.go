package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
)

func TestDemandIsExtrapolatedToGatewaysWithoutReport(t *testing.T) {
	for _, each := range []struct {
		reporting, known int
		want             float64
	}{
		{0, 0, 1},
		{0, 5, 1},
		{9, 9, 1},
		{9, 5, 1},
		{5, 9, 1.8},
		{1, 9, maximumExtrapolation},
	} {
		assert.InDelta(t, each.want, extrapolationFactor(each.reporting, each.known), 1e-9, "%+v", each)
	}
}

func TestDemandSumCountsGateways(t *testing.T) {
	table := newDemandTable()
	for _, source := range []string{"a", "b"} {
		table.put(time.Second, source, []region.ServiceDemand{{Service: "s", Generating: 3, Gateways: 1}})
	}
	table.put(time.Second, "other coordinator", []region.ServiceDemand{{Service: "s", Generating: 4, Gateways: 2}})
	sum := table.sum(2 * time.Second)
	require.Len(t, sum, 1)
	assert.Equal(t, 4, sum[0].Gateways)
	assert.InDelta(t, 10, sum[0].Generating, 1e-9)
	assert.Empty(t, table.sum(time.Minute))
}

func TestFleetLoadIsComputedFromGatewayReports(t *testing.T) {
	demand := region.ServiceDemand{Gateways: 2, Generating: 32, Reading: 2, Kept: 4, Prompts: 20, Slack: 18, Squares: 0.2, Delayed: 1}
	load := loadOf(addDemand([]region.ServiceDemand{demand}, demand)[0], 64)
	assert.True(t, load.Reported)
	assert.InDelta(t, 5, load.Busy, 1e-9, "four replicas are busy with prefill, and one with decoding")
	assert.InDelta(t, 8, load.CacheSavings, 1e-9)
	assert.InDelta(t, 40, load.Prompts, 1e-9)
	assert.InDelta(t, 2, load.Delayed, 1e-9)
	assert.Equal(t, 900*time.Millisecond, load.Slack)
	assert.Equal(t, 50*time.Millisecond, load.ResidualPrefill, "the mean remaining time of a prefill of 100 ms")
	assert.Zero(t, loadOf(region.ServiceDemand{}, 64))
}
