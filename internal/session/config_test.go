package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// mergedViewWithConfig returns a merged view whose configuration has one model
// version.
func mergedViewWithConfig(revision uint64, version string) *MergedView {
	merged := newMergedView()
	merged.Config = configuration(revision, version)
	return &merged
}

func configuration(revision uint64, version string) *dynamic.Snapshot {
	return &dynamic.Snapshot{Revision: revision, Models: []dynamic.Model{{Name: "model", Version: version}}}
}

func deltaView(t *testing.T, base, next *dynamic.Snapshot) *wire.View {
	t.Helper()
	delta, err := dynamic.Difference(base, next)
	require.NoError(t, err)
	return &wire.View{ConfigRevision: next.Revision, ConfigDelta: delta}
}

func TestADeltaUpdatesTheConfiguration(t *testing.T) {
	merged := mergedViewWithConfig(5, "1")
	merged.apply(deltaView(t, configuration(5, "1"), configuration(6, "2")), 0)
	require.Equal(t, uint64(6), merged.ConfigRevision())
	require.Equal(t, "2", merged.Config.Models[0].Version)
	require.Equal(t, uint64(6), merged.knownConfig())
}

func TestADeltaNeverMovesTheConfigurationBack(t *testing.T) {
	merged := mergedViewWithConfig(7, "3")
	merged.apply(deltaView(t, configuration(7, "3"), configuration(6, "2")), 0)
	require.Equal(t, uint64(7), merged.ConfigRevision())
	require.Equal(t, uint64(7), merged.knownConfig())
}

func TestADeltaFromAnotherBaseIsDropped(t *testing.T) {
	merged := mergedViewWithConfig(5, "1")
	merged.apply(deltaView(t, configuration(4, "0"), configuration(6, "2")), 0)
	require.Equal(t, uint64(5), merged.ConfigRevision())
	require.Equal(t, uint64(5), merged.knownConfig(), "the next delta can start from this revision")
}

// If the same revision has other content here, the configuration in effect
// stays and the full one is requested, until it arrives.
func TestADeltaWithAnotherResultRequestsTheFullConfiguration(t *testing.T) {
	base := configuration(5, "1")
	base.Applications = []dynamic.Application{{Name: "unknown here"}}
	next := configuration(6, "2")
	next.Applications = base.Applications
	merged := mergedViewWithConfig(5, "1")
	merged.apply(deltaView(t, base, next), 0)
	require.Equal(t, uint64(5), merged.ConfigRevision())
	require.Equal(t, "1", merged.Config.Models[0].Version)
	require.Zero(t, merged.knownConfig())

	merged.apply(&wire.View{ConfigRevision: 6, Config: next}, 0)
	require.Equal(t, uint64(6), merged.knownConfig())
}
