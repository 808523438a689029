package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// newStagePlannerWithReplicas returns a stagePlanner and decode replicas in the zones north-a, north-b and south-a. The
// test sets the clock.
func newStagePlannerWithReplicas(now *time.Duration, places topology.Map) (*stagePlanner, []region.Replica) {
	clock := func() time.Duration { return *now }
	c := &Coordinator{settings: Settings{Topology: places}, gatewayDemand: newDemandTable(), coordinatorDemand: newDemandTable(), gateways: newGatewayList(), clock: clock}
	planner := &stagePlanner{dutyHolder: dutyHolder{Coordinator: c, duty: dutyStages}}
	planner.reset()
	var replicas []region.Replica
	for _, zone := range []string{"north-a", "north-b", "south-a"} {
		for index := range 4 {
			replicas = append(replicas, region.Replica{ID: fmt.Sprint(zone, index), Service: "s", Zone: zone, Slots: 8, Stage: region.StageDecode})
		}
	}
	return planner, replicas
}

var twoRegions = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}}

// reportDemand records the same demand from each of a number of gateways of a region.
func (p *stagePlanner) reportDemand(regionName string, gateways int, generating, reading float64) {
	for number := range gateways {
		name := fmt.Sprint(regionName, number)
		p.gateways.recordPoll(p.now(), name)
		p.gatewayDemand.put(p.now(), name, []region.ServiceDemand{{Service: "s", Region: regionName, Generating: generating, Reading: reading, Gateways: 1}})
	}
}

func TestStageInputUsesDemandOfItsRegion(t *testing.T) {
	now := time.Second
	planner, replicas := newStagePlannerWithReplicas(&now, twoRegions)
	planner.reportDemand("north", 3, 2, 1)
	planner.reportDemand("south", 1, 7, 0)
	inputs := planner.inputsFor(now, "s", replicas, nil)
	require.Len(t, inputs, 2)
	assert.Equal(t, "north", inputs[0].Region)
	assert.Len(t, inputs[0].Replicas, 8)
	assert.InDelta(t, 6, inputs[0].RunningStreams, 1e-9)
	assert.InDelta(t, 3, inputs[0].PrefillLoad, 1e-9)
	assert.Len(t, inputs[1].Replicas, 4)
	assert.InDelta(t, 7, inputs[1].RunningStreams, 1e-9)
	assert.InDelta(t, 13, planner.demandFor(now, "s").Generating, 1e-9, "the fleet is planned over all regions")
}

func TestSingleRegionIsPlannedAsOne(t *testing.T) {
	now := time.Second
	planner, replicas := newStagePlannerWithReplicas(&now, topology.Map{Regions: map[string]string{"north-a": "one", "north-b": "one", "south-a": "one"}})
	inputs := planner.inputsFor(now, "s", replicas, nil)
	require.Len(t, inputs, 1, "also before any demand is reported")
	assert.Len(t, inputs[0].Replicas, 12)
	planner.reportDemand("", 3, 2, 1)
	assert.InDelta(t, 6, planner.inputsFor(now, "s", replicas, nil)[0].RunningStreams, 1e-9)
}

// When a region was partitioned from the leader and its gateways' reports expired, replicas in that
// region were ordered to change their stage, and so were those of other regions, for demand that was
// not theirs: missing reports were taken for no demand, and the demand of the gateways that still
// reported was extrapolated to the others.
func TestPartitionedRegionKeepsItsStages(t *testing.T) {
	now := time.Second
	planner, replicas := newStagePlannerWithReplicas(&now, twoRegions)
	planner.reportDemand("north", 3, 2, 1)
	planner.reportDemand("south", 3, 5, 1)
	require.Len(t, planner.inputsFor(now, "s", replicas, nil), 2)
	for range 20 {
		now += demandReportLifetime / 2
		planner.reportDemand("north", 3, 2, 1)
	}
	inputs := planner.inputsFor(now, "s", replicas, nil)
	require.Len(t, inputs, 1)
	assert.Equal(t, "north", inputs[0].Region)
	assert.InDelta(t, 6, inputs[0].RunningStreams, 1e-9)

	planner.reportDemand("south", 1, 5, 1)
	inputs = planner.inputsFor(now, "s", replicas, nil)
	require.Len(t, inputs, 2, "it is planned again once its gateways report")
}

func TestDemandIsExtrapolatedToGatewaysThatStoppedReporting(t *testing.T) {
	now := time.Second
	planner, replicas := newStagePlannerWithReplicas(&now, twoRegions)
	planner.reportDemand("north", 4, 2, 1)
	planner.reportDemand("south", 2, 5, 1)
	require.Len(t, planner.inputsFor(now, "s", replicas, nil), 2)
	now += 2 * demandReportLifetime
	planner.reportDemand("north", 2, 2, 1)
	planner.reportDemand("south", 2, 5, 1)
	inputs := planner.inputsFor(now, "s", replicas, nil)
	assert.InDelta(t, 8, inputs[0].RunningStreams, 1e-9)
	assert.InDelta(t, 10, inputs[1].RunningStreams, 1e-9)
	now += 3 * gatewayRetention
	for range 2 {
		planner.reportDemand("north", 2, 2, 1)
		inputs = planner.inputsFor(now, "s", replicas, nil)
		now += gatewayRetention
	}
	assert.InDelta(t, 4, inputs[0].RunningStreams, 1e-9, "they have been removed")
}

func TestNewLeaderPlansOnlyRegionsThatReportDemand(t *testing.T) {
	now := time.Second
	planner, replicas := newStagePlannerWithReplicas(&now, twoRegions)
	planner.reportDemand("south", 2, 5, 1)
	inputs := planner.inputsFor(now, "s", replicas, nil)
	require.Len(t, inputs, 1, "a new leader has no reports from the north")
	assert.Equal(t, "south", inputs[0].Region)
}

func TestReplicaInUnconfiguredZoneIsTolerated(t *testing.T) {
	now := time.Second
	planner, replicas := newStagePlannerWithReplicas(&now, twoRegions)
	replicas = append(replicas, region.Replica{ID: "odd", Service: "s", Zone: "elsewhere", Slots: 8, Stage: region.StagePrefill})
	planner.reportDemand("north", 2, 5, 1)
	planner.reportDemand("south", 2, 5, 1)
	assert.Len(t, planner.inputsFor(now, "s", replicas, nil), 2, "it keeps its stage")
}
