package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/planted"
)

// memberSeeds are played with losses and replacements of coordinators. In the first a voter is away for long while a spare one waits.
var memberSeeds = []uint64{69118}

func TestReplacedCoordinatorsCountAgain(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t, t.TempDir())
	for _, seed := range memberSeeds {
		result, err := Run(t.Context(), Options{
			Seed: seed, Members: true, Duration: 20 * time.Second, Binary: binary, Folder: t.TempDir(), Log: t.Output(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Changes)
	}
}

func TestASoakNoticesCoordinatorsThatAreNeverTakenBack(t *testing.T) {
	t.Parallel()
	planted := planted.Build(t, "internal/coordinator/membership.go", "return !status.IsMember() || status.LeaderSilence > voterSilence", "return len(status.Members) == 0")
	result, err := Run(t.Context(), Options{
		Seed: 69145, Members: true, Duration: noticeTime, EndsWhenNoticed: true, Binary: planted, Folder: t.TempDir(), Log: t.Output(),
	})
	require.NoError(t, err)
	require.Contains(t, strings.Join(result.Violations, "\n"), "is no member")
}
