package storage

import (
	"errors"
	"fmt"
	"syscall"
)

// Kinds of storage errors, for use with errors.Is.
var (
	// ErrCorrupt is returned if synced data can't be read back. The replica must
	// not vote; its data must be discarded so that it joins again as a new replica.
	ErrCorrupt = errors.New("storage is damaged")
	// ErrCopied is returned if a file of the log is a copy, for example one
	// restored from a backup. Votes and acknowledgements since the copy was made
	// are unknown. Errors that match it match ErrCorrupt too.
	ErrCopied = errors.New("data is a copy, which may be old")
	// ErrSyncFailed is returned if a sync failed. The state of the data on disk
	// is then unknown: the process must exit, and the sync must not be retried.
	ErrSyncFailed = errors.New("sync failed")
	// ErrDiskFull is returned if the disk or a quota has no space left. Such a
	// write error matches ErrNotWritten too.
	ErrDiskFull = errors.New("disk is full")
	// ErrNotWritten is returned if the operating system refused a write before
	// any sync. Nothing depends on the write: the call may be retried at any time.
	ErrNotWritten = errors.New("write was refused")
	// ErrFailed is returned if an earlier error made this storage unusable, or if
	// it is closed.
	ErrFailed = errors.New("storage has failed before")
	// ErrSnapshotTooLarge is returned if an encoded snapshot exceeds 4 GiB.
	ErrSnapshotTooLarge = errors.New("snapshot is too large")
	// ErrWrongGroup is returned if the folder belongs to another group.
	ErrWrongGroup = errors.New("data folder belongs to another group")
)

// CorruptionError is an ErrCorrupt error with the location of the damage.
type CorruptionError struct {
	Path string
	// Offset is the position of the damage in the file, in bytes.
	Offset int64
	Reason string
	// IsCopy is set if the only problem is that the file is a copy. The error then
	// matches ErrCopied.
	IsCopy bool
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.Path, e.Offset, e.Reason)
}

// Is makes errors.Is match ErrCorrupt, and ErrCopied if IsCopy is set.
func (e *CorruptionError) Is(target error) bool {
	return target == ErrCorrupt || e.IsCopy && target == ErrCopied
}

// IOError is a failed file system operation.
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

// Is makes errors.Is match ErrSyncFailed, ErrDiskFull and ErrNotWritten.
func (e *IOError) Is(target error) bool {
	switch target {
	case ErrNotWritten:
		return e.isTransientWriteError()
	case ErrSyncFailed:
		return e.Operation == operationSync
	case ErrDiskFull:
		return errors.Is(e.Err, syscall.ENOSPC) || errors.Is(e.Err, syscall.EDQUOT)
	default:
		return false
	}
}

// isTransientWriteError reports whether the operating system refused a write for a
// reason that may go away without intervention. A missing or read-only folder is
// not such a reason.
func (e *IOError) isTransientWriteError() bool {
	var number syscall.Errno
	return retryableOperations[e.Operation] && errors.As(e.Err, &number) && transientErrors[number]
}

// transientErrors are an exhausted disk, quota or file size limit, and I/O errors.
var transientErrors = map[syscall.Errno]bool{
	syscall.ENOSPC: true, syscall.EDQUOT: true, syscall.EFBIG: true, syscall.EIO: true,
}

// retryableOperations may be retried after a transient error. Syncs must not be.
var retryableOperations = map[string]bool{"create": true, "write": true, "truncate": true, "rename": true}

const operationSync = "sync"
