package activeset

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var model = Group{Service: "model"}

// fleetOf is a fleet of model replicas over zones, two fifths of which read prompts.
func fleetOf(count, zones int) []Replica {
	replicas := make([]Replica, count)
	for index := range replicas {
		role := Generator
		if index%5 < 2 {
			role = Reader
		}
		replicas[index] = Replica{
			ID: fmt.Sprintf("i-%05d", index), Group: model, Zone: fmt.Sprintf("z%d", index/5%zones),
			Role: role, Slots: 64, Sound: true,
		}
	}
	return replicas
}

// apply carries a change out, and returns how many replicas are active and sound, by role and zone.
func apply(replicas []Replica, change Change) (roles map[Role]int, zones map[string]int) {
	active := map[string]bool{}
	for _, id := range change.Activate {
		active[id] = true
	}
	resting := map[string]bool{}
	for _, id := range change.Rest {
		resting[id] = true
	}
	roles, zones = map[Role]int{}, map[string]int{}
	for index := range replicas {
		replica := &replicas[index]
		replica.Active = (replica.Active || active[replica.ID]) && !resting[replica.ID]
		if replica.Active && replica.Sound {
			roles[replica.Role]++
			zones[replica.Zone]++
		}
	}
	return roles, zones
}

// TestTheActiveReplicasDoNotGrowWithTheFleet: every process asked, listed and weighed all of 10,000 replicas for a load
// that a hundred bear. The same load has the same number active at three sizes.
func TestTheActiveReplicasDoNotGrowWithTheFleet(t *testing.T) {
	demand := map[Group]Demand{model: {Reading: 20, Generating: 60}}
	for _, size := range []int{1_000, 3_000, 10_000} {
		replicas := fleetOf(size, 5)
		planner := &Planner{Least: DefaultLeast}
		roles, zones := apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: demand}))
		assert.Equal(t, map[Role]int{Reader: 128, Generator: 128}, roles, size)
		for zone, active := range zones {
			assert.InDelta(t, DefaultLeast/5, active, 2, zone)
		}
		again := planner.Step(time.Second, Input{Replicas: replicas, Demand: demand})
		assert.True(t, again.Empty(), size)
	}
}

func TestASmallFleetIsActiveAsAWhole(t *testing.T) {
	replicas := fleetOf(DefaultLeast, 3)
	planner := &Planner{Least: DefaultLeast}
	roles, _ := apply(replicas, planner.Step(0, Input{Replicas: replicas}))
	assert.Equal(t, DefaultLeast, roles[Reader]+roles[Generator])
}

// TestABurstIsMetInOneStep: the demand of ten times as many callers is told at once, and what it needs is activated with
// it, no more.
func TestABurstIsMetInOneStep(t *testing.T) {
	replicas := fleetOf(10_000, 5)
	planner := &Planner{Least: DefaultLeast}
	apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: map[Group]Demand{model: {Reading: 20}}}))
	roles, _ := apply(replicas, planner.Step(time.Second, Input{Replicas: replicas, Demand: map[Group]Demand{model: {Reading: 200}}}))
	assert.Equal(t, map[Role]int{Reader: 800, Generator: 128}, roles)
}

// TestLostReplicasAreReplaced has a zone fall silent, and half of the others' replicas leave.
func TestLostReplicasAreReplaced(t *testing.T) {
	replicas := fleetOf(10_000, 5)
	planner := &Planner{Least: DefaultLeast}
	apply(replicas, planner.Step(0, Input{Replicas: replicas}))
	for index := range replicas {
		if replicas[index].Zone == "z2" || replicas[index].Active && index%2 == 0 {
			replicas[index].Sound = false
		}
	}
	roles, zones := apply(replicas, planner.Step(time.Second, Input{Replicas: replicas}))
	assert.Equal(t, map[Role]int{Reader: 128, Generator: 128}, roles)
	assert.Zero(t, zones["z2"])
}

// TestAZoneWithoutReplicasIsMadeUpForByOthers has all replicas in one of two zones.
func TestAZoneWithoutReplicasIsMadeUpForByOthers(t *testing.T) {
	replicas := fleetOf(2_000, 1)
	planner := &Planner{Least: DefaultLeast}
	roles, _ := apply(replicas, planner.Step(0, Input{Replicas: replicas}))
	assert.Equal(t, map[Role]int{Reader: 128, Generator: 128}, roles)
}

// TestReplicasStandByOnlyLongAfterABurst: what they keep of prompts would be lost between two waves of load.
func TestReplicasStandByOnlyLongAfterABurst(t *testing.T) {
	replicas := fleetOf(10_000, 5)
	planner := &Planner{Least: DefaultLeast}
	apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: map[Group]Demand{model: {Reading: 200}}}))
	quiet := map[Group]Demand{model: {Reading: 1}}
	active := 800
	for second := 1; second <= 300; second++ {
		now := time.Duration(second) * time.Second
		roles, _ := apply(replicas, planner.Step(now, Input{Replicas: replicas, Demand: quiet}))
		if second <= 20 {
			require.Equal(t, 800, roles[Reader], second)
		}
		require.LessOrEqual(t, roles[Reader], active)
		require.GreaterOrEqual(t, roles[Reader], 128)
		active = roles[Reader]
	}
	assert.LessOrEqual(t, active, 2*128)
}

// TestAFleetThatComesAndGoesKeepsItsActiveReplicas has replicas come, leave and answer again at random: as many are active
// as are wanted whenever there are enough, and none more is activated than is short.
func TestAFleetThatComesAndGoesKeepsItsActiveReplicas(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		replicas := fleetOf(2_000, 4)
		planner := &Planner{Least: DefaultLeast}
		for step := range 100 {
			for range 90 {
				replicas[random.IntN(len(replicas))].Sound = random.Float64() < 0.9
			}
			before, _ := apply(replicas, Change{})
			change := planner.Step(time.Duration(step)*time.Second, Input{Replicas: replicas})
			require.Len(t, change.Activate, max(0, 128-before[Reader])+max(0, 128-before[Generator]), "seed %d step %d", seed, step)
			roles, _ := apply(replicas, change)
			require.GreaterOrEqual(t, roles[Reader], 128, "seed %d step %d", seed, step)
			require.GreaterOrEqual(t, roles[Generator], 128, "seed %d step %d", seed, step)
		}
	}
}

// BenchmarkStep is a leader's look at the whole fleet. It grows with the replicas, once for all processes.
func BenchmarkStep(b *testing.B) {
	for _, size := range []int{1_000, 3_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			replicas := fleetOf(size, 5)
			planner := &Planner{Least: DefaultLeast}
			apply(replicas, planner.Step(0, Input{Replicas: replicas}))
			b.ReportAllocs()
			for b.Loop() {
				planner.Step(0, Input{Replicas: replicas})
			}
		})
	}
}
