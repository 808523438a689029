package soak

import (
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
