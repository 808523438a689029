package storage

import (
	"errors"
	"io"
	"math/rand/v2"
	"path"
	"strings"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// DefaultSegmentBytes is the size at which a segment is closed.
const DefaultSegmentBytes = 8 << 20

// Options describes a replica's storage.
type Options struct {
	FileSystem FileSystem
	// Directory is used by this replica alone.
	Directory string
	Group     uint64
	// Random draws the replica id of an empty folder.
	Random *rand.Rand
	// SegmentBytes is the size at which a segment is closed.
	SegmentBytes int64
}

// Storage is the open data folder of one replica. It is not safe for
// concurrent use. After an error of a method it is unusable, unless the error
// wraps ErrNotWritten: then the call may be made again.
type Storage struct {
	options  Options
	lock     io.Closer
	identity Identity
	// hardState is the last one saved.
	hardState     consensus.HardState
	segments      []segment
	active        File
	snapshotIndex uint64
	buffer        []byte
	// isSealed says that the last frame holds nothing that could be lost.
	isSealed bool
	// isTorn says that the active segment may hold a part of a refused write
	// behind its valid frames.
	isTorn  bool
	failure error
	syncs   uint64
}

// Open opens or creates a data folder and returns what is in it. Damage gives
// an error that wraps ErrCorrupt. A torn write at the log's end is cut off.
func Open(options Options) (*Storage, State, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if err := options.FileSystem.MakeDirectory(options.Directory); err != nil {
		return nil, State{}, &IOError{Operation: "create", Path: options.Directory, Err: err}
	}
	lock, err := options.FileSystem.Lock(options.Directory)
	if err != nil {
		return nil, State{}, &IOError{Operation: "lock", Path: options.Directory, Err: err}
	}
	storage := &Storage{options: options, lock: lock}
	state, err := storage.load()
	if err != nil {
		_ = lock.Close()
		return nil, State{}, err
	}
	return storage, state, nil
}

func (s *Storage) load() (State, error) {
	content, err := readFolder(s.options.FileSystem, s.options.Directory)
	if err != nil {
		return State{}, err
	}
	if err := s.removeTemporary(content.names); err != nil {
		return State{}, err
	}
	if err := s.loadIdentity(content); err != nil {
		return State{}, err
	}
	s.hardState = content.state.HardState
	s.snapshotIndex = content.state.Snapshot.Index
	s.segments = content.segments
	if err := s.openActive(); err != nil {
		return State{}, err
	}
	return content.state, s.finishOpening(content)
}

// finishOpening completes what a crash has cut short: the folder's entries are
// synced, and a log that an installed snapshot replaces is reset.
func (s *Storage) finishOpening(content *folder) error {
	if err := syncDirectory(s.options.FileSystem, s.options.Directory); err != nil {
		return s.fail(err)
	}
	if !content.isReplaced {
		return nil
	}
	snapshot := content.state.Snapshot
	reset := batch{HardState: s.hardState, ResetIndex: snapshot.Index, ResetTerm: snapshot.Term}
	if err := s.appendBatch(reset); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Storage) loadIdentity(content *folder) error {
	if content.identity == nil {
		identity := newIdentity(s.options.Group, s.options.Random)
		return s.InstallIdentity(identity)
	}
	s.identity = *content.identity
	if s.identity.Group != s.options.Group {
		return ErrWrongGroup
	}
	return nil
}

func (s *Storage) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		name = path.Join(s.options.Directory, name)
		if err := s.options.FileSystem.Remove(name); err != nil {
			return &IOError{Operation: "remove", Path: name, Err: err}
		}
	}
	return nil
}

// openActive makes the last segment ready for appending; a segment whose
// creation was cut short is created again.
func (s *Storage) openActive() error {
	if len(s.segments) == 0 {
		return s.addSegment(1)
	}
	last := &s.segments[len(s.segments)-1]
	if last.frames == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		return s.addSegment(last.sequence)
	}
	if err := s.rewrite(last); err != nil {
		return s.fail(err)
	}
	file, err := s.options.FileSystem.OpenAppend(last.path)
	if err != nil {
		return &IOError{Operation: "open", Path: last.path, Err: err}
	}
	s.active = file
	return nil
}

// rewrite replaces the last segment by a synced copy without its torn write.
// What was read may never have reached the disk: the process may have been
// killed before its sync, or have ended because the sync failed, after which
// another sync of the same file succeeds although the data is lost.
func (s *Storage) rewrite(last *segment) error {
	content, err := s.options.FileSystem.ReadFile(last.path)
	if err != nil {
		return &IOError{Operation: "read", Path: last.path, Err: err}
	}
	return replaceSegment(s.options.FileSystem, s.options.Directory, last, content)
}

func (s *Storage) addSegment(sequence uint64) error {
	header := segmentHeader{
		Format: formatVersion, Group: s.identity.Group, ReplicaID: s.identity.ReplicaID, HardState: s.hardState,
	}
	file, created, err := createSegment(s.options.FileSystem, s.options.Directory, sequence, header)
	if err != nil {
		return s.fail(err)
	}
	if s.active != nil {
		_ = s.active.Close()
	}
	s.active = file
	s.segments = append(s.segments, created)
	return nil
}

// Identity returns the identity in the folder.
func (s *Storage) Identity() Identity { return s.identity }

// Syncs returns the number of syncs of the log since Open.
func (s *Storage) Syncs() uint64 { return s.syncs }

// InstallIdentity makes a changed identity durable.
func (s *Storage) InstallIdentity(identity Identity) error {
	if s.failure != nil {
		return s.failed()
	}
	if err := WriteIdentity(s.options.FileSystem, s.options.Directory, identity); err != nil {
		return s.fail(err)
	}
	s.identity = identity
	return nil
}

// Close closes the folder without writing to it.
func (s *Storage) Close() error {
	if s.active != nil {
		_ = s.active.Close()
	}
	if s.failure == nil {
		s.failure = ErrFailed
	}
	return s.lock.Close()
}

// fail ends the use of the storage, except after a refused write.
func (s *Storage) fail(err error) error {
	if errors.Is(err, ErrNotWritten) {
		return err
	}
	s.failure = err
	return err
}

func (s *Storage) failed() error {
	return &failedError{cause: s.failure}
}

type failedError struct{ cause error }

func (e *failedError) Error() string { return ErrFailed.Error() + ": " + e.cause.Error() }

func (e *failedError) Unwrap() []error { return []error{ErrFailed, e.cause} }
