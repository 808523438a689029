package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
)

// TestLeaderWithFullDiskStalls checks that a full disk does not stop the
// process: another replica takes over leadership, and the stalled replica resumes
// on its own once there is space again.
func TestLeaderWithFullDiskStalls(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(seed, 3, plantedBugs{})
		c.clients.start()
		c.runFor(2 * time.Second)
		stalled := c.leader()
		require.NotNil(t, stalled)
		node, applied := stalled.node, stalled.node.Applied()

		stalled.disk.SetCapacity(stalled.disk.UsedBytes() + int64(seed))
		c.runFor(3 * time.Second)
		require.Empty(t, c.checks.violation, "seed %d", seed)
		require.Same(t, node, stalled.node, "the process kept running")
		status := node.Status()
		require.ErrorIs(t, status.Stalled, storage.ErrDiskFull)
		require.EqualValues(t, 0, status.Leader, "a stalled replica does not claim to lead")
		leader := c.leader()
		require.NotNil(t, leader)
		require.NotSame(t, stalled, leader)
		require.Greater(t, leader.node.Applied(), applied, "the others keep committing")

		stalled.disk.SetCapacity(0)
		c.runFor(3 * time.Second)
		c.clients.stopped = true
		c.runFor(time.Second)
		require.Empty(t, c.checks.violation, "seed %d", seed)
		require.Same(t, node, stalled.node)
		require.NoError(t, node.Status().Stalled)
		require.Equal(t, c.leader().node.Applied(), node.Applied())
		c.checks.checkLinearizable()
		require.Empty(t, c.checks.violation, "seed %d", seed)
	}
}

// TestStalledReplicaRejectsRequests checks that a replica rejects requests while
// it cannot write.
func TestStalledReplicaRejectsRequests(t *testing.T) {
	c := newCluster(1, 1, plantedBugs{})
	c.runFor(2 * time.Second)
	m := c.leader()
	m.disk.SetCapacity(m.disk.UsedBytes())
	taken, err := m.node.Propose(m.now(), 1, []byte("first"))
	require.NoError(t, err)
	require.ErrorIs(t, taken.Completed[0].Err, ErrOutcomeUnknown, "it is in the log, and may be saved later")
	refused, err := m.node.Propose(m.now(), 2, []byte("second"))
	require.NoError(t, err)
	require.ErrorIs(t, refused.Completed[0].Err, ErrNotWritable)
	read, err := m.node.ReadBarrier(m.now(), 3)
	require.NoError(t, err)
	require.ErrorIs(t, read.Reads[0].Err, ErrNotWritable)
	_, err = m.node.PromiseFounding(FoundingRequest{Group: testGroup, Token: 5})
	require.ErrorIs(t, err, ErrNotWritable)
}
