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

// fleetOf returns a fleet of model replicas over zones, two fifths of which are prefill replicas.
func fleetOf(count, zones int) []Replica {
	replicas := make([]Replica, count)
	for index := range replicas {
		role := Decode
		if index%5 < 2 {
			role = Prefill
		}
		replicas[index] = Replica{
			ID: fmt.Sprintf("i-%05d", index), Group: model, Zone: fmt.Sprintf("z%d", index/5%zones),
			Role: role, Slots: 64, Eligible: true,
		}
	}
	return replicas
}

// apply applies a change, and returns how many replicas are active and eligible, by role and zone.
func apply(replicas []Replica, change Change) (roles map[Role]int, zones map[string]int) {
	activated := map[string]bool{}
	for _, id := range change.Activate {
		activated[id] = true
	}
	deactivated := map[string]bool{}
	for _, id := range change.Deactivate {
		deactivated[id] = true
	}
	roles, zones = map[Role]int{}, map[string]int{}
	for index := range replicas {
		replica := &replicas[index]
		replica.Active = (replica.Active || activated[replica.ID]) && !deactivated[replica.ID]
		if replica.Active && replica.Eligible {
			roles[replica.Role]++
			zones[replica.Zone]++
		}
	}
	return roles, zones
}

// TestActiveReplicasDoNotGrowWithTheFleet: every process queried, listed and scored all of 10,000 replicas
// for a load that a hundred could handle. The same load must have the same number of active replicas at
// three fleet sizes.
func TestActiveReplicasDoNotGrowWithTheFleet(t *testing.T) {
	demand := map[Group]Demand{model: {BusyPrefillReplicas: 20, DecodingAnswers: 60}}
	for _, size := range []int{1_000, 3_000, 10_000} {
		replicas := fleetOf(size, 5)
		planner := &Planner{MinimumActive: DefaultMinimumActive}
		roles, zones := apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: demand}))
		assert.Equal(t, map[Role]int{Prefill: 128, Decode: 128}, roles, size)
		for zone, active := range zones {
			assert.InDelta(t, DefaultMinimumActive/5, active, 2, zone)
		}
		again := planner.Step(time.Second, Input{Replicas: replicas, Demand: demand})
		assert.True(t, again.Empty(), size)
	}
}

func TestSmallFleetIsFullyActive(t *testing.T) {
	replicas := fleetOf(DefaultMinimumActive, 3)
	planner := &Planner{MinimumActive: DefaultMinimumActive}
	roles, _ := apply(replicas, planner.Step(0, Input{Replicas: replicas}))
	assert.Equal(t, DefaultMinimumActive, roles[Prefill]+roles[Decode])
}

// TestBurstIsActivatedInOneStep: when the demand of ten times as many callers is reported at once, the
// replicas that it needs are activated in the same step, and no more.
func TestBurstIsActivatedInOneStep(t *testing.T) {
	replicas := fleetOf(10_000, 5)
	planner := &Planner{MinimumActive: DefaultMinimumActive}
	apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: map[Group]Demand{model: {BusyPrefillReplicas: 20}}}))
	roles, _ := apply(replicas, planner.Step(time.Second, Input{Replicas: replicas, Demand: map[Group]Demand{model: {BusyPrefillReplicas: 200}}}))
	assert.Equal(t, map[Role]int{Prefill: 800, Decode: 128}, roles)
}

// TestLostReplicasAreReplaced: all replicas of one zone stop responding, and half of the active ones
// elsewhere leave.
func TestLostReplicasAreReplaced(t *testing.T) {
	replicas := fleetOf(10_000, 5)
	planner := &Planner{MinimumActive: DefaultMinimumActive}
	apply(replicas, planner.Step(0, Input{Replicas: replicas}))
	for index := range replicas {
		if replicas[index].Zone == "z2" || replicas[index].Active && index%2 == 0 {
			replicas[index].Eligible = false
		}
	}
	roles, zones := apply(replicas, planner.Step(time.Second, Input{Replicas: replicas}))
	assert.Equal(t, map[Role]int{Prefill: 128, Decode: 128}, roles)
	assert.Zero(t, zones["z2"])
}

// TestFleetInOneZoneIsActivated: a zone without replicas must not reduce the number of active ones.
func TestFleetInOneZoneIsActivated(t *testing.T) {
	replicas := fleetOf(2_000, 1)
	planner := &Planner{MinimumActive: DefaultMinimumActive}
	roles, _ := apply(replicas, planner.Step(0, Input{Replicas: replicas}))
	assert.Equal(t, map[Role]int{Prefill: 128, Decode: 128}, roles)
}

// TestReplicasAreDeactivatedOnlyAfterDemandDecays: replicas sent to standby between two waves of load would
// lose their cached prefixes.
func TestReplicasAreDeactivatedOnlyAfterDemandDecays(t *testing.T) {
	replicas := fleetOf(10_000, 5)
	planner := &Planner{MinimumActive: DefaultMinimumActive}
	apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: map[Group]Demand{model: {BusyPrefillReplicas: 200}}}))
	quiet := map[Group]Demand{model: {BusyPrefillReplicas: 1}}
	active := 800
	for second := 1; second <= 300; second++ {
		now := time.Duration(second) * time.Second
		roles, _ := apply(replicas, planner.Step(now, Input{Replicas: replicas, Demand: quiet}))
		if second <= 20 {
			require.Equal(t, 800, roles[Prefill], second)
		}
		require.LessOrEqual(t, roles[Prefill], active)
		require.GreaterOrEqual(t, roles[Prefill], 128)
		active = roles[Prefill]
	}
	assert.LessOrEqual(t, active, 2*128)
}

// TestChangingFleetKeepsItsActiveReplicas: replicas become ineligible and eligible again at random, as when they
// leave, stop responding and respond again. As many as wanted are active whenever there are enough, and no more
// are activated than are missing.
func TestChangingFleetKeepsItsActiveReplicas(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		replicas := fleetOf(2_000, 4)
		planner := &Planner{MinimumActive: DefaultMinimumActive}
		for step := range 100 {
			for range 90 {
				replicas[random.IntN(len(replicas))].Eligible = random.Float64() < 0.9
			}
			before, _ := apply(replicas, Change{})
			change := planner.Step(time.Duration(step)*time.Second, Input{Replicas: replicas})
			require.Len(t, change.Activate, max(0, 128-before[Prefill])+max(0, 128-before[Decode]), "seed %d step %d", seed, step)
			roles, _ := apply(replicas, change)
			require.GreaterOrEqual(t, roles[Prefill], 128, "seed %d step %d", seed, step)
			require.GreaterOrEqual(t, roles[Decode], 128, "seed %d step %d", seed, step)
		}
	}
}

// BenchmarkStep measures the leader's step over the whole fleet. Its cost grows with the number of
// replicas, but only the leader bears it, not every process.
func BenchmarkStep(b *testing.B) {
	for _, size := range []int{1_000, 3_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			replicas := fleetOf(size, 5)
			planner := &Planner{MinimumActive: DefaultMinimumActive}
			apply(replicas, planner.Step(0, Input{Replicas: replicas}))
			b.ReportAllocs()
			for b.Loop() {
				planner.Step(0, Input{Replicas: replicas})
			}
		})
	}
}

// Guards against streams that can't go on since the other replicas of their version are on standby: two of each version
// that has an active one stay active, whatever the load is.
func TestEachVersionKeepsActiveReplicas(t *testing.T) {
	replicas := fleetOf(2_000, 4)
	for index := range replicas {
		replicas[index].Software = "v1"
		if index >= 1_960 {
			replicas[index].Software = fmt.Sprint("v2.", index%4)
		}
	}
	activeOf := func() map[string]int {
		counts := map[string]int{}
		for index := range replicas {
			if replicas[index].Active && replicas[index].Role == Decode {
				counts[replicas[index].Software]++
			}
		}
		return counts
	}
	planner := &Planner{MinimumActive: DefaultMinimumActive}
	busy := map[Group]Demand{model: {BusyPrefillReplicas: 400, DecodingAnswers: 20_000}}
	apply(replicas, planner.Step(0, Input{Replicas: replicas, Demand: busy}))
	before := activeOf()
	require.Greater(t, len(before), 2)
	for second := 1; second <= 600; second++ {
		apply(replicas, planner.Step(time.Duration(second)*time.Second, Input{Replicas: replicas, Demand: map[Group]Demand{model: {BusyPrefillReplicas: 1}}}))
	}
	after := activeOf()
	for software := range before {
		assert.GreaterOrEqual(t, after[software], 2, software)
	}
	assert.Less(t, after["v1"], before["v1"])
}
