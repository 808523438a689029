package storage

import (
	"errors"
	"fmt"
	"math"
	"path"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snapshot"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// writeSnapshot makes a snapshot durable under a temporary name.
func writeSnapshot(fileSystem FileSystem, directory string, snapshot consensus.Snapshot) error {
	frame, err := snapshot.MarshalMsg(make([]byte, frameHeaderBytes, frameHeaderBytes+snapshot.Msgsize()))
	if err != nil {
		return err
	}
	if len(frame)-frameHeaderBytes > math.MaxUint32 {
		return fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(frame))
	}
	sealFrame(frame, 0, 0)
	name := path.Join(directory, snapshotName(snapshot.Index)+temporarySuffix)
	return writeSynced(fileSystem, name, func(FileIdentity) ([]byte, error) { return frame, nil })
}

// PrepareSnapshot writes a snapshot of the applied state without putting it in
// force. It may run at the same time as all other methods, but only once at a
// time and not after Close.
func (s *Storage) PrepareSnapshot(snapshot consensus.Snapshot) error {
	return writeSnapshot(s.options.FileSystem, s.options.Directory, snapshot)
}

// InstallPrepared puts the snapshot in force that PrepareSnapshot has written,
// unless a later one is, and removes the segments whose entries all lie at or
// before keepAfter, which must not lie beyond index.
func (s *Storage) InstallPrepared(index, keepAfter uint64) error {
	if s.failure != nil {
		return s.failed()
	}
	if index <= s.snapshotIndex {
		s.RemovePrepared(index)
		return nil
	}
	if err := renameIntoPlace(s.options.FileSystem, s.options.Directory, snapshotName(index)); err != nil {
		return s.fail(err)
	}
	s.snapshotIndex = index
	return s.removeBefore(min(keepAfter, index))
}

// RemovePrepared gives the space of a snapshot back that could not be written
// or is not wanted any more.
func (s *Storage) RemovePrepared(index uint64) {
	name := path.Join(s.options.Directory, snapshotName(index)+temporarySuffix)
	// The file is removed at the next start if this fails.
	_ = s.options.FileSystem.Remove(name)
}

// SaveSnapshot is PrepareSnapshot and InstallPrepared in one. An error that is
// ErrNotWritten leaves the storage usable: the log then only stays longer.
func (s *Storage) SaveSnapshot(snapshot consensus.Snapshot, keepAfter uint64) error {
	if s.failure != nil {
		return s.failed()
	}
	if snapshot.Index <= s.snapshotIndex {
		return nil
	}
	err := s.PrepareSnapshot(snapshot)
	if errors.Is(err, ErrNotWritten) {
		s.RemovePrepared(snapshot.Index)
		return err
	}
	if err != nil {
		return s.fail(err)
	}
	return s.InstallPrepared(snapshot.Index, keepAfter)
}

// readLatestSnapshot returns the snapshot with the highest index. Its damage is
// an error, because the log before it may be gone.
func readLatestSnapshot(fileSystem FileSystem, directory string, names []string) (consensus.Snapshot, error) {
	var snapshot consensus.Snapshot
	indexes := numberedFiles(names, snapshotPrefix, snapshotSuffix)
	if len(indexes) == 0 {
		return snapshot, nil
	}
	name := path.Join(directory, snapshotName(indexes[len(indexes)-1]))
	content, err := fileSystem.ReadFile(name)
	if err != nil {
		return snapshot, &IOError{Operation: "read", Path: name, Err: err}
	}
	payload, err := decodeWhole(content)
	if err != nil {
		return snapshot, &CorruptionError{Path: name, Reason: err.Error()}
	}
	if _, err := snapshot.UnmarshalMsg(payload); err != nil {
		return snapshot, &CorruptionError{Path: name, Reason: err.Error()}
	}
	return snapshot, nil
}
