package storage

import (
	"errors"
	"path"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Save makes a hard state, the entries that replace all saved ones from their
// first position on, and a snapshot that replaces the whole log durable, with
// one sync of the log. The snapshot may be nil. After ErrNotWritten all of it
// has to be saved again before anything else.
func (s *Storage) Save(hardState consensus.HardState, entries []consensus.Entry, snapshot *consensus.Snapshot) error {
	if s.failure != nil {
		return s.failed()
	}
	if err := s.becomeMember(); err != nil {
		return err
	}
	saved := batch{HardState: hardState, Entries: entries}
	if snapshot != nil {
		if err := s.installSnapshot(*snapshot); err != nil {
			return s.fail(err)
		}
		saved.ResetIndex, saved.ResetTerm = snapshot.Index, snapshot.Term
	}
	if err := s.appendBatch(saved); err != nil {
		return s.fail(err)
	}
	if snapshot != nil {
		s.snapshotIndex = snapshot.Index
		if err := s.removeBefore(snapshot.Index); err != nil {
			return err
		}
	}
	return s.closeEarly()
}

// closeEarly begins a new segment before it is needed. If the disk refuses that,
// the next batch begins it.
func (s *Storage) closeEarly() error {
	err := s.closeFullSegment()
	if errors.Is(err, ErrNotWritten) {
		return nil
	}
	return err
}

// installSnapshot makes a snapshot durable that came from the leader.
func (s *Storage) installSnapshot(snapshot consensus.Snapshot) error {
	if err := s.PrepareSnapshot(snapshot); err != nil {
		return err
	}
	return renameIntoPlace(s.options.FileSystem, s.options.Directory, snapshotName(snapshot.Index))
}

// MarkDamaged records that the folder lacks what was once saved in it. It does
// not open again until it is discarded.
func (s *Storage) MarkDamaged() error {
	identity := s.identity
	identity.Stage = StageDamaged
	return s.InstallIdentity(identity)
}

// becomeMember records that the folder holds promises from now on.
func (s *Storage) becomeMember() error {
	if s.identity.Stage == StageMember {
		return nil
	}
	identity := s.identity
	identity.Stage = StageMember
	return s.InstallIdentity(identity)
}

// maxKeptBuffer bounds the memory in bytes that is kept for the next batch.
const maxKeptBuffer = 1 << 20

func (s *Storage) appendBatch(saved batch) error {
	if err := s.closeFullSegment(); err != nil {
		return err
	}
	if err := s.cutTornWrite(); err != nil {
		return err
	}
	active := &s.segments[len(s.segments)-1]
	frame, err := saved.MarshalMsg(append(s.buffer[:0], make([]byte, frameHeaderBytes)...))
	if err != nil {
		return err
	}
	if cap(frame) <= maxKeptBuffer {
		s.buffer = frame
	}
	sealFrame(frame, active.sequence, active.bytes)
	if _, err := s.active.Write(frame); err != nil {
		s.isTorn = true
		return &IOError{Operation: "write", Path: active.path, Err: err}
	}
	if err := s.syncActive(); err != nil {
		return err
	}
	s.hardState = saved.HardState
	s.isSealed = false
	active.bytes += int64(len(frame))
	active.frames++
	if count := len(saved.Entries); count > 0 {
		active.lastIndex = max(active.lastIndex, saved.Entries[count-1].Index)
	}
	return nil
}

// Seal appends an empty batch unless the last one is empty already. Damage to
// the very last batch can't be told from a torn write; a seal behind it makes
// it recognisable. Call it when nothing was saved for a while.
func (s *Storage) Seal() error {
	if s.failure != nil {
		return s.failed()
	}
	if s.isSealed {
		return nil
	}
	if err := s.appendBatch(batch{HardState: s.hardState}); err != nil {
		return s.fail(err)
	}
	s.isSealed = true
	return nil
}

func (s *Storage) syncActive() error {
	s.syncs++
	if err := s.active.Sync(); err != nil {
		return s.fail(&IOError{Operation: operationSync, Path: s.segments[len(s.segments)-1].path, Err: err})
	}
	return nil
}

// cutTornWrite removes what a refused write may have left: no valid frame may
// stand behind it.
func (s *Storage) cutTornWrite() error {
	if !s.isTorn {
		return nil
	}
	active := s.segments[len(s.segments)-1]
	if err := s.active.Truncate(active.bytes); err != nil {
		return &IOError{Operation: "truncate", Path: active.path, Err: err}
	}
	s.isTorn = false
	return nil
}

// closeFullSegment begins a new segment if the active one is full. Nothing more
// is written to a segment once its successor may have been created.
func (s *Storage) closeFullSegment() error {
	active := s.segments[len(s.segments)-1]
	if active.bytes < s.options.SegmentBytes {
		return nil
	}
	return s.addSegment(active.sequence + 1)
}

// removeBefore removes older snapshots and the leading segments that hold only
// entries up to keepAfter. The active segment stays.
func (s *Storage) removeBefore(keepAfter uint64) error {
	names, err := s.options.FileSystem.List(s.options.Directory)
	if err != nil {
		return s.fail(&IOError{Operation: "list", Path: s.options.Directory, Err: err})
	}
	for _, index := range numberedFiles(names, snapshotPrefix, snapshotSuffix) {
		if index >= s.snapshotIndex {
			continue
		}
		if err := s.remove(path.Join(s.options.Directory, snapshotName(index))); err != nil {
			return err
		}
	}
	return s.removeSegments(keepAfter)
}

// removeSegments removes from the front and syncs the folder after each, so
// that a crash can't leave a gap between segments.
func (s *Storage) removeSegments(keepAfter uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= keepAfter {
		if err := s.remove(s.segments[0].path); err != nil {
			return err
		}
		if err := syncDirectory(s.options.FileSystem, s.options.Directory); err != nil {
			return s.fail(err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

func (s *Storage) remove(name string) error {
	if err := s.options.FileSystem.Remove(name); err != nil {
		return s.fail(&IOError{Operation: "remove", Path: name, Err: err})
	}
	return nil
}
