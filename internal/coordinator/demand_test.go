package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
)

func TestGatewaysThatNoCoordinatorHearsOfCountLikeTheOthers(t *testing.T) {
	for _, each := range []struct {
		telling, known int
		want           float64
	}{
		{0, 0, 1},
		{0, 5, 1},
		{9, 9, 1},
		{9, 5, 1},
		{5, 9, 1.8},
		{1, 9, maximumSilent},
	} {
		assert.InDelta(t, each.want, silentShare(each.telling, each.known), 1e-9, "%+v", each)
	}
}

func TestDemandSaysHowManyGatewaysItIsOf(t *testing.T) {
	table := newDemandTable()
	for _, source := range []string{"a", "b"} {
		table.take(time.Second, source, []region.ServiceDemand{{Service: "s", Generating: 3, Gateways: 1}})
	}
	table.take(time.Second, "other coordinator", []region.ServiceDemand{{Service: "s", Generating: 4, Gateways: 2}})
	sum := table.sum(2 * time.Second)
	require.Len(t, sum, 1)
	assert.Equal(t, 4, sum[0].Gateways)
	assert.InDelta(t, 10, sum[0].Generating, 1e-9)
	assert.Empty(t, table.sum(time.Minute))
}
