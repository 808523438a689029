package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Clients that didn't behave took processes over their memory, and idle ones held the places of all others.
func TestCrowdsBesideFaultsTakeNoProcessOverItsBounds(t *testing.T) {
	binary := buildProgram(t, t.TempDir())
	for _, seed := range []uint64{83001, 83002} {
		result, err := Run(t.Context(), Options{
			Seed: seed, Crowds: true, Duration: 6 * time.Second, Binary: binary, Folder: t.TempDir(), Log: t.Output(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Crowds)
		require.Positive(t, result.Served)
	}
}

func TestASoakNoticesCrowdsWithoutABound(t *testing.T) {
	for name, plant := range map[string]struct {
		file, text, planted, violation string
		seed                           uint64
	}{
		"no sum over connections": {
			"internal/listener/memory.go", "if err := c.keep(size); err == nil {", "if true {", "MB, and may hold", 83001,
		},
		"no places for those who come": {
			"internal/listener/listener.go", "!l.makePlace()", "true", "requests served, version", 83002,
		},
	} {
		t.Run(name, func(t *testing.T) {
			result, err := Run(t.Context(), Options{
				Seed: plant.seed, Crowds: true, Duration: noticeTime, EndsWhenNoticed: true, Recovery: 10 * time.Second,
				Binary: buildPlanted(t, plant.file, plant.text, plant.planted), Folder: t.TempDir(), Log: t.Output(),
			})
			require.NoError(t, err)
			require.Contains(t, strings.Join(result.Violations, "\n"), plant.violation)
		})
	}
}
