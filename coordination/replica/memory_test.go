package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// openSingleReplica returns the leader of a single-replica group.
func openSingleReplica(t testing.TB, config Config) *Node {
	config.Group, config.Directory, config.FileSystem = testGroup, testDirectory, memoryfs.New()
	config.Random = rand.New(rand.NewPCG(1, 1))
	config.StateMachine = &counter{}
	node, err := OpenNode(config, 0)
	require.NoError(t, err)
	foundSingleReplica(t, node)
	return node
}

// TestLogInMemoryIsBoundedInBytes proposes commands so large that the limit on
// the number of entries never applies. The part of the log that is kept before a
// snapshot must not exceed SnapshotLogBytes, so that the log in memory stays
// within twice that.
func TestLogInMemoryIsBoundedInBytes(t *testing.T) {
	const commandBytes = 10_000
	const limit = 10 * commandBytes
	node := openSingleReplica(t, Config{SnapshotEntries: 1000, SnapshotLogBytes: limit})
	for number := range uint64(300) {
		_, err := node.Propose(0, number, make([]byte, commandBytes))
		require.NoError(t, err)
		status := node.core.Status()
		logBytes := (status.LastIndex - status.FirstIndex + 1) * commandBytes
		require.LessOrEqual(t, logBytes, uint64(2*limit), "after %d commands", number+1)
	}
	require.NotZero(t, node.Status().SnapshotIndex)
}

// TestOversizedCommandIsRefused guards against commands in the log that are too
// large for the transport: one such entry would block the group permanently.
func TestOversizedCommandIsRefused(t *testing.T) {
	node := openSingleReplica(t, Config{MaxCommandBytes: 100})
	outputs, err := node.ProposeBatch(0, []Proposal{
		{RequestID: 1, Command: make([]byte, 100)},
		{RequestID: 2, Command: make([]byte, 101)},
		{RequestID: 3, Command: make([]byte, 10)},
	})
	require.NoError(t, err)
	results := map[uint64]error{}
	for _, completion := range outputs.Completed {
		results[completion.RequestID] = completion.Err
	}
	require.Len(t, results, 3)
	require.NoError(t, results[1])
	require.ErrorIs(t, results[2], ErrTooLarge)
	require.NoError(t, results[3])
}

// TestReadsAreConfirmedInAnyOrder queues many reads and confirms the first one
// last.
func TestReadsAreConfirmedInAnyOrder(t *testing.T) {
	var queue readQueue
	var states []consensus.ReadState
	const count = 1000
	for id := range uint64(count) {
		queue.add(id, 1)
		states = append(states, consensus.ReadState{Context: id, Index: id % 2})
	}
	queue.confirm(states[1:])
	require.Equal(t, []unconfirmedRead{{0, 1}}, queue.unconfirmed)
	queue.confirm(states[:1])
	require.Empty(t, queue.unconfirmed)
	require.Len(t, queue.takeReady(0), count/2)
	require.Len(t, queue.takeReady(1), count/2)
}
