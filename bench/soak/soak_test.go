package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/planted"
	"github.com/pierhaven/pierhaven/internal/mechanism"
)

// regressionSeeds are played in every run of the tests: one with coordinators that choose the
// replicas and one without, and each seed that ever broke a promise.
var regressionSeeds = []uint64{11, 12}

func TestRegressionSeedsBreakNoPromise(t *testing.T) {
	binary := buildProgram(t, t.TempDir())
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			result, err := Run(t.Context(), Options{
				Seed: seed, Duration: 5 * time.Second, Binary: binary, Folder: t.TempDir(), Log: t.Output(),
			})
			require.NoError(t, err)
			require.Empty(t, result.Violations)
			require.Positive(t, result.Served)
			require.Positive(t, result.Ends, "a request has ended replicas")
			require.Positive(t, result.Held)
			require.Positive(t, result.Limited, "a tenant was refused for its limit")
		})
	}
}

// noticeTime bounds a soak that ends as soon as a planted fault is noticed.
const noticeTime = 3 * time.Minute

// plannedSeeds are played with planned work alone: each seed that ever had a gateway cut a call.
var plannedSeeds = []uint64{5501}

func TestPlannedWorkCutsNoCall(t *testing.T) {
	binary := buildProgram(t, t.TempDir())
	for _, seed := range plannedSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			result, err := Run(t.Context(), Options{
				Seed: seed, Planned: true, Duration: 15 * time.Second, Binary: binary, Folder: t.TempDir(), Log: t.Output(),
			})
			require.NoError(t, err)
			require.Empty(t, result.Violations)
			require.Positive(t, result.Served)
			require.Positive(t, result.Streams)
			require.Positive(t, result.Changes)
		})
	}
}

func TestASoakNoticesGatewaysThatCutWhatRunsAtEachVersion(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Seed: 18, Planned: true, Duration: 4 * time.Second, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
		Plants: Plants{CutsAtVersions: true, NoLimits: true},
	})
	require.NoError(t, err)
	require.Contains(t, strings.Join(result.Violations, "\n"), "was cut off by p")
}

func TestASoakNoticesGatewaysThatPassOverRestAndLeaving(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t, t.TempDir())
	for _, passedOver := range []struct {
		seed       uint64
		mechanisms []mechanism.Mechanism
		violation  string
	}{
		{20, []mechanism.Mechanism{mechanism.ReplicaRests, mechanism.RestHints, mechanism.RefusalBackoff}, "of rest, and got"},
		{19, []mechanism.Mechanism{mechanism.ReplicaLeaving}, "that it leaves, and got"},
	} {
		t.Run(passedOver.violation, func(t *testing.T) {
			t.Parallel()
			options := Options{
				Seed: passedOver.seed, Asks: true, Planned: true, Duration: noticeTime, EndsWhenNoticed: true, Binary: binary, Folder: t.TempDir(), Log: t.Output(),
			}
			for _, name := range passedOver.mechanisms {
				options.Without = append(options.Without, string(name))
			}
			result, err := Run(t.Context(), options)
			require.NoError(t, err)
			require.Contains(t, strings.Join(result.Violations, "\n"), passedOver.violation)
		})
	}
}

// The platform's list comes in many pages, some of which fail. Replicas that it showed as leaving got requests until they ended.
func TestDrainingEnginesOfALongListGetNoRequests(t *testing.T) {
	t.Parallel()
	result, err := Run(t.Context(), Options{
		Seed: 7003, Planned: true, LongList: true, Duration: 10 * time.Second, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Positive(t, result.Drained)
}

func TestASoakNoticesALeaderThatLosesAListWithOneOfItsPages(t *testing.T) {
	t.Parallel()
	result, err := Run(t.Context(), Options{
		Seed: 7005, Planned: true, LongList: true, Duration: noticeTime, EndsWhenNoticed: true, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(),
		Log: t.Output(), CoordinatorsWithout: []string{string(mechanism.ListPages)}, Plants: Plants{FailingList: true},
	})
	require.NoError(t, err)
	require.Contains(t, strings.Join(result.Violations, "\n"), "the list shows that")
}

func TestASoakNoticesGatewaysThatHoldNothing(t *testing.T) {
	t.Parallel()
	result, err := Run(t.Context(), Options{
		Seed: 13, Duration: noticeTime, EndsWhenNoticed: true, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
		Without: []string{string(mechanism.RequestHolds)},
	})
	require.NoError(t, err)
	require.Zero(t, result.Held)
	require.Contains(t, strings.Join(result.Violations, "\n"), "later than 3s after the third")
}

func TestRequestsWithAPartThatEndsReplicasAreHeld(t *testing.T) {
	t.Parallel()
	result, err := Run(t.Context(), Options{
		Seed: 21, EndingParts: true, Duration: 8 * time.Second, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Positive(t, result.Held)
}

func TestASoakNoticesListsThatHideLivesAndNameWhatIsNoReplica(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Seed: 16, Duration: 8 * time.Second, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
		Plants: Plants{UntoldStarts: true, UsableEntry: true, NoLimits: true},
	})
	require.NoError(t, err)
	violations := strings.Join(result.Violations, "\n")
	require.Contains(t, violations, "later than 3s after the third")
	require.Contains(t, violations, "an entry that names no usable replica")
}

// A gateway records the limit that an engine names, and the rest that it asks for, under the life that the list shows. If
// the engine has started again, and the list that shows it comes late, they must not be forgotten with the former life.
func TestLimitOfALifeThatIsListedLateIsKept(t *testing.T) {
	binary := buildProgram(t, t.TempDir())
	for _, options := range []Options{
		{Seed: 6006, Duration: 10 * time.Second},
		{Seed: 9126, Duration: 8 * time.Second, Asks: true},
	} {
		t.Run(fmt.Sprint("seed ", options.Seed), func(t *testing.T) {
			options.Callers, options.Binary, options.Folder, options.Log = 20, binary, t.TempDir(), t.Output()
			result, err := Run(t.Context(), options)
			require.NoError(t, err)
			require.Empty(t, result.Violations)
		})
	}
}

// A gateway whose view had just become fresh again sent three requests to an engine that had asked for rest a quarter of a
// second before.
func TestAGatewayWithAViewThatWasNotFreshKeepsToRest(t *testing.T) {
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "pierhaven")
	output, err := exec.Command("go", "build", "-race", "-o", binary, "../../cmd/pierhaven").CombinedOutput()
	require.NoError(t, err, string(output))
	result, err := Run(t.Context(), Options{
		Seed: 11303, Asks: true, Race: true, Duration: 30 * time.Second, Binary: binary, Folder: t.TempDir(), Log: t.Output(),
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations)
}

func TestASoakNoticesGatewaysThatDoNotCountLimits(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Seed: 14, Duration: 8 * time.Second, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
		Without: []string{string(mechanism.Quotas)},
	})
	require.NoError(t, err)
	require.Zero(t, result.Limited)
	require.Contains(t, strings.Join(result.Violations, "\n"), "of kiosk were sent and run within 4s")
}

func TestASoakNoticesGatewaysThatPassOverLimitsOfReplicas(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Seed: 17, Duration: 14 * time.Second, Binary: buildProgram(t, t.TempDir()), Folder: t.TempDir(), Log: t.Output(),
		Without: []string{string(mechanism.ReplicaLimits)},
	})
	require.NoError(t, err)
	require.Contains(t, strings.Join(result.Violations, "\n"), "requests a second, and got")
}

// releaseSeeds are played with engines of several versions side by side: under all faults, and with kills of gateways alone,
// where streams that are taken up have to go on.
func TestStreamsAreOfOneVersionWhileSeveralServe(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t, t.TempDir())
	for name, options := range map[string]Options{
		"all faults":    {Seed: 12001, Duration: 8 * time.Second},
		"gateway kills": {Seed: 12101, Duration: 16 * time.Second, GatewayKills: true, Callers: 12},
		"beside cuts":   {Seed: 12102, Duration: 16 * time.Second, GatewayKills: true, Callers: 12},
	} {
		t.Run(name, func(t *testing.T) {
			options.Releases, options.Binary, options.Folder, options.Log = true, binary, t.TempDir(), t.Output()
			result, err := Run(t.Context(), options)
			require.NoError(t, err)
			require.Empty(t, result.Violations)
			require.Positive(t, result.Streams)
			require.Positive(t, result.Began)
		})
	}
}

func TestASoakNoticesStreamsOfTwoVersions(t *testing.T) {
	t.Parallel()
	for name, plant := range map[string]struct{ file, text, planted string }{
		"the version is not kept when a stream is moved or continued": {
			"internal/relay/stream.go", "r.call.beginAt(lease.Software)", "r.stopped = false",
		},
		"an unknown version is guessed": {
			"internal/relay/daemon/front.go", "if route.Kind != traffic.KindStream || metadata.LastEvent == \"\" {", "if true {",
		},
	} {
		t.Run(name, func(t *testing.T) {
			result, err := Run(t.Context(), Options{
				Seed: 12201, Duration: noticeTime, EndsWhenNoticed: true, GatewayKills: true, Callers: 12, Releases: true,
				Binary: planted.Build(t, plant.file, plant.text, plant.planted), Folder: t.TempDir(), Log: t.Output(),
			})
			require.NoError(t, err)
			require.Contains(t, strings.Join(result.Violations, "\n"), "holds events of versions")
		})
	}
}
