package soak

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// An engine that was to start again found its port taken by a connection of another process.
func TestEngineStartsAgainThoughItsPortIsTakenAtTheCommonAddress(t *testing.T) {
	f, err := newFleet(Options{Seed: 1, Folder: t.TempDir()}, nil, platformtest.EngineWatch{}, nil)
	require.NoError(t, err)
	defer f.stop()
	_, port, err := net.SplitHostPort(f.engines.Address(engineName(0)))
	require.NoError(t, err)
	f.proxy.End(engineName(0))
	taken, err := net.Listen("tcp", "127.0.0.1:"+port)
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	require.NoError(t, f.restartEngine(0))
}
