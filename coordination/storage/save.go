package storage

import (
	"errors"
	"path"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Save makes a hard state, entries and a snapshot durable with one sync of the
// log. The entries replace all saved ones from their first index on. The
// snapshot replaces the whole log; it may be nil. After ErrNotWritten all of them
// must be saved again before anything else.
func (s *Storage) Save(hardState consensus.HardState, entries []consensus.Entry, snapshot *consensus.Snapshot) error {
	if s.failure != nil {
		return s.earlierFailure()
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
		if err := s.removeObsoleteFiles(snapshot.Index); err != nil {
			return err
		}
	}
	return s.rotateEarly()
}

// rotateEarly starts a new segment after a save if the active one is full. If the
// disk refuses the write, the next batch starts the segment.
func (s *Storage) rotateEarly() error {
	err := s.rotateFullSegment()
	if errors.Is(err, ErrNotWritten) {
		return nil
	}
	return err
}

// installSnapshot makes a snapshot from the leader durable.
func (s *Storage) installSnapshot(snapshot consensus.Snapshot) error {
	if err := s.PrepareSnapshot(snapshot); err != nil {
		return err
	}
	return renameIntoPlace(s.options.FileSystem, s.options.Directory, snapshotName(snapshot.Index))
}

// MarkDamaged records that the folder has lost saved data. It does not open
// again until its data is discarded.
func (s *Storage) MarkDamaged() error {
	identity := s.identity
	identity.Stage = StageDamaged
	return s.InstallIdentity(identity)
}

// becomeMember records that the replica has saved state, such as votes, that it
// must not lose.
func (s *Storage) becomeMember() error {
	if s.identity.Stage == StageMember {
		return nil
	}
	identity := s.identity
	identity.Stage = StageMember
	return s.InstallIdentity(identity)
}

// maximumReusedBufferBytes bounds the capacity of the encoding buffer that is reused
// for the next batch.
const maximumReusedBufferBytes = 1 << 20

func (s *Storage) appendBatch(saved batch) error {
	if err := s.rotateFullSegment(); err != nil {
		return err
	}
	if err := s.truncateTornWrite(); err != nil {
		return err
	}
	active := &s.segments[len(s.segments)-1]
	frame, err := saved.MarshalMsg(append(s.buffer[:0], make([]byte, frameHeaderBytes)...))
	if err != nil {
		return err
	}
	if cap(frame) <= maximumReusedBufferBytes {
		s.buffer = frame
	}
	fillFrameHeader(frame, active.sequence, active.bytes)
	if _, err := s.active.Write(frame); err != nil {
		s.hasTornWrite = true
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

// Seal appends an empty batch unless Seal wrote the last one. Damage to the last
// batch can't be distinguished from a torn write; an empty batch after it makes
// the damage detectable. Call Seal if nothing has been saved for a while.
func (s *Storage) Seal() error {
	if s.failure != nil {
		return s.earlierFailure()
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

// truncateTornWrite removes what a refused write may have left, as no valid frame
// may follow an invalid one.
func (s *Storage) truncateTornWrite() error {
	if !s.hasTornWrite {
		return nil
	}
	active := s.segments[len(s.segments)-1]
	if err := s.active.Truncate(active.bytes); err != nil {
		return &IOError{Operation: "truncate", Path: active.path, Err: err}
	}
	s.hasTornWrite = false
	return nil
}

// rotateFullSegment starts a new segment if the active one is full. Nothing is
// appended to a segment once its successor may have been created.
func (s *Storage) rotateFullSegment() error {
	active := s.segments[len(s.segments)-1]
	if active.bytes < s.options.SegmentBytes {
		return nil
	}
	return s.addSegment(active.sequence + 1)
}

// removeObsoleteFiles removes the snapshots before the current one, and the leading
// segments whose entries all have an index of at most compactIndex. It keeps the
// active segment.
func (s *Storage) removeObsoleteFiles(compactIndex uint64) error {
	names, err := s.options.FileSystem.List(s.options.Directory)
	if err != nil {
		return s.fail(&IOError{Operation: "list", Path: s.options.Directory, Err: err})
	}
	for _, index := range fileNumbers(names, snapshotPrefix, snapshotSuffix) {
		if index >= s.snapshotIndex {
			continue
		}
		if err := s.remove(path.Join(s.options.Directory, snapshotName(index))); err != nil {
			return err
		}
	}
	return s.removeSegments(compactIndex)
}

// removeSegments removes the oldest segments first and syncs the directory after
// each, so that a crash can't leave a gap between segments.
func (s *Storage) removeSegments(compactIndex uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= compactIndex {
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
