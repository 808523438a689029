package storage

import (
	"errors"
	"io"
	"math/rand/v2"
	"path"
	"strings"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options configures a replica's storage.
type Options struct {
	FileSystem FileSystem
	// Directory is the data folder, which no other replica may use.
	Directory string
	Group     uint64
	// Random generates the replica id for an empty folder.
	Random *rand.Rand
	// SegmentBytes is the size in bytes at which a new segment is started; zero
	// means DefaultSegmentBytes.
	SegmentBytes int64
}

// Storage is the open data folder of one replica. It is not safe for
// concurrent use, except for PrepareSnapshot. After a method returns an error
// it must not be used any more, unless the error wraps ErrNotWritten: then the
// call may be retried. All methods that save data, except PrepareSnapshot,
// enforce this with ErrFailed.
type Storage struct {
	options  Options
	lock     io.Closer
	identity Identity
	// hardState is the last saved hard state.
	hardState     consensus.HardState
	segments      []segment
	active        File
	snapshotIndex uint64
	buffer        []byte
	// isSealed is set while the last frame is an empty batch written by Seal, so
	// that damage to it loses nothing.
	isSealed bool
	// hasTornWrite is set while the active segment may hold part of a refused write
	// after its valid frames.
	hasTornWrite bool
	failure      error
	syncs        uint64
}

// Open opens or creates a data folder and returns the saved state. It returns
// an error that wraps ErrCorrupt if the data is damaged. A torn write at the end
// of the log is truncated.
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
	if err := s.removeTemporaryFiles(content.names); err != nil {
		return State{}, err
	}
	if err := s.loadIdentity(content); err != nil {
		return State{}, err
	}
	s.hardState = content.state.HardState
	s.snapshotIndex = content.state.Snapshot.Index
	s.segments = content.segments
	if err := s.openActiveSegment(); err != nil {
		return State{}, err
	}
	return content.state, s.finishRecovery(content)
}

// finishRecovery completes operations that a crash may have interrupted: it syncs
// the directory, and resets the log if an installed snapshot replaces it.
func (s *Storage) finishRecovery(content *folderContent) error {
	if err := syncDirectory(s.options.FileSystem, s.options.Directory); err != nil {
		return s.fail(err)
	}
	if !content.isLogReplaced {
		return nil
	}
	snapshot := content.state.Snapshot
	reset := batch{HardState: s.hardState, ResetIndex: snapshot.Index, ResetTerm: snapshot.Term}
	if err := s.appendBatch(reset); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Storage) loadIdentity(content *folderContent) error {
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

func (s *Storage) removeTemporaryFiles(names []string) error {
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

// openActiveSegment opens the last segment for appending. A segment without a
// valid header is created again, as a crash interrupted its creation.
func (s *Storage) openActiveSegment() error {
	if len(s.segments) == 0 {
		return s.addSegment(1)
	}
	last := &s.segments[len(s.segments)-1]
	if last.frames == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		return s.addSegment(last.sequence)
	}
	if err := s.rewriteSegment(last); err != nil {
		return s.fail(err)
	}
	file, err := s.options.FileSystem.OpenAppend(last.path)
	if err != nil {
		return &IOError{Operation: "open", Path: last.path, Err: err}
	}
	s.active = file
	return nil
}

// rewriteSegment replaces the last segment with a synced copy without the torn
// write. The data that was read may not be on disk: the process may have been
// killed before the sync, or have exited because the sync failed. After a failed
// sync, another sync of the same file succeeds although the data is lost.
func (s *Storage) rewriteSegment(last *segment) error {
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

// Identity returns the identity stored in the folder.
func (s *Storage) Identity() Identity { return s.identity }

// Syncs returns the number of log syncs since Open.
func (s *Storage) Syncs() uint64 { return s.syncs }

// InstallIdentity durably replaces the identity.
func (s *Storage) InstallIdentity(identity Identity) error {
	if s.failure != nil {
		return s.earlierFailure()
	}
	if err := WriteIdentity(s.options.FileSystem, s.options.Directory, identity); err != nil {
		return s.fail(err)
	}
	s.identity = identity
	return nil
}

// Close releases the folder without writing to it.
func (s *Storage) Close() error {
	if s.active != nil {
		_ = s.active.Close()
	}
	if s.failure == nil {
		s.failure = ErrFailed
	}
	return s.lock.Close()
}

// fail makes the storage unusable unless err is a refused write, and returns err.
func (s *Storage) fail(err error) error {
	if errors.Is(err, ErrNotWritten) {
		return err
	}
	s.failure = err
	return err
}

func (s *Storage) earlierFailure() error {
	return &failedError{cause: s.failure}
}

type failedError struct{ cause error }

func (e *failedError) Error() string { return ErrFailed.Error() + ": " + e.cause.Error() }

func (e *failedError) Unwrap() []error { return []error{ErrFailed, e.cause} }
