package stageplan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// fleet returns prefill replicas followed by decode replicas.
func fleet(prefilling, decoding int) []stageplan.Replica {
	var replicas []stageplan.Replica
	for index := range prefilling + decoding {
		replicas = append(replicas, stageplan.Replica{
			ID: fmt.Sprintf("r%d", index), Slots: 32, Decodes: index >= prefilling,
		})
	}
	return replicas
}

func countDecode(replicas []stageplan.Replica) (decoding int) {
	for _, replica := range replicas {
		if replica.Decodes {
			decoding++
		}
	}
	return decoding
}

// settle steps until nothing changes for a while; changes complete at once.
func settle(t *testing.T, planner *stageplan.Planner, from time.Duration, input stageplan.Input) (changes int, now time.Duration) {
	t.Helper()
	now = from
	for quiet := 0; quiet < 40; quiet++ {
		now += 300 * time.Millisecond
		change := planner.Step(now, input)
		if change == nil {
			continue
		}
		quiet = 0
		changes++
		require.Less(t, changes, 100, "the planner does not settle")
		for index := range input.Replicas {
			if input.Replicas[index].ID == change.ReplicaID {
				input.Replicas[index].Decodes = change.Decodes
			}
		}
	}
	return changes, now
}

func TestInitialDecodeShareAppliesUntilDemandIsKnown(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(7, 11)}
	changes, _ := settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 6, countDecode(input.Replicas))
	assert.Equal(t, 5, changes)
}

func TestDecodeDemandTakesPrecedence(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(12, 6), RunningStreams: 160, PrefillLoad: 9, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 7, countDecode(input.Replicas), "160 streams in batches three quarters full")
}

func TestPrefillReplicasAreAddedOnlyUnderLoad(t *testing.T) {
	idle := stageplan.Input{Replicas: fleet(4, 14), RunningStreams: 20, PrefillLoad: 1, DemandKnown: true}
	changes, _ := settle(t, &stageplan.Planner{}, 0, idle)
	assert.Zero(t, changes)

	busy := stageplan.Input{Replicas: fleet(4, 14), RunningStreams: 20, PrefillLoad: 6, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, busy)
	assert.Less(t, countDecode(busy.Replicas), 14)
	assert.GreaterOrEqual(t, countDecode(busy.Replicas), 4, "a minimum share decodes")
}

func TestOscillatingDemandCausesFewChanges(t *testing.T) {
	planner := &stageplan.Planner{}
	replicas := fleet(9, 9)
	changes := 0
	for step := range 400 {
		input := stageplan.Input{Replicas: replicas, RunningStreams: 60, PrefillLoad: 2, DemandKnown: true}
		if step/10%2 == 1 {
			input.RunningStreams, input.PrefillLoad = 20, 6
		}
		if change := planner.Step(time.Duration(step)*300*time.Millisecond, input); change != nil {
			changes++
			for index := range replicas {
				if replicas[index].ID == change.ReplicaID {
					replicas[index].Decodes = change.Decodes
				}
			}
		}
	}
	assert.LessOrEqual(t, changes, 8)
}

func TestConcurrentChangesAreBounded(t *testing.T) {
	replicas := fleet(6, 30)
	planner := &stageplan.Planner{}
	for step := range 30 {
		change := planner.Step(time.Duration(step)*300*time.Millisecond, stageplan.Input{Replicas: replicas})
		if change == nil {
			continue
		}
		for index := range replicas {
			if replicas[index].ID == change.ReplicaID {
				replicas[index].Changing = true
				replicas[index].Decodes = change.Decodes
			}
		}
	}
	changing := 0
	for _, replica := range replicas {
		if replica.Changing {
			changing++
		}
	}
	assert.Equal(t, 12, changing, "a third of the replicas, though 18 should change")
}

func TestForecastDemandIsMet(t *testing.T) {
	rising := stageplan.Input{Replicas: fleet(12, 6), RunningStreams: 60, ExpectedStreams: 190, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, rising)
	assert.Equal(t, 8, countDecode(rising.Replicas), "before the streams have started")

	falling := stageplan.Input{Replicas: fleet(4, 14), RunningStreams: 190, ExpectedStreams: 40, PrefillLoad: 6, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, falling)
	assert.Equal(t, 10, countDecode(falling.Replicas), "running streams keep their batch slots")
}

// A forecast below the number of running streams is ignored: full decode replicas are slow, so that
// their streams end later than those from which the forecast is made.
func TestForecastBelowRunningStreamsIsIgnored(t *testing.T) {
	full := stageplan.Input{Replicas: fleet(15, 5), RunningStreams: 150, ExpectedStreams: 60, PrefillLoad: 3, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, full)
	assert.Greater(t, countDecode(full.Replicas), 5)
}

func TestOverloadedDecodeBypassesReversalDelay(t *testing.T) {
	for name, runningStreams := range map[string]float64{"calm": 60, "overflowing": 400} {
		planner := &stageplan.Planner{}
		input := stageplan.Input{Replicas: fleet(4, 14), RunningStreams: 40, PrefillLoad: 8, DemandKnown: true}
		now := time.Duration(0)
		for range 9 {
			now += 100 * time.Millisecond
			if change := planner.Step(now, input); change != nil {
				apply(input.Replicas, change)
			}
		}
		require.Less(t, countDecode(input.Replicas), 14)
		input.RunningStreams = runningStreams
		input.ExpectedStreams = 400
		change := planner.Step(now+100*time.Millisecond, input)
		assert.Equal(t, name == "overflowing", change != nil && change.Decodes, name)
	}
}

func TestReplaceCandidateChangesReplica(t *testing.T) {
	planner := &stageplan.Planner{}
	rules := stageplan.Rules{MinimumDwell: time.Minute}
	input := stageplan.Input{Replicas: fleet(4, 14), PrefillLoad: 9, RunningStreams: 20, DemandKnown: true, Rules: rules}
	change := planner.Step(time.Second, input)
	require.NotNil(t, change)
	require.Len(t, change.Candidates, 14)
	assert.Equal(t, change.Candidates[0], change.ReplicaID)
	planner.ReplaceCandidate(time.Second, change, change.Candidates[5])
	assert.Equal(t, change.Candidates[5], change.ReplicaID)
	next := planner.Step(2*time.Second, input)
	require.NotNil(t, next)
	assert.NotContains(t, next.Candidates, change.ReplicaID, "it is within its minimum dwell")
	assert.Contains(t, next.Candidates, change.Candidates[0])
}

func TestShortageIsSplitBetweenStages(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(14, 4), RunningStreams: 300, PrefillLoad: 20, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 7, countDecode(input.Replicas), "each stage gets the same share of the 38 needed replicas, 16 of them for decode")

	streams := stageplan.Input{Replicas: fleet(14, 4), RunningStreams: 600, PrefillLoad: 2, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, streams)
	assert.Equal(t, 16, countDecode(streams.Replicas))
}

// apply completes a change at once.
func apply(replicas []stageplan.Replica, change *stageplan.Change) {
	for index := range replicas {
		if replicas[index].ID == change.ReplicaID {
			replicas[index].Decodes = change.Decodes
		}
	}
}

func TestSingleReplicaKeepsStage(t *testing.T) {
	changes, _ := settle(t, &stageplan.Planner{}, 0, stageplan.Input{Replicas: fleet(0, 1), PrefillLoad: 5, DemandKnown: true})
	assert.Zero(t, changes)
}

func TestLostDecodeReplicaIsNotReplacedWhilePrefillIsShort(t *testing.T) {
	replicas := fleet(12, 6)
	for index := 12; index < 15; index++ {
		replicas[index].Unsettled = true
	}
	input := stageplan.Input{Replicas: replicas, RunningStreams: 40, PrefillLoad: 20, DemandKnown: true, Unstable: true}
	changes, _ := settle(t, &stageplan.Planner{}, 0, input)
	assert.Zero(t, changes, "3 decode replicas suffice for 40 streams, and there are too few prefill replicas")
}

func TestFullDecodeReplicasAreRelievedBeforeDemandIsKnown(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(12, 6), RunningStreams: 190}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 8, countDecode(input.Replicas))
}

func TestPolicyBoundsAndForbidsChanges(t *testing.T) {
	step := func(rules stageplan.Rules) (changes int) {
		input := stageplan.Input{Replicas: fleet(2, 16), Rules: rules}
		changes, _ = settle(t, &stageplan.Planner{}, 0, input)
		return changes
	}
	assert.Equal(t, 10, step(stageplan.Rules{}), "the built-in rule leaves a third in decode")
	assert.Zero(t, step(stageplan.Rules{Bounded: true}), "a bound of 0 forbids changes")
	assert.Equal(t, 10, step(stageplan.Rules{Bounded: true, MaximumAway: 1}))
	var proposed []stageplan.Change
	assert.Zero(t, step(stageplan.Rules{Permits: func(change stageplan.Change) bool {
		proposed = append(proposed, change)
		return false
	}}))
	if assert.NotEmpty(t, proposed) {
		assert.Equal(t, 16, proposed[0].DecodeReplicas)
		assert.False(t, proposed[0].Decodes)
	}
}

func TestReplicaKeepsStageForMinimumDwell(t *testing.T) {
	planner := &stageplan.Planner{}
	rules := stageplan.Rules{MinimumDwell: time.Minute}
	input := stageplan.Input{Replicas: fleet(1, 3), Rules: rules}
	_, now := settle(t, planner, 0, input)
	assert.Equal(t, 2, countDecode(input.Replicas))
	input.RunningStreams = 32 * 3
	changes, now := settle(t, planner, now, input)
	assert.Equal(t, 0, changes, "both prefill replicas are kept: one by the minimum number, one by its dwell")
	input.Replicas = append(input.Replicas, fleet(3, 0)[2])
	changes, _ = settle(t, planner, now+time.Minute, input)
	assert.Positive(t, changes)
}

// Step is called repeatedly for the same moment: each change selects another replica, and the
// changes stop where they would with one change per step, at the bound on concurrent changes.
func TestRepeatedStepsAtOneTimeChangeDifferentReplicas(t *testing.T) {
	input := stageplan.Input{DemandKnown: true, RunningStreams: 10, ExpectedStreams: 10, PrefillLoad: 60}
	for number := range 100 {
		input.Replicas = append(input.Replicas, stageplan.Replica{ID: fmt.Sprint("r", number), Decodes: true, Slots: 64})
	}
	planner := &stageplan.Planner{}
	changed := map[string]bool{}
	for range len(input.Replicas) {
		change := planner.Step(time.Second, input)
		if change == nil {
			break
		}
		assert.False(t, changed[change.ReplicaID], change.ReplicaID)
		changed[change.ReplicaID] = true
		input.NoteChange(change)
	}
	assert.Len(t, changed, 34, "the bound on concurrent changes")
}

// Replicas that decode does not need, such as new ones that start in that stage, are changed to
// prefill in advance. When prefill replicas were busy for 0.4 of the time and a zone was lost with
// a third of them, the others could not serve the load until more had changed, and half of the
// prompts were late.
func TestPrefillCapacityIsReservedForZoneLoss(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(50, 49), RunningStreams: 68, PrefillLoad: 20, DemandKnown: true}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.LessOrEqual(t, countDecode(input.Replicas), 33, "67 prefill replicas are at 0.3 utilization")
}

// Stage changes cost seconds of a replica and are not ordered while standby replicas could be
// activated instead. Before any demand was known, a third of all replicas was ordered to decode: 75
// orders at 300 replicas and 251 at 1,000, for a load that a few replicas could serve.
func TestStandbyReplicasPreventStageChanges(t *testing.T) {
	for _, size := range []int{300, 1_000, 3_000} {
		standby := stageplan.Standby{Prefill: size / 3, Decode: size / 3}
		input := stageplan.Input{Replicas: fleet(128, 128), Standby: standby}
		changes, now := settle(t, &stageplan.Planner{}, 0, input)
		assert.Zero(t, changes, "before demand is known, %d replicas", size)

		busy := stageplan.Input{Replicas: fleet(128, 128), Standby: standby, DemandKnown: true, PrefillLoad: 120, RunningStreams: 10}
		changes, _ = settle(t, &stageplan.Planner{}, now, busy)
		assert.Zero(t, changes, "prefill replicas are on standby")
		busy.Standby.Prefill = 0
		changes, _ = settle(t, &stageplan.Planner{}, now, busy)
		assert.Positive(t, changes, "no prefill replica is on standby any more")
	}
}

// All decode replicas, and most others, reject everything, and the remaining ones are too few for
// both stages: they are split between them. When all replicas were counted, no shortage was
// detected and only one replica was left for prefill.
func TestUnsettledReplicasAreExcludedFromSplit(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(15, 3), DemandKnown: true, RunningStreams: 100, ExpectedStreams: 100, PrefillLoad: 4}
	for index := range input.Replicas {
		input.Replicas[index].Unsettled = index >= 6
	}
	settle(t, &stageplan.Planner{}, 0, input)
	decoding := countDecode(input.Replicas[:6])
	assert.GreaterOrEqual(t, decoding, 2)
	assert.LessOrEqual(t, decoding, 4, "two stay in prefill")
}

// The coordinator changes the least busy candidate, and a replica that rejects everything is idle; it
// would reject requests in its new stage, too.
func TestRejectingReplicaIsNotChanged(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(6, 2), DemandKnown: true, RunningStreams: 200, ExpectedStreams: 200}
	for index := range 3 {
		input.Replicas[index].Rejects = true
	}
	change := (&stageplan.Planner{}).Step(time.Second, input)
	require.NotNil(t, change)
	assert.Equal(t, []string{"r3", "r4", "r5"}, change.Candidates)
}

// Guards against streams that can't go on since all replicas of their version prefill: the last decode replicas of a
// version stay.
func TestEachVersionKeepsDecodeReplicas(t *testing.T) {
	var replicas []stageplan.Replica
	for index, version := range []string{"v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2"} {
		replicas = append(replicas, stageplan.Replica{ID: fmt.Sprint("i-", index), Slots: 32, Decodes: true, Software: version})
	}
	planner := &stageplan.Planner{}
	for step := range 100 {
		now := time.Duration(step) * 10 * time.Second
		change := planner.Step(now, stageplan.Input{Replicas: replicas, DemandKnown: true, PrefillLoad: 8, RunningStreams: 1})
		if change == nil {
			continue
		}
		for index := range replicas {
			if replicas[index].ID == change.ReplicaID {
				replicas[index].Decodes = change.Decodes
			}
		}
		decoding := map[string]int{}
		for _, replica := range replicas {
			if replica.Decodes {
				decoding[replica.Software]++
			}
		}
		require.GreaterOrEqual(t, decoding["v1"], 2)
		require.GreaterOrEqual(t, decoding["v2"], 2)
	}
	prefilling := 0
	for _, replica := range replicas {
		if !replica.Decodes {
			prefilling++
		}
	}
	require.Positive(t, prefilling)
}
