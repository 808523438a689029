package soak

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// Two soaks of one seed ran at the same time, and the second could not listen:
//
//	fault proxy before p0: listen tcp 127.77.158.1:17400: bind: address already in use
func TestFleetsOfOneSeedRunBesideEachOther(t *testing.T) {
	for range 2 {
		f, err := newFleet(Options{Seed: 249, Folder: t.TempDir()}, nil, platformtest.EngineWatch{}, nil)
		require.NoError(t, err)
		t.Cleanup(f.stop)
	}
}
