package mechanism_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/mechanism"
)

func TestNamesAreParsed(t *testing.T) {
	set, err := mechanism.Parse([]string{"homes", "ranks"})
	require.NoError(t, err)
	require.True(t, set[mechanism.Homes])
	require.True(t, set[mechanism.Ranks])
	require.False(t, set[mechanism.Peers])
}

func TestAnUnknownNameIsRefused(t *testing.T) {
	_, err := mechanism.Parse([]string{"homes", "luck"})
	require.ErrorContains(t, err, `"luck" is not a mechanism`)
	require.ErrorContains(t, err, "prefix_affinity")
}

func TestNothingIsOffByDefault(t *testing.T) {
	var none mechanism.Set
	for _, each := range mechanism.All() {
		require.False(t, none[each])
	}
}
