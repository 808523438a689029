package storage

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// State is a replica's state on disk.
type State struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	// Entries are contiguous; the first index is at most Snapshot.Index+1.
	Entries []consensus.Entry
}

// folderContent is what was read from a data folder.
type folderContent struct {
	// identity is nil if the folder has none.
	identity *Identity
	state    State
	segments []segment
	names    []string
	// isLogReplaced is set if the snapshot replaces all entries of the log.
	isLogReplaced bool
}

// readFolder reads a data folder without changing it.
func readFolder(fileSystem FileSystem, directory string) (*folderContent, error) {
	names, err := fileSystem.List(directory)
	if err != nil {
		return nil, &IOError{Operation: "list", Path: directory, Err: err}
	}
	result := &folderContent{names: names}
	result.identity, err = readIdentity(fileSystem, directory)
	if err != nil {
		return result, err
	}
	if err := result.checkFiles(directory); err != nil {
		return result, err
	}
	if result.identity == nil {
		return result, nil
	}
	result.state.Snapshot, err = readLatestSnapshot(fileSystem, directory, names)
	if err != nil {
		return result, err
	}
	return result, result.readSegments(fileSystem, directory)
}

// checkFiles returns a *CorruptionError for combinations of files that no crash
// can leave behind, and for a replica that was marked as damaged.
func (f *folderContent) checkFiles(directory string) error {
	segments := fileNumbers(f.names, segmentPrefix, segmentSuffix)
	snapshots := fileNumbers(f.names, snapshotPrefix, snapshotSuffix)
	if f.identity == nil && len(segments)+len(snapshots) > 0 {
		return &CorruptionError{Path: directory, Reason: "log without identity"}
	}
	if f.identity != nil && f.identity.Stage == StageDamaged {
		return &CorruptionError{Path: directory, Reason: "replica was found to lack what it had saved"}
	}
	if f.identity != nil && f.identity.Stage == StageMember && len(segments) == 0 {
		return &CorruptionError{Path: directory, Reason: "identity of a member without log"}
	}
	return nil
}

func (f *folderContent) readSegments(fileSystem FileSystem, directory string) error {
	sequences := fileNumbers(f.names, segmentPrefix, segmentSuffix)
	restored := replay{identity: *f.identity}
	for position, sequence := range sequences {
		if position > 0 && sequence != sequences[position-1]+1 {
			return &CorruptionError{Path: directory, Reason: fmt.Sprintf("segment %d is missing", sequence-1)}
		}
		isLast := position == len(sequences)-1
		loaded, err := readSegment(fileSystem, directory, sequence, isLast, &restored)
		f.segments = append(f.segments, loaded)
		if err != nil {
			return err
		}
	}
	if err := f.checkOnlySegment(); err != nil {
		return err
	}
	f.state.HardState = restored.hardState
	if err := f.combineLogAndSnapshot(directory, restored); err != nil {
		return err
	}
	return f.checkFileIdentities(fileSystem)
}

// checkOnlySegment returns a *CorruptionError if a member's only segment has no
// valid header. This can't be a torn write, as a segment's header is synced
// before earlier segments are removed and before the replica becomes a member.
// Creating the segment again would lose the term and vote, which are stored
// nowhere else.
func (f *folderContent) checkOnlySegment() error {
	if f.identity.Stage != StageMember || len(f.segments) != 1 || f.segments[0].frames > 0 {
		return nil
	}
	return &CorruptionError{Path: f.segments[0].path, Reason: "header of the only segment is damaged"}
}

// combineLogAndSnapshot checks that the snapshot and the entries leave no gap, and
// drops the entries if the snapshot replaces them: a crash between saving an
// installed snapshot and resetting the log leaves such entries.
func (f *folderContent) combineLogAndSnapshot(directory string, restored replay) error {
	snapshot := f.state.Snapshot
	entries := restored.entries
	if restored.resetIndex > snapshot.Index {
		return &CorruptionError{Path: directory, Reason: fmt.Sprintf("snapshot %d is missing", restored.resetIndex)}
	}
	if len(entries) == 0 {
		return nil
	}
	if entries[len(entries)-1].Index < snapshot.Index {
		f.isLogReplaced = true
		return nil
	}
	first := entries[0].Index
	if first > snapshot.Index+1 {
		return &CorruptionError{Path: directory, Reason: fmt.Sprintf("entries from %d to %d are missing", snapshot.Index+1, first-1)}
	}
	if first <= snapshot.Index && entries[snapshot.Index-first].Term != snapshot.Term {
		f.isLogReplaced = true
		return nil
	}
	f.state.Entries = entries
	return nil
}
