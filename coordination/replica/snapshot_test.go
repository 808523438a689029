package replica

import (
	"encoding/binary"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// blockingCounter is a counter whose snapshots are not encoded until release is
// closed.
type blockingCounter struct {
	counter
	captured chan struct{}
	release  chan struct{}
}

func (c *blockingCounter) Capture() func() ([]byte, error) {
	data, err := c.Snapshot()
	return func() ([]byte, error) {
		c.captured <- struct{}{}
		<-c.release
		return data, err
	}
}

// TestCommitsContinueDuringSnapshot commits commands while a snapshot is being
// encoded. After a restart the state must include the snapshot and the later
// commits.
func TestCommitsContinueDuringSnapshot(t *testing.T) {
	state := &blockingCounter{captured: make(chan struct{}), release: make(chan struct{})}
	config := diskConfig(filepath.Join(t.TempDir(), "data"))
	config.StateMachine = state
	config.SnapshotEntries = 10
	runner, err := NewRunner(RunnerConfig{Config: config, Transport: &inMemoryTransport{}})
	require.NoError(t, err)
	require.NoError(t, runner.Start())
	_, err = runner.Bootstrap(testContext(t), BootstrapOptions{Generation: 1, SelfAddress: "a"})
	require.NoError(t, err)
	require.NoError(t, runner.AwaitLeader(testContext(t)))
	propose := func(count int) {
		for range count {
			_, _, err := runner.Propose(testContext(t), nil)
			require.NoError(t, err)
		}
	}
	first := make(chan struct{})
	go func() {
		defer close(first)
		propose(10)
	}()
	<-state.captured
	propose(50)
	<-first
	require.Less(t, runner.Status().SnapshotIndex, uint64(10), "the snapshot is not installed yet")
	close(state.release)
	go func() {
		for range state.captured {
		}
	}()
	waitFor(t, "the snapshot", func() bool { return runner.Status().SnapshotIndex >= 10 })
	runner.Stop()
	close(state.captured)

	restored := &counter{}
	config.StateMachine = restored
	node, err := OpenNode(config, 0)
	require.NoError(t, err)
	_, err = node.Tick(0)
	require.NoError(t, err)
	require.EqualValues(t, 60, restored.value)
	require.NoError(t, node.Close())
}

// sizedState is a state machine whose last command determines the size of its
// state.
type sizedState struct{ size uint64 }

func (b *sizedState) Apply(_ uint64, command []byte) []byte {
	b.size = binary.LittleEndian.Uint64(command)
	return nil
}
func (b *sizedState) Snapshot() ([]byte, error) { return make([]byte, b.size), nil }
func (b *sizedState) Restore(data []byte) error { b.size = uint64(len(data)); return nil }

// TestSnapshotBytesAreProportionalToLog checks that, however large the state is,
// snapshots write at most snapshotGrowthDivisor times as many bytes as the log,
// plus one snapshot.
func TestSnapshotBytesAreProportionalToLog(t *testing.T) {
	const stateBytes = 1 << 20
	const commands = 20_000
	node := openSingleReplica(t, Config{SnapshotEntries: 100})
	node.config.StateMachine = &sizedState{}
	command := binary.LittleEndian.AppendUint64(nil, stateBytes)
	snapshots := 0
	for number := range uint64(commands) {
		before := node.Status().SnapshotIndex
		_, err := node.Propose(0, number, command)
		require.NoError(t, err)
		if node.Status().SnapshotIndex != before {
			snapshots++
		}
	}
	logged := commands * (len(command) + entryOverheadBytes)
	require.Greater(t, snapshots, 1)
	require.LessOrEqual(t, snapshots*stateBytes, stateBytes+snapshotGrowthDivisor*logged)
}

// TestCloseAwaitsTheSnapshot closes a replica while its snapshot is being
// written. Close must wait for it, since the next process needs exclusive access
// to the data directory.
func TestCloseAwaitsTheSnapshot(t *testing.T) {
	disk := memoryfs.New()
	config := memoryConfig(disk, 1)
	config.SnapshotEntries = 5
	node, err := OpenNode(config, 0)
	require.NoError(t, err)
	foundSingleReplica(t, node)
	finished := make(chan struct{})
	proceed := make(chan struct{})
	node.runInBackground = func(work func()) {
		go func() {
			<-proceed
			work()
			close(finished)
		}()
	}
	for number := range uint64(6) {
		_, err := node.Propose(0, number, nil)
		require.NoError(t, err)
	}
	go close(proceed)
	require.NoError(t, node.Close())
	<-finished
	require.NoError(t, storage.Verify(disk, testDirectory))
	config.StateMachine = &counter{}
	reopened, err := OpenNode(config, 0)
	require.NoError(t, err)
	require.NoError(t, reopened.Close())
}
