package replica

import (
	"errors"
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// Capturer is a StateMachine whose state can be encoded while it applies further
// commands. State machines with a slow Snapshot should implement it: the replica
// does nothing else during Snapshot, and a leader that sends nothing for an
// election timeout loses its leadership.
type Capturer interface {
	// Capture returns a function that returns what Snapshot would return at
	// the time of the call to Capture. The function is called once, possibly
	// by another goroutine.
	Capture() func() ([]byte, error)
}

const (
	// trailingDivisor determines how much of the log before a snapshot is kept:
	// at most SnapshotEntries and SnapshotLogBytes divided by it. A follower that
	// lags only slightly then needs no snapshot.
	trailingDivisor = 2
	// snapshotGrowthDivisor determines by how much the log must have grown
	// before the next snapshot: the last snapshot's size divided by it. This
	// limits the bytes written for snapshots in proportion to the log.
	snapshotGrowthDivisor = 4
	// entryOverheadBytes is the approximate size of an entry without its command.
	entryOverheadBytes = 32
)

// snapshotJob is a snapshot that is being encoded and written.
type snapshotJob struct {
	// snapshot.Data is set once a value has been received from done.
	snapshot consensus.Snapshot
	done     chan error
}

// maybeSnapshot starts a snapshot if one is due, and installs the running one if
// it has been written.
func (n *Node) maybeSnapshot() error {
	if n.runningSnapshot == nil && n.isSnapshotDue() {
		n.startSnapshot()
	}
	if n.runningSnapshot == nil {
		return nil
	}
	select {
	case err := <-n.runningSnapshot.done:
		job := n.runningSnapshot
		n.runningSnapshot = nil
		return n.finishSnapshot(job.snapshot, err)
	default:
		return nil
	}
}

func (n *Node) isSnapshotDue() bool {
	if n.applied == n.snapshotIndex || n.bytesSinceSnapshot < n.snapshotBytes/snapshotGrowthDivisor {
		return false
	}
	return n.applied-n.snapshotIndex >= n.config.SnapshotEntries || n.bytesSinceSnapshot >= n.config.SnapshotLogBytes
}

func (n *Node) startSnapshot() {
	configuration, term := n.core.ConfigurationAt(n.applied)
	job := &snapshotJob{
		snapshot: consensus.Snapshot{Index: n.applied, Term: term, Configuration: configuration},
		done:     make(chan error, 1),
	}
	encode := n.captureState()
	n.runningSnapshot = job
	n.snapshotIndex = n.applied
	n.bytesSinceSnapshot = 0
	n.runInBackground(func() { job.done <- n.writeSnapshot(job, encode) })
}

// captureState returns a function that returns the current state encoded.
func (n *Node) captureState() func() ([]byte, error) {
	if capturer, canCapture := n.config.StateMachine.(Capturer); canCapture {
		return capturer.Capture()
	}
	data, err := n.config.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// writeSnapshot encodes and writes a snapshot without installing it. It runs in
// the background and must not access mutable fields of the node.
func (n *Node) writeSnapshot(job *snapshotJob, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return fmt.Errorf("replica: snapshot at %d: %w", job.snapshot.Index, err)
	}
	job.snapshot.Data = data
	return n.storage.PrepareSnapshot(job.snapshot)
}

// finishSnapshot installs a written snapshot. If the disk rejected a write, the
// snapshot is discarded; the replica goes on until the next one is due.
func (n *Node) finishSnapshot(snapshot consensus.Snapshot, err error) error {
	if err == nil {
		err = n.installPrepared(snapshot)
	}
	if errors.Is(err, storage.ErrNotWritten) {
		n.storage.RemovePreparedSnapshot(snapshot.Index)
		return nil
	}
	return err
}

func (n *Node) installPrepared(snapshot consensus.Snapshot) error {
	keepAfter := n.core.CompactionIndex(snapshot.Index,
		n.config.SnapshotEntries/trailingDivisor, n.config.SnapshotLogBytes/trailingDivisor)
	if err := n.storage.InstallPreparedSnapshot(snapshot.Index, keepAfter); err != nil {
		return err
	}
	n.snapshotBytes = int64(len(snapshot.Data))
	n.core.Compact(snapshot, keepAfter)
	return nil
}

// awaitSnapshot waits until the running snapshot, if any, has been written.
func (n *Node) awaitSnapshot() {
	if n.runningSnapshot != nil {
		<-n.runningSnapshot.done
		n.runningSnapshot = nil
	}
}
