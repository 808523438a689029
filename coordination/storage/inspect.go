package storage

import (
	"errors"
	"path"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Report describes the content of a data folder.
type Report struct {
	// Identity is nil if the folder has none.
	Identity *Identity
	// HardState is zero if the log could not be read.
	HardState consensus.HardState
	// Snapshot is the latest snapshot without its data.
	Snapshot      consensus.Snapshot
	SnapshotBytes int
	// FirstIndex and LastIndex are the indexes of the first and last entry in the
	// log, or zero if it is empty.
	FirstIndex uint64
	LastIndex  uint64
	Segments   []SegmentReport
	// Damage is the corruption that makes the folder unusable, or nil.
	Damage *CorruptionError
}

// SegmentReport describes a segment file.
type SegmentReport struct {
	Name  string
	Bytes int64
	// Frames is the number of valid frames, including the header.
	Frames    int
	LastIndex uint64
	// TornBytes is the length of a torn write at the end, which the next Open
	// truncates.
	TornBytes int64
}

// Inspect reads a data folder without changing or locking it. Damage is returned
// in the Report, not as an error.
func Inspect(fileSystem FileSystem, directory string) (Report, error) {
	content, err := readFolder(fileSystem, directory)
	var damage *CorruptionError
	if err != nil && !errors.As(err, &damage) {
		return Report{}, err
	}
	report := Report{
		Identity:      content.identity,
		HardState:     content.state.HardState,
		Snapshot:      content.state.Snapshot,
		SnapshotBytes: len(content.state.Snapshot.Data),
		Damage:        damage,
	}
	report.Snapshot.Data = nil
	if entries := content.state.Entries; len(entries) > 0 {
		report.FirstIndex, report.LastIndex = entries[0].Index, entries[len(entries)-1].Index
	}
	for _, loaded := range content.segments {
		report.Segments = append(report.Segments, SegmentReport{
			Name:      path.Base(loaded.path),
			Bytes:     loaded.bytes,
			Frames:    loaded.frames,
			LastIndex: loaded.lastIndex,
			TornBytes: loaded.tornBytes,
		})
	}
	return report, nil
}

// ReadState reads the saved state of a data folder without changing or locking it.
func ReadState(fileSystem FileSystem, directory string) (State, error) {
	content, err := readFolder(fileSystem, directory)
	if err != nil {
		return State{}, err
	}
	return content.state, nil
}

// Verify reads a data folder and returns a *CorruptionError if it is damaged.
func Verify(fileSystem FileSystem, directory string) error {
	_, err := readFolder(fileSystem, directory)
	return err
}

// Discard removes all data of a replica, its identity last. Opening the folder
// afterwards creates a new replica, which joins as a learner.
func Discard(fileSystem FileSystem, directory string) error {
	lock, err := fileSystem.Lock(directory)
	if err != nil {
		return &IOError{Operation: "lock", Path: directory, Err: err}
	}
	defer func() { _ = lock.Close() }()
	names, err := fileSystem.List(directory)
	if err != nil {
		return &IOError{Operation: "list", Path: directory, Err: err}
	}
	for _, name := range names {
		if !isDataFile(name) || name == identityName {
			continue
		}
		if err := fileSystem.Remove(path.Join(directory, name)); err != nil {
			return &IOError{Operation: "remove", Path: name, Err: err}
		}
	}
	if err := syncDirectory(fileSystem, directory); err != nil {
		return err
	}
	return discardIdentity(fileSystem, directory, names)
}

func discardIdentity(fileSystem FileSystem, directory string, names []string) error {
	for _, name := range names {
		if name != identityName {
			continue
		}
		if err := fileSystem.Remove(path.Join(directory, name)); err != nil {
			return &IOError{Operation: "remove", Path: name, Err: err}
		}
	}
	return syncDirectory(fileSystem, directory)
}

func isDataFile(name string) bool {
	if name == identityName || path.Ext(name) == temporarySuffix {
		return true
	}
	_, isSegment := parseNumberedName(name, segmentPrefix, segmentSuffix)
	_, isSnapshot := parseNumberedName(name, snapshotPrefix, snapshotSuffix)
	return isSegment || isSnapshot
}
