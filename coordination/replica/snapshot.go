package replica

import (
	"errors"
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// Capturer is a StateMachine whose state can be encoded while it goes on. It
// should be implemented by all whose Snapshot takes long: the replica does
// nothing else meanwhile, and a leader that is silent for an election timeout
// loses its leadership.
type Capturer interface {
	// Capture returns a function that returns what Snapshot would return now.
	// The function is called once, by another goroutine.
	Capture() func() ([]byte, error)
}

const (
	// trailingFraction is the part of SnapshotEntries and of SnapshotLogBytes
	// that the log keeps behind a snapshot, so that a follower that is a little
	// late needs no snapshot.
	trailingFraction = 2
	// snapshotFraction is the part of the last snapshot's size that the log
	// must have grown by: it bounds what snapshots add to the writing.
	snapshotFraction = 4
	// entryOverheadBytes is about what an entry takes beside its command.
	entryOverheadBytes = 32
)

// snapshotJob is a snapshot that is being encoded and written.
type snapshotJob struct {
	// snapshot has its data once done has been received from.
	snapshot consensus.Snapshot
	done     chan error
}

// maybeSnapshot takes a snapshot when enough was applied since the last one,
// and puts the one in force that has been written meanwhile.
func (n *Node) maybeSnapshot() error {
	if n.job == nil && n.isSnapshotDue() {
		n.startSnapshot()
	}
	if n.job == nil {
		return nil
	}
	select {
	case err := <-n.job.done:
		job := n.job
		n.job = nil
		return n.finishSnapshot(job.snapshot, err)
	default:
		return nil
	}
}

func (n *Node) isSnapshotDue() bool {
	if n.applied == n.snapshotIndex || n.loggedBytes < n.snapshotBytes/snapshotFraction {
		return false
	}
	return n.applied-n.snapshotIndex >= n.config.SnapshotEntries || n.loggedBytes >= n.config.SnapshotLogBytes
}

func (n *Node) startSnapshot() {
	configuration, term := n.core.ConfigurationAt(n.applied)
	job := &snapshotJob{
		snapshot: consensus.Snapshot{Index: n.applied, Term: term, Configuration: configuration},
		done:     make(chan error, 1),
	}
	encode := n.captureState()
	n.job = job
	n.snapshotIndex = n.applied
	n.loggedBytes = 0
	n.background(func() { job.done <- n.writeSnapshot(job, encode) })
}

// captureState returns a function that encodes the present state.
func (n *Node) captureState() func() ([]byte, error) {
	if capturer, canCapture := n.config.StateMachine.(Capturer); canCapture {
		return capturer.Capture()
	}
	data, err := n.config.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// writeSnapshot runs in the background: it uses nothing of the node that changes.
func (n *Node) writeSnapshot(job *snapshotJob, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return fmt.Errorf("replica: snapshot at %d: %w", job.snapshot.Index, err)
	}
	job.snapshot.Data = data
	return n.storage.PrepareSnapshot(job.snapshot)
}

// finishSnapshot puts a written snapshot in force. A disk that refuses writes
// only delays the next one.
func (n *Node) finishSnapshot(snapshot consensus.Snapshot, err error) error {
	if err == nil {
		err = n.installPrepared(snapshot)
	}
	if errors.Is(err, storage.ErrNotWritten) {
		n.storage.RemovePrepared(snapshot.Index)
		return nil
	}
	return err
}

func (n *Node) installPrepared(snapshot consensus.Snapshot) error {
	keepAfter := n.core.StartOfTail(snapshot.Index,
		n.config.SnapshotEntries/trailingFraction, n.config.SnapshotLogBytes/trailingFraction)
	if err := n.storage.InstallPrepared(snapshot.Index, keepAfter); err != nil {
		return err
	}
	n.snapshotBytes = int64(len(snapshot.Data))
	n.core.Compact(snapshot, keepAfter)
	return nil
}

// awaitSnapshot waits for the writing in the background to end.
func (n *Node) awaitSnapshot() {
	if n.job != nil {
		<-n.job.done
		n.job = nil
	}
}
