package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

func TestNoRolloutWithoutNewVersion(t *testing.T) {
	z := newTestZone(t, 4)
	z.run(60)
	require.Empty(t, z.state.Rollouts())
}

func TestRolloutProceedsInSteps(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.run(6)
	require.Equal(t, map[string]int{"1": 5, "2": 1}, z.versions(), "one engine is changed first")
	z.run(5)
	require.Equal(t, 5, z.versions()["1"], "no further step in the observation period")
	z.run(120)
	require.Equal(t, map[string]int{"2": 6}, z.versions())
	require.Equal(t, zonestate.RolloutDone, z.phase())
	require.Equal(t, 2, z.peakAway, "the limit on unavailable engines is used up but not exceeded")
}

func TestRolloutContinuesUnderNewLeader(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	for range 40 {
		z.run(5)
		z.core = New(DefaultOptions())
	}
	require.Equal(t, map[string]int{"1": 5, "2": 1}, z.versions(), "a leader that is replaced within the observation period takes no further step")
	z.run(120)
	require.Equal(t, map[string]int{"2": 6}, z.versions())
}

func TestARolloutHaltsWhenItGoesWrong(t *testing.T) {
	cases := map[string]struct {
		setUp  func(z *testZone)
		reason string
		// changed is the maximum number of engines that end up on the new version.
		changed int
	}{
		"attempts fail":           {func(z *testZone) { z.failedPercent["2"] = 50 }, "attempts fail on version 2", 1},
		"first tokens come late":  {func(z *testZone) { z.latePercent["2"] = 70 }, "attempts come late on version 2", 1},
		"engines can't load it":   {func(z *testZone) { z.failingVersions["2"] = true }, "can't load version 2: no weights", 0},
		"it goes wrong half-way":  {func(z *testZone) { z.run(30); z.failedPercent["2"] = 90 }, "attempts fail on version 2", 5},
		"both fail, the new more": {func(z *testZone) { z.failedPercent["1"], z.failedPercent["2"] = 10, 30 }, "attempts fail on version 2", 1},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(t, 6)
			z.placedVersion = "2"
			testCase.setUp(z)
			z.run(300)
			require.Equal(t, zonestate.RolloutHalted, z.phase())
			require.Contains(t, z.reason(), testCase.reason)
			require.LessOrEqual(t, z.versions()["2"], testCase.changed)
			require.Equal(t, 6, z.versions()["1"]+z.versions()["2"], "all engines are in service")
		})
	}
}

func TestFailuresOnBothVersionsDoNotHaltRollout(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.failedPercent["1"], z.failedPercent["2"] = 30, 30
	z.latePercent["1"], z.latePercent["2"] = 60, 70
	z.run(200)
	require.Equal(t, zonestate.RolloutDone, z.phase())
}

func TestFailedEnginesRevertAfterLostDesiredUpdate(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.failingVersions["2"] = true
	for len(z.state.Rollouts()) == 0 || z.phase() != zonestate.RolloutHalted {
		z.run(1)
	}
	z.lostDesired = 2
	z.run(30)
	require.Zero(t, z.lostDesired)
	require.Equal(t, map[string]int{"1": 6}, z.versions())
}

func TestOperatorResumesHaltedRollout(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.failingVersions["2"] = true
	z.run(60)
	require.Equal(t, zonestate.RolloutHalted, z.phase())
	z.operator(zonestate.KindResumeRollout)
	z.run(60)
	require.Equal(t, zonestate.RolloutHalted, z.phase(), "loading still fails")
	z.failingVersions["2"] = false
	z.operator(zonestate.KindResumeRollout)
	z.run(200)
	require.Equal(t, zonestate.RolloutDone, z.phase())
	require.Equal(t, map[string]int{"2": 6}, z.versions())
}

func TestOperatorRevertsRollout(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.run(25)
	require.Positive(t, z.versions()["2"])
	z.operator(zonestate.KindHaltRollout)
	halted := z.versions()
	z.run(100)
	require.Equal(t, 6, z.versions()["1"]+z.versions()["2"])
	require.LessOrEqual(t, z.versions()["2"], halted["2"]+2, "only changes in progress finish")
	z.operator(zonestate.KindRevertRollout)
	z.run(100)
	require.Equal(t, map[string]int{"1": 6}, z.versions())
	require.Equal(t, zonestate.RolloutReverted, z.phase())
	z.run(100)
	require.Equal(t, zonestate.RolloutReverted, z.phase(), "a reverted version is not retried while the policy still requires it")
	z.placedVersion = "3"
	z.run(200)
	require.Equal(t, map[string]int{"3": 6}, z.versions(), "a different version is rolled out")
}

func TestPolicyReturningToOldVersionRevertsEngines(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.run(25)
	require.Positive(t, z.versions()["2"])
	z.placedVersion = "1"
	z.run(200)
	require.Equal(t, map[string]int{"1": 6}, z.versions())
	require.Equal(t, zonestate.RolloutDone, z.phase())
}

func TestRolloutWaitsForChangeBudget(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.maximumAway = 0
	z.run(100)
	require.Equal(t, map[string]int{"1": 6}, z.versions())
	z.maximumAway, z.awayForOtherChanges = 1, 1
	z.run(100)
	require.Equal(t, map[string]int{"1": 6}, z.versions())
}

func TestPolicyForbiddingChangesBlocksRollout(t *testing.T) {
	for _, forbidden := range []bool{true, false} {
		z := newTestZone(t, 6)
		z.placedVersion, z.forbidden = "2", forbidden
		z.run(200)
		want := "2"
		if forbidden {
			want = "1"
		}
		require.Equal(t, map[string]int{want: 6}, z.versions())
	}
}

func TestRolesChangeProportionally(t *testing.T) {
	z := newTestZone(t, 9)
	for number := range 9 {
		role := engineapi.RoleDecode
		if number%3 == 0 {
			role = engineapi.RolePrefill
		}
		z.commit(zonestate.Command{Kind: zonestate.KindSetDesired, Desired: []zonestate.DesiredEntry{{
			EngineID: fmt.Sprintf("engine-%d", number), Target: engineapi.Configuration{Role: role}, Partial: true,
		}}})
	}
	z.run(10)
	z.placedVersion = "2"
	for range 200 {
		z.run(1)
		changed := map[engineapi.Role]int{}
		for _, engine := range z.state.Engines() {
			if engine.Desired.Version == "2" {
				changed[engine.Desired.Role]++
			}
		}
		require.InDelta(t, 2*changed[engineapi.RolePrefill], changed[engineapi.RoleDecode], 2, "3 prefill and 6 decode engines")
	}
	require.Equal(t, zonestate.RolloutDone, z.phase())
}

func TestStepTimeoutHaltsRollout(t *testing.T) {
	z := newTestZone(t, 6)
	z.placedVersion = "2"
	z.ordersStuck = true
	z.run(700)
	require.Equal(t, zonestate.RolloutHalted, z.phase())
	require.Contains(t, z.reason(), "have been changing")
}

func TestFewAttemptsSufficeIfAllFail(t *testing.T) {
	core := New(DefaultOptions())
	cases := []struct {
		wrong, all uint64
		exceeds    bool
	}{
		{0, 0, false}, {0, 1000, false}, {1, 1, false}, {2, 2, false}, {3, 3, true}, {3, 60, false},
		{10, 60, true}, {60, 1000, false}, {90, 1000, true},
	}
	for _, testCase := range cases {
		require.Equal(t, testCase.exceeds, core.exceedsShare(testCase.wrong, testCase.all, 0.05), "%d of %d", testCase.wrong, testCase.all)
	}
	require.False(t, core.exceedsShare(10, 10, 1.05), "no share exceeds 1")
}
