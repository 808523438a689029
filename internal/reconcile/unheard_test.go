package reconcile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnresponsiveTargetsAreReported checks that the leader lists the engines in
// service that it can't reach, which it reports to gateways.
func TestUnresponsiveTargetsAreReported(t *testing.T) {
	z := newFaultFreeZone(t, 3, Config{})
	require.Empty(t, z.core.unresponsive)
	z.unresponsive["engine-1"] = true
	z.run(4 * time.Second)
	require.Equal(t, []string{"engine-1"}, z.core.unresponsive)
	z.unresponsive["engine-1"] = false
	z.run(2 * time.Second)
	require.Empty(t, z.core.unresponsive)
}

// TestNewLeaderReportsUnpolledTargetsAsUnresponsive checks that a new leader vouches
// for no target that has not responded to it.
func TestNewLeaderReportsUnpolledTargetsAsUnresponsive(t *testing.T) {
	z := newFaultFreeZone(t, 3, Config{})
	successor := New(z.now, z.core.config)
	successor.Tick(z.now, 0, z.state)
	require.Equal(t, []string{"engine-0", "engine-1", "engine-2"}, successor.unresponsive)
}
