package coordinator

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

func TestRegionLoadsIncludeTheAgeOfReports(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	c := &Coordinator{settings: Settings{Zone: "north-a", Topology: twoRegions, Logger: logr.Discard()}, machine: newStateMachine(clock), clock: clock}
	c.placement = newPlacementService(c.settings, c.now)
	near := region.Replica{ID: "near", Service: "s", Zone: "north-b", Slots: 8, Stage: region.StageDecode}
	prefill := region.Replica{ID: "reader", Service: "s", Zone: "north-a", Slots: 8, Stage: region.StagePrefill}
	far := region.Replica{ID: "far", Service: "s", Zone: "south-a", Slots: 4, Stage: region.StageDecode}
	apply(t, c.machine, 1, listed(near, prefill, far))
	apply(t, c.machine, 2, region.Command{Change: &region.ChangeCommand{Replica: "reader", Stage: region.StageDecode}})
	c.placement.directory.Replace([]region.Replica{near, prefill, far})
	c.placement.directory.PickDecode("s", relay.Wanted{}, "north-b")
	assert.Equal(t, 1, c.regionsWithoutReport())
	c.placement.directory.TakeRegionWork("south", "other", []region.OutstandingWork{{Replica: "far", Requests: 3}}, true, 400*time.Millisecond)
	assert.Zero(t, c.regionsWithoutReport())

	loads := c.RegionLoads()
	require.Len(t, loads, 2)
	assert.Equal(t, RegionLoad{Region: "north", Service: "s", Replicas: 2, Generating: 1, Changing: 1, Slots: 16, Requests: 1, PlacedHere: 1, Own: true}, loads[0])
	assert.Equal(t, RegionLoad{Region: "south", Service: "s", Replicas: 1, Generating: 1, Slots: 4, Requests: 3, ReportAgeMillis: 400}, loads[1])
	now += time.Minute
	assert.EqualValues(t, -1, c.RegionLoads()[1].ReportAgeMillis)
}
