package stageplan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/stageplan"
)

func newRegions() *stageplan.Regions {
	return &stageplan.Regions{NewPlanner: func() *stageplan.Planner { return &stageplan.Planner{} }}
}

// newRegionInput returns a region with a fleet whose replica ids are unique to the region.
func newRegionInput(name string, prefilling, decoding int) *stageplan.RegionInput {
	input := &stageplan.RegionInput{Region: name, Input: stageplan.Input{Replicas: fleet(prefilling, decoding), DemandKnown: true}}
	for index := range input.Replicas {
		input.Replicas[index].ID = fmt.Sprint(name, "-", index)
	}
	return input
}

// settleRegions steps until nothing changes for a while; changes complete at once.
func settleRegions(t *testing.T, plan *stageplan.Regions, regions ...*stageplan.RegionInput) {
	t.Helper()
	now := time.Duration(0)
	changes := 0
	for quiet := 0; quiet < 40; quiet++ {
		now += 300 * time.Millisecond
		region, change, _ := plan.Step(now, regions)
		if change == nil {
			continue
		}
		quiet = 0
		changes++
		require.Less(t, changes, 100, "the planner does not settle")
		region.NoteChange(change)
		for index := range region.Replicas {
			region.Replicas[index].Changing = false
		}
	}
}

func TestSingleRegionMatchesPlannerWithoutRegions(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	plan, planner := newRegions(), &stageplan.Planner{}
	alone, one := stageplan.Input{Replicas: fleet(7, 11)}, &stageplan.RegionInput{Input: stageplan.Input{Replicas: fleet(7, 11)}}
	now := time.Duration(0)
	changes := 0
	for step := range 2000 {
		now += 300 * time.Millisecond
		alone.RunningStreams, alone.PrefillLoad = random.Float64()*300, random.Float64()*12
		alone.DemandKnown, alone.Unstable = step > 5, random.IntN(9) == 0
		one.RunningStreams, one.PrefillLoad, one.DemandKnown, one.Unstable = alone.RunningStreams, alone.PrefillLoad, alone.DemandKnown, alone.Unstable
		want := planner.Step(now, alone)
		_, got, _ := plan.Step(now, []*stageplan.RegionInput{one})
		require.Equal(t, want, got)
		if want != nil {
			changes++
			alone.NoteChange(want)
			one.NoteChange(got)
		}
		if step%10 == 0 {
			for index := range alone.Replicas {
				alone.Replicas[index].Changing, one.Replicas[index].Changing = false, false
			}
		}
	}
	assert.Greater(t, changes, 50)
}

func TestRegionsArePlannedFromTheirOwnDemand(t *testing.T) {
	long, short := newRegionInput("long", 10, 10), newRegionInput("short", 10, 10)
	long.PrefillLoad, long.RunningStreams = 12, 20
	short.PrefillLoad, short.RunningStreams = 2, 360
	settleRegions(t, newRegions(), long, short)
	assert.Equal(t, 5, countDecode(long.Replicas), "prompts keep prefill replicas busy")
	assert.Equal(t, 15, countDecode(short.Replicas), "answers are long")
}

func TestConcurrentChangesAreBoundedAcrossRegions(t *testing.T) {
	plan := newRegions()
	var regions []*stageplan.RegionInput
	for index := range 3 {
		each := newRegionInput(fmt.Sprint("region", index), 18, 2)
		each.RunningStreams = 600
		each.Rules = stageplan.Rules{Bounded: true, MaximumAway: 4}
		regions = append(regions, each)
	}
	begun := map[string]int{}
	for step := range 20 {
		region, change, _ := plan.Step(time.Duration(step)*300*time.Millisecond, regions)
		if change != nil {
			region.NoteChange(change)
			begun[region.Region]++
		}
	}
	assert.Equal(t, map[string]int{"region0": 2, "region1": 1, "region2": 1}, begun)
}

func TestOnlyReplicaOfRegionDecodes(t *testing.T) {
	single, large := newRegionInput("single", 1, 0), newRegionInput("large", 4, 4)
	settleRegions(t, newRegions(), single, large)
	assert.Equal(t, 1, countDecode(single.Replicas))

	alone := newRegionInput("", 1, 0)
	settleRegions(t, newRegions(), alone)
	assert.Zero(t, countDecode(alone.Replicas), "without another region it keeps its stage")
}

func TestOneOfTwoReplicasOfRegionDecodes(t *testing.T) {
	pair, large := newRegionInput("pair", 2, 0), newRegionInput("large", 4, 4)
	settleRegions(t, newRegions(), pair, large)
	assert.Equal(t, 1, countDecode(pair.Replicas))
}
