package storage

import (
	"errors"
	"fmt"
	"syscall"
)

// The kinds of storage errors, to be tested with errors.Is.
var (
	// ErrCorrupt says that data that had been synced can't be read back. The
	// replica must not vote; it is to be discarded and to join again as new.
	ErrCorrupt = errors.New("storage is damaged")
	// ErrCopied says that a file of the log is a copy, such as one that was
	// restored from a backup. What was promised since it was made is unknown.
	// It is a kind of ErrCorrupt.
	ErrCopied = errors.New("data is a copy, which may be old")
	// ErrSyncFailed says that a sync failed, after which nothing is known of
	// the data on disk. The process has to end; the sync is never repeated.
	ErrSyncFailed = errors.New("sync failed")
	// ErrDiskFull says that the disk has no space left. It is a kind of
	// ErrNotWritten.
	ErrDiskFull = errors.New("disk is full")
	// ErrNotWritten says that the operating system has refused a write before
	// any sync. Nothing rests on it: the call may be made again, at any time.
	ErrNotWritten = errors.New("write was refused")
	// ErrFailed says that an earlier error has ended the use of this storage.
	ErrFailed = errors.New("storage has failed before")
	// ErrSnapshotTooLarge says that a snapshot is over 4 GiB.
	ErrSnapshotTooLarge = errors.New("snapshot is too large")
	// ErrWrongGroup says that the folder belongs to another group.
	ErrWrongGroup = errors.New("data folder belongs to another group")
)

// CorruptionError is ErrCorrupt with the place of the damage.
type CorruptionError struct {
	Path string
	// Offset is the position of the damage in the file in bytes.
	Offset int64
	Reason string
	// IsCopy makes errors.Is(err, ErrCopied) hold: nothing but the copying is
	// wrong.
	IsCopy bool
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.Path, e.Offset, e.Reason)
}

// Is makes errors.Is hold for ErrCorrupt and ErrCopied.
func (e *CorruptionError) Is(target error) bool {
	return target == ErrCorrupt || e.IsCopy && target == ErrCopied
}

// IOError is a failed operation on a file.
type IOError struct {
	Operation string
	Path      string
	Err       error
}

// Error implements error.
func (e *IOError) Error() string {
	return fmt.Sprintf("storage: %s %s: %v", e.Operation, e.Path, e.Err)
}

// Unwrap returns the operating system's error.
func (e *IOError) Unwrap() error { return e.Err }

// Is makes errors.Is hold for ErrSyncFailed, ErrDiskFull and ErrNotWritten.
func (e *IOError) Is(target error) bool {
	switch target {
	case ErrNotWritten:
		return e.isRefusal()
	case ErrSyncFailed:
		return e.Operation == operationSync
	case ErrDiskFull:
		return errors.Is(e.Err, syscall.ENOSPC) || errors.Is(e.Err, syscall.EDQUOT)
	default:
		return false
	}
}

// isRefusal reports whether the operating system has refused to write for a reason that
// may pass. A folder that is missing or may not be written is none.
func (e *IOError) isRefusal() bool {
	var number syscall.Errno
	return writeOperations[e.Operation] && errors.As(e.Err, &number) && passingRefusals[number]
}

// passingRefusals are a disk, a quota or a limit that is used up, and a disk that fails.
var passingRefusals = map[syscall.Errno]bool{
	syscall.ENOSPC: true, syscall.EDQUOT: true, syscall.EFBIG: true, syscall.EIO: true,
}

// writeOperations may be tried again after the operating system has refused them.
var writeOperations = map[string]bool{"create": true, "write": true, "truncate": true, "rename": true}

const operationSync = "sync"
