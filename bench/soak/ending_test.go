package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// TestAReplicaThatTwoRequestsEndStartsOnce: a soak reported that a replica does not start again, as
// its address was in use. Two requests were there when it ended, and each had it started.
func TestAReplicaThatTwoRequestsEndStartsOnce(t *testing.T) {
	const subnet = 250
	f, err := newFleet(Options{Seed: subnet, Folder: t.TempDir()}, nil, platformtest.EngineWatch{}, nil)
	t.Cleanup(f.stop)
	require.NoError(t, err)
	s := &soak{fleet: f, truth: newTruth(), dice: rand.New(rand.NewPCG(subnet, 2))}
	s.endReplica(0, "0")
	s.endReplica(0, "0")
	time.Sleep(2 * downTime)
	violations, _ := s.truth.broken()
	assert.Empty(t, violations)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.True(t, f.replicas[0].runs)
	assert.Equal(t, 2, f.replicas[0].starts)
}
