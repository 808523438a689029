package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// pictureWithConfig returns a picture whose configuration has one model
// version.
func pictureWithConfig(revision uint64, version string) *Picture {
	picture := newPicture()
	picture.Config = configuration(revision, version)
	return &picture
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
	picture := pictureWithConfig(5, "1")
	picture.apply(deltaView(t, configuration(5, "1"), configuration(6, "2")), 0)
	require.Equal(t, uint64(6), picture.ConfigRevision())
	require.Equal(t, "2", picture.Config.Models[0].Version)
	require.Equal(t, uint64(6), picture.knownConfig())
}

func TestADeltaNeverMovesTheConfigurationBack(t *testing.T) {
	picture := pictureWithConfig(7, "3")
	picture.apply(deltaView(t, configuration(7, "3"), configuration(6, "2")), 0)
	require.Equal(t, uint64(7), picture.ConfigRevision())
	require.Equal(t, uint64(7), picture.knownConfig())
}

func TestADeltaFromAnotherBaseIsDropped(t *testing.T) {
	picture := pictureWithConfig(5, "1")
	picture.apply(deltaView(t, configuration(4, "0"), configuration(6, "2")), 0)
	require.Equal(t, uint64(5), picture.ConfigRevision())
	require.Equal(t, uint64(5), picture.knownConfig(), "the next delta can start from this revision")
}

// If the same revision has other content here, the configuration in effect
// stays and the full one is requested, until it arrives.
func TestADeltaWithAnotherResultRequestsTheFullConfiguration(t *testing.T) {
	base := configuration(5, "1")
	base.Applications = []dynamic.Application{{Name: "unknown here"}}
	next := configuration(6, "2")
	next.Applications = base.Applications
	picture := pictureWithConfig(5, "1")
	picture.apply(deltaView(t, base, next), 0)
	require.Equal(t, uint64(5), picture.ConfigRevision())
	require.Equal(t, "1", picture.Config.Models[0].Version)
	require.Zero(t, picture.knownConfig())

	picture.apply(&wire.View{ConfigRevision: 6, Config: next}, 0)
	require.Equal(t, uint64(6), picture.knownConfig())
}
