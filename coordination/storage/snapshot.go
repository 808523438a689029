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

// writeSnapshot writes and syncs a snapshot under a temporary name.
func writeSnapshot(fileSystem FileSystem, directory string, snapshot consensus.Snapshot) error {
	frame, err := snapshot.MarshalMsg(make([]byte, frameHeaderBytes, frameHeaderBytes+snapshot.Msgsize()))
	if err != nil {
		return err
	}
	if len(frame)-frameHeaderBytes > math.MaxUint32 {
		return fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(frame))
	}
	fillFrameHeader(frame, 0, 0)
	name := path.Join(directory, snapshotName(snapshot.Index)+temporarySuffix)
	return writeSynced(fileSystem, name, func(FileIdentity) ([]byte, error) { return frame, nil })
}

// PrepareSnapshot writes a snapshot of the applied state, which takes effect only
// with InstallPreparedSnapshot. It may be called concurrently with all other
// methods, but not with itself and not after Close. It does not mark the storage
// as failed: after an error that does not match ErrNotWritten the caller must stop
// using it.
func (s *Storage) PrepareSnapshot(snapshot consensus.Snapshot) error {
	return writeSnapshot(s.options.FileSystem, s.options.Directory, snapshot)
}

// InstallPreparedSnapshot makes the snapshot written by PrepareSnapshot the
// current one and removes the segments whose entries all have an index of at most
// compactIndex, which is limited to index. If the current snapshot is as recent or
// more recent, it removes the prepared one instead.
func (s *Storage) InstallPreparedSnapshot(index, compactIndex uint64) error {
	if s.failure != nil {
		return s.earlierFailure()
	}
	if index <= s.snapshotIndex {
		s.RemovePreparedSnapshot(index)
		return nil
	}
	if err := renameIntoPlace(s.options.FileSystem, s.options.Directory, snapshotName(index)); err != nil {
		return s.fail(err)
	}
	s.snapshotIndex = index
	return s.removeObsoleteFiles(min(compactIndex, index))
}

// RemovePreparedSnapshot frees the space of a prepared snapshot that could not be
// written or is no longer needed.
func (s *Storage) RemovePreparedSnapshot(index uint64) {
	name := path.Join(s.options.Directory, snapshotName(index)+temporarySuffix)
	// If this fails, the next Open removes the file.
	_ = s.options.FileSystem.Remove(name)
}

// SaveSnapshot calls PrepareSnapshot and InstallPreparedSnapshot. After an error that
// matches ErrNotWritten the storage remains usable; the log is only kept longer.
func (s *Storage) SaveSnapshot(snapshot consensus.Snapshot, compactIndex uint64) error {
	if s.failure != nil {
		return s.earlierFailure()
	}
	if snapshot.Index <= s.snapshotIndex {
		return nil
	}
	err := s.PrepareSnapshot(snapshot)
	if errors.Is(err, ErrNotWritten) {
		s.RemovePreparedSnapshot(snapshot.Index)
		return err
	}
	if err != nil {
		return s.fail(err)
	}
	return s.InstallPreparedSnapshot(snapshot.Index, compactIndex)
}

// readLatestSnapshot returns the snapshot with the highest index. Damage to it is
// an error, because the log before it may have been removed.
func readLatestSnapshot(fileSystem FileSystem, directory string, names []string) (consensus.Snapshot, error) {
	var snapshot consensus.Snapshot
	indexes := fileNumbers(names, snapshotPrefix, snapshotSuffix)
	if len(indexes) == 0 {
		return snapshot, nil
	}
	name := path.Join(directory, snapshotName(indexes[len(indexes)-1]))
	content, err := fileSystem.ReadFile(name)
	if err != nil {
		return snapshot, &IOError{Operation: "read", Path: name, Err: err}
	}
	payload, err := decodeFrameFile(content)
	if err != nil {
		return snapshot, &CorruptionError{Path: name, Reason: err.Error()}
	}
	if _, err := snapshot.UnmarshalMsg(payload); err != nil {
		return snapshot, &CorruptionError{Path: name, Reason: err.Error()}
	}
	return snapshot, nil
}
