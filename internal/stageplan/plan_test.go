package stageplan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// fleet has some replicas that read and some that generate.
func fleet(reading, generating int) []stageplan.Replica {
	var replicas []stageplan.Replica
	for index := range reading + generating {
		replicas = append(replicas, stageplan.Replica{
			ID: fmt.Sprintf("r%d", index), Slots: 32, Generates: index >= reading,
		})
	}
	return replicas
}

func count(replicas []stageplan.Replica) (generating int) {
	for _, replica := range replicas {
		if replica.Generates {
			generating++
		}
	}
	return generating
}

// settle steps until nothing changes for a while, with changes done at once.
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
				input.Replicas[index].Generates = change.Generates
			}
		}
	}
	return changes, now
}

func TestUntilDemandIsKnownAThirdGenerates(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(7, 11)}
	changes, _ := settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 6, count(input.Replicas))
	assert.Equal(t, 5, changes)
}

func TestDemandForGeneratingIsServedFirst(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(12, 6), Generating: 160, Reading: 9, Known: true}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 7, count(input.Replicas), "160 answers in batches three quarters full")
}

func TestReadersAreAddedOnlyWhenTheyAreBusy(t *testing.T) {
	idle := stageplan.Input{Replicas: fleet(4, 14), Generating: 20, Reading: 1, Known: true}
	changes, _ := settle(t, &stageplan.Planner{}, 0, idle)
	assert.Zero(t, changes)

	busy := stageplan.Input{Replicas: fleet(4, 14), Generating: 20, Reading: 6, Known: true}
	settle(t, &stageplan.Planner{}, 0, busy)
	assert.Less(t, count(busy.Replicas), 14)
	assert.GreaterOrEqual(t, count(busy.Replicas), 4, "a least share generates")
}

func TestADemandThatSwingsDoesNotChangeReplicasBackAndForth(t *testing.T) {
	planner := &stageplan.Planner{}
	replicas := fleet(9, 9)
	changes := 0
	for step := range 400 {
		input := stageplan.Input{Replicas: replicas, Generating: 60, Reading: 2, Known: true}
		if step/10%2 == 1 {
			input.Generating, input.Reading = 20, 6
		}
		if change := planner.Step(time.Duration(step)*300*time.Millisecond, input); change != nil {
			changes++
			for index := range replicas {
				if replicas[index].ID == change.ReplicaID {
					replicas[index].Generates = change.Generates
				}
			}
		}
	}
	assert.LessOrEqual(t, changes, 8)
}

func TestFewReplicasAreAwayAtTheSameTime(t *testing.T) {
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
				replicas[index].Generates = change.Generates
			}
		}
	}
	away := 0
	for _, replica := range replicas {
		if replica.Changing {
			away++
		}
	}
	assert.Equal(t, 12, away, "a third, though 18 should change")
}

func TestDemandIsMetAsItIsForecast(t *testing.T) {
	rising := stageplan.Input{Replicas: fleet(12, 6), Generating: 60, Expected: 190, Known: true}
	settle(t, &stageplan.Planner{}, 0, rising)
	assert.Equal(t, 8, count(rising.Replicas), "before the streams have come")

	falling := stageplan.Input{Replicas: fleet(4, 14), Generating: 190, Expected: 40, Reading: 6, Known: true}
	settle(t, &stageplan.Planner{}, 0, falling)
	assert.Equal(t, 10, count(falling.Replicas), "streams that still run keep their room")
}

// A forecast of fewer streams than run is not believed while generators are full: full ones
// are slow, and their streams end later than those did that the forecast is made from.
func TestAForecastIsNotBelievedWhileGeneratorsAreFull(t *testing.T) {
	full := stageplan.Input{Replicas: fleet(15, 5), Generating: 150, Expected: 60, Reading: 3, Known: true}
	settle(t, &stageplan.Planner{}, 0, full)
	assert.Greater(t, count(full.Replicas), 5)
}

func TestGeneratorsThatOverflowGetHelpWithoutDelay(t *testing.T) {
	for name, generating := range map[string]float64{"calm": 60, "overflowing": 400} {
		planner := &stageplan.Planner{}
		input := stageplan.Input{Replicas: fleet(4, 14), Generating: 40, Reading: 8, Known: true}
		now := time.Duration(0)
		for range 9 {
			now += 100 * time.Millisecond
			if change := planner.Step(now, input); change != nil {
				apply(input.Replicas, change)
			}
		}
		require.Less(t, count(input.Replicas), 14)
		input.Generating = generating
		input.Expected = 400
		change := planner.Step(now+100*time.Millisecond, input)
		assert.Equal(t, name == "overflowing", change != nil && change.Generates, name)
	}
}

func TestAnotherCandidateMayBeChosen(t *testing.T) {
	planner := &stageplan.Planner{}
	rules := stageplan.Rules{MinimumDwell: time.Minute}
	input := stageplan.Input{Replicas: fleet(4, 14), Reading: 9, Generating: 20, Known: true, Rules: rules}
	change := planner.Step(time.Second, input)
	require.NotNil(t, change)
	require.Len(t, change.Candidates, 14)
	assert.Equal(t, change.Candidates[0], change.ReplicaID)
	planner.Choose(time.Second, change, change.Candidates[5])
	assert.Equal(t, change.Candidates[5], change.ReplicaID)
	next := planner.Step(2*time.Second, input)
	require.NotNil(t, next)
	assert.NotContains(t, next.Candidates, change.ReplicaID, "it dwells")
	assert.Contains(t, next.Candidates, change.Candidates[0])
}

func TestAShortageOfBothStagesIsShared(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(14, 4), Generating: 300, Reading: 20, Known: true}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 7, count(input.Replicas), "16 of 38 that would be needed")

	streams := stageplan.Input{Replicas: fleet(14, 4), Generating: 600, Reading: 2, Known: true}
	settle(t, &stageplan.Planner{}, 0, streams)
	assert.Equal(t, 16, count(streams.Replicas))
}

// apply carries a change out at once.
func apply(replicas []stageplan.Replica, change *stageplan.Change) {
	for index := range replicas {
		if replicas[index].ID == change.ReplicaID {
			replicas[index].Generates = change.Generates
		}
	}
}

func TestASingleReplicaIsNeverChanged(t *testing.T) {
	changes, _ := settle(t, &stageplan.Planner{}, 0, stageplan.Input{Replicas: fleet(0, 1), Reading: 5, Known: true})
	assert.Zero(t, changes)
}

func TestALostGeneratorIsNotReplacedByABusyReader(t *testing.T) {
	replicas := fleet(12, 6)
	for index := 12; index < 15; index++ {
		replicas[index].Unsettled = true
	}
	input := stageplan.Input{Replicas: replicas, Generating: 40, Reading: 20, Known: true, Restless: true}
	changes, _ := settle(t, &stageplan.Planner{}, 0, input)
	assert.Zero(t, changes, "3 generators are enough for 40 answers, and readers are short")
}

func TestGeneratorsThatAreFullGetHelpBeforeDemandHasSettled(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(12, 6), Generating: 190}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.Equal(t, 8, count(input.Replicas))
}

func TestAPolicyBoundsAndForbidsChanges(t *testing.T) {
	step := func(rules stageplan.Rules) (changes int) {
		input := stageplan.Input{Replicas: fleet(2, 16), Rules: rules}
		changes, _ = settle(t, &stageplan.Planner{}, 0, input)
		return changes
	}
	assert.Equal(t, 10, step(stageplan.Rules{}), "the built-in rule leaves a third")
	assert.Zero(t, step(stageplan.Rules{Bounded: true}), "a bound of 0 forbids changes")
	assert.Equal(t, 10, step(stageplan.Rules{Bounded: true, MaximumAway: 1}))
	var asked []stageplan.Change
	assert.Zero(t, step(stageplan.Rules{Permits: func(change stageplan.Change) bool {
		asked = append(asked, change)
		return false
	}}))
	if assert.NotEmpty(t, asked) {
		assert.Equal(t, 16, asked[0].Generators)
		assert.False(t, asked[0].Generates)
	}
}

func TestAReplicaKeepsItsStageForTheDwellOfThePolicy(t *testing.T) {
	planner := &stageplan.Planner{}
	rules := stageplan.Rules{MinimumDwell: time.Minute}
	input := stageplan.Input{Replicas: fleet(1, 3), Rules: rules}
	_, now := settle(t, planner, 0, input)
	assert.Equal(t, 2, count(input.Replicas))
	input.Generating = 32 * 3
	changes, now := settle(t, planner, now, input)
	assert.Equal(t, 0, changes, "both readers are kept: one by the least number, one by its dwell")
	input.Replicas = append(input.Replicas, fleet(3, 0)[2])
	changes, _ = settle(t, planner, now+time.Minute, input)
	assert.Positive(t, changes)
}

// TestSeveralChangesOfOneStepDiffer has a planner asked again for the same moment: each change is
// of another replica, and they end where one change a step would.
func TestSeveralChangesOfOneStepDiffer(t *testing.T) {
	input := stageplan.Input{Known: true, Generating: 10, Expected: 10, Reading: 60}
	for number := range 100 {
		input.Replicas = append(input.Replicas, stageplan.Replica{ID: fmt.Sprint("r", number), Generates: true, Slots: 64})
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
	assert.Len(t, changed, 34, "no more are away at the same time")
}

// TestReadersAreAddedBeforeALossNeedsThem has replicas to spare generate, as new ones do that begin
// in that stage. Where readers were busy for 0.4 of the time and a zone went with a third of them,
// the others could not read what came until more had changed, and half of the prompts were late.
func TestReadersAreAddedBeforeALossNeedsThem(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(50, 49), Generating: 68, Reading: 20, Known: true}
	settle(t, &stageplan.Planner{}, 0, input)
	assert.LessOrEqual(t, count(input.Replicas), 33, "67 readers are busy for 0.3 of the time")
}

// TestWhatStandsByIsActivatedAndNotChanged: a third of all replicas was ordered to generate before any demand was known, and
// each order costs seconds of a replica: 75 orders at 300 replicas and 251 at 1,000, for a load that a few bear.
func TestWhatStandsByIsActivatedAndNotChanged(t *testing.T) {
	for _, size := range []int{300, 1_000, 3_000} {
		spares := stageplan.Spares{Readers: size / 3, Generators: size / 3}
		input := stageplan.Input{Replicas: fleet(128, 128), Spares: spares}
		changes, now := settle(t, &stageplan.Planner{}, 0, input)
		assert.Zero(t, changes, "before demand is known, %d replicas", size)

		busy := stageplan.Input{Replicas: fleet(128, 128), Spares: spares, Known: true, Reading: 120, Generating: 10}
		changes, _ = settle(t, &stageplan.Planner{}, now, busy)
		assert.Zero(t, changes, "readers stand by")
		busy.Spares.Readers = 0
		changes, _ = settle(t, &stageplan.Planner{}, now, busy)
		assert.Positive(t, changes, "no reader stands by any more")
	}
}

// All generating replicas, and most others, refuse everything, and what is left is too little for both stages:
// it is shared between them. All replicas were counted, so that nothing was short and one was left to read.
func TestWhatCountsForNothingHasNoShare(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(15, 3), Known: true, Generating: 100, Expected: 100, Reading: 4}
	for index := range input.Replicas {
		input.Replicas[index].Unsettled = index >= 6
	}
	settle(t, &stageplan.Planner{}, 0, input)
	generating := count(input.Replicas[:6])
	assert.GreaterOrEqual(t, generating, 2)
	assert.LessOrEqual(t, generating, 4, "two go on reading")
}

// An idle replica is changed first, and one that refuses everything is idle: it refused in its new stage, too.
func TestAReplicaThatRefusesIsNotChanged(t *testing.T) {
	input := stageplan.Input{Replicas: fleet(6, 2), Known: true, Generating: 200, Expected: 200}
	for index := range 3 {
		input.Replicas[index].Refuses = true
	}
	change := (&stageplan.Planner{}).Step(time.Second, input)
	require.NotNil(t, change)
	assert.Equal(t, []string{"r3", "r4", "r5"}, change.Candidates)
}
