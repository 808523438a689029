package coordinator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/activeset"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// listCommandWithStandby returns a list change as it is committed by a leader that plans which replicas are active.
func listCommandWithStandby(replicas ...region.Replica) *region.ListCommand {
	return &region.ListCommand{Changed: replicas, Standby: true}
}

// Replicas are added, removed, changed, activated and deactivated at random. A gateway that polls after each change and one
// that polls rarely end up with the same active replicas.
func TestGatewaysReceiveOnlyActiveReplicas(t *testing.T) {
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 2))
		m := newTestStateMachine()
		current := map[string]region.Replica{}
		active := map[string]region.Replica{}
		often, rarely := newFollower(), newFollower()
		for index := uint64(1); index < 3000; index++ {
			command := region.Command{Activity: &region.ActivityCommand{}}
			changeRandomly(random, current)
			for id := range active {
				if replica, listed := current[id]; listed {
					active[id] = replica
				} else {
					delete(active, id)
				}
			}
			state, _ := m.read()
			if command.List = diffLists(state.Replicas, slices.Collect(maps.Values(current))); command.List != nil {
				command.List.Standby = true
			}
			for id, replica := range current {
				switch _, found := active[id]; {
				case found && random.IntN(40) == 0:
					command.Activity.Rest = append(command.Activity.Rest, id)
					delete(active, id)
				case !found && random.IntN(20) == 0:
					command.Activity.Activate = append(command.Activity.Activate, id)
					active[id] = replica
				}
			}
			apply(t, m, index, command)
			often.follow(m)
			if index%400 == 0 {
				rarely.follow(m)
				require.Equal(t, active, rarely.list, "seed %d at %d", seed, index)
			}
			require.Equal(t, active, often.list, "seed %d at %d", seed, index)
		}
	}
}

// Each of 1,000 gateways was woken for every change of 10,000 replicas, including replicas on standby, to which it sends
// nothing.
func TestStandbyChangesAreNotSentToGateways(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, region.Command{
		List:     listCommandWithStandby(region.Replica{ID: "a"}, region.Replica{ID: "b"}),
		Activity: &region.ActivityCommand{Activate: []string{"a"}},
	})
	gateway := newFollower()
	gateway.follow(m)
	require.Equal(t, []string{"a"}, slices.Collect(maps.Keys(gateway.list)))
	apply(t, m, 2, region.Command{List: listCommandWithStandby(region.Replica{ID: "b", Draining: true}, region.Replica{ID: "c"})})
	apply(t, m, 3, region.Command{List: &region.ListCommand{Removed: []string{"b"}, Standby: true}})
	state, _ := m.read()
	assert.EqualValues(t, 1, state.ListRevision)
	apply(t, m, 4, region.Command{List: listCommandWithStandby(region.Replica{ID: "a", Draining: true})})
	gateway.follow(m)
	assert.True(t, gateway.list["a"].Draining)
}

// During an upgrade or a rollback the leader may run a version that activates no replicas. Replicas on standby would then
// never take work, and in the end no active ones would be left.
func TestLeaderWithoutStandbySupportActivatesAll(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, region.Command{List: listCommandWithStandby(region.Replica{ID: "a"}, region.Replica{ID: "b"})})
	apply(t, m, 2, listed(region.Replica{ID: "c"}))
	gateway := newFollower()
	gateway.follow(m)
	assert.Len(t, gateway.list, 3)
}

// bigList returns a list of model replicas.
func bigList(count int) []region.Replica {
	replicas := make([]region.Replica, count)
	for index := range replicas {
		stage := region.StageDecode
		if index%5 < 2 {
			stage = region.StagePrefill
		}
		replicas[index] = region.Replica{
			ID: fmt.Sprintf("i-%05d", index), Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", index/250, index%250),
			Zone: fmt.Sprint("z", index/5%5), Slots: 64, Stage: stage,
		}
	}
	return replicas
}

// A gateway's first view held all replicas, 1.5 MB for 10,000, and each process asked all of them what they have cached.
func TestGatewayViewDoesNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{1_000, 3_000, 10_000} {
		m := newTestStateMachine()
		state, _ := m.read()
		applyListChange(&state, 0, listCommandWithStandby(bigList(size)...))
		planner := &activeset.Planner{MinimumActive: activeset.DefaultMinimumActive}
		change := planner.Step(0, activityInput(state, nil, nil, func(string) string { return "" }))
		apply(t, m, 1, region.Command{
			List:     listCommandWithStandby(bigList(size)...),
			Activity: &region.ActivityCommand{Activate: change.Activate},
		})
		state, _ = m.read()
		view := &region.View{}
		addListChanges(state, 0, view)
		assert.Len(t, view.Replicas, activeset.DefaultMinimumActive, size)
		assert.Less(t, view.Msgsize(), 100_000, size)
	}
}

// Where nearly all replicas are active, a gateway's first view took longer than its poll: 1.5 MB for 10,000.
func TestNoViewOfALongListIsLarge(t *testing.T) {
	const bound = 2_000
	m := newTestStateMachine()
	apply(t, m, 1, listed(bigList(10_000)...))
	state, _ := m.read()
	var gateway region.ListCopy
	views := 0
	for complete := false; !complete; complete = !gateway.IsPartial() {
		view, request := &region.View{ListRevision: state.ListRevision}, &region.ViewRequest{}
		gateway.Request(request, bound)
		addList(state, request, view)
		require.True(t, gateway.Take(view))
		assert.Less(t, view.Msgsize(), 400_000)
		views++
	}
	assert.Equal(t, 5, views)
	assert.Len(t, gateway.Replicas(), 10_000)
}

// Each replica was inserted on its own into a sorted list, which moved all entries behind it: 10,000 took 100 times as long
// as 1,000.
func TestInitialListIsMergedInOnePass(t *testing.T) {
	for _, size := range []int{1_000, 3_000, 10_000} {
		state := region.State{}
		replicas := bigList(size)
		slices.Reverse(replicas)
		allocated := testing.AllocsPerRun(3, func() {
			state = region.State{}
			applyListChange(&state, 1, listCommandWithStandby(replicas...))
		})
		assert.Less(t, allocated, 20.0, "%d: allocations grow with the replicas", size)
		assert.True(t, slices.IsSortedFunc(state.Replicas, func(a, b region.ListedReplica) int {
			return compareReplica(a, b.Replica.ID)
		}))
	}
}

// The first pages of the list showed 153 of 1,000 replicas, of which 27 were ordered to change their stage before the
// others were listed.
func TestNoStageChangesWhileTheListIsIncomplete(t *testing.T) {
	planner := newTestStagePlanner(nil, newTestStateMachine())
	assert.True(t, planner.listIsSettling(0, "model", 153))
	assert.True(t, planner.listIsSettling(1300*time.Millisecond, "model", 407))
	assert.True(t, planner.listIsSettling(3200*time.Millisecond, "model", 407))
	assert.False(t, planner.listIsSettling(3300*time.Millisecond, "model", 407))
	for second := range 10 {
		now := time.Duration(second) * time.Second
		assert.Equal(t, second < 6, planner.listIsSettling(now, "ordered", second), "the wait is bounded while replicas keep being added")
	}
	planner.demandSince[stageGroup{service: "model"}] = 0
	assert.False(t, planner.listIsSettling(4*time.Second, "model", 1000), "reported demand ends the wait")
}

// Replicas on standby are counted but not planned.
func TestOnlyActiveReplicasChangeStage(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, region.Command{List: listCommandWithStandby(bigList(1000)...), Activity: &region.ActivityCommand{Activate: []string{"i-00000", "i-00002"}}})
	state, _ := m.read()
	services, standby := modelReplicas(state, func(string) string { return "" })
	assert.Len(t, services["model"], 2)
	assert.Equal(t, stageplan.Standby{Prefill: 399, Decode: 599}, standby[stageGroup{service: "model"}])
	assert.Equal(t, 998, state.StandbyCount)
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	restored := newTestStateMachine()
	require.NoError(t, restored.Restore(snapshot))
	got, _ := restored.read()
	assert.Equal(t, 998, got.StandbyCount)
}

// Replicas are activated for the reported demand. One that two gateways report as unreachable is not activated.
func TestServiceDemandDeterminesActiveReplicas(t *testing.T) {
	state := region.State{}
	applyListChange(&state, 0, listCommandWithStandby(bigList(2000)...))
	unreachable := state.Replicas[0].Replica.Incarnation().Name()
	demands := map[activeset.Group]region.ServiceDemand{
		{Service: "model"}: {Reading: 100, Generating: 4, Expected: 5, Unreachable: []string{unreachable, unreachable}},
	}
	input := activityInput(state, demands, nil, func(string) string { return "" })
	assert.Equal(t, activeset.Demand{BusyPrefillReplicas: 100, DecodingAnswers: 5}, input.Demand[activeset.Group{Service: "model"}])
	assert.False(t, input.Replicas[0].Eligible)
	change := (&activeset.Planner{MinimumActive: activeset.DefaultMinimumActive}).Step(0, input)
	assert.Len(t, change.Activate, 400+128)
	assert.NotContains(t, change.Activate, state.Replicas[0].Replica.ID)
}

// Replicas that declare a rate limit stay active, and as many on standby are activated for the load above the limits.
// Once the limits are gone, the small surplus stays active.
func TestStandbyReplicasRelieveLimitedReplicas(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, region.Command{List: listCommandWithStandby(bigList(1000)...)})
	planner := &activeset.Planner{MinimumActive: activeset.DefaultMinimumActive}
	index := uint64(1)
	step := func(limited map[string]bool) activeset.Change {
		state, _ := m.read()
		change := planner.Step(time.Duration(index)*time.Second, activityInput(state, nil, limited, func(string) string { return "" }))
		index++
		apply(t, m, index, region.Command{Activity: &region.ActivityCommand{Activate: change.Activate, Rest: change.Deactivate}})
		return change
	}
	first := step(nil)
	limited := map[string]bool{first.Activate[0]: true, first.Activate[1]: true, first.Activate[2]: true}
	relieved := step(limited)
	assert.Len(t, relieved.Activate, 3)
	assert.Empty(t, relieved.Deactivate, "limited replicas stay active")
	unlimited := step(nil)
	assert.True(t, unlimited.Empty(), "a small surplus is kept")
}
