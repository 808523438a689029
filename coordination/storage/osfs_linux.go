package storage

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// Identify implements FileSystem. The identity consists of the inode number and,
// on file systems that record it, the creation time.
func (OSFileSystem) Identify(path string) (FileIdentity, error) {
	var found unix.Statx_t
	err := unix.Statx(unix.AT_FDCWD, path, unix.AT_STATX_SYNC_AS_STAT, unix.STATX_INO|unix.STATX_BTIME, &found)
	if errors.Is(err, unix.ENOSYS) {
		return FileIdentity{}, nil
	}
	if err != nil {
		return FileIdentity{}, &os.PathError{Op: "statx", Path: path, Err: err}
	}
	var created int64
	if found.Mask&unix.STATX_BTIME != 0 {
		created = found.Btime.Sec*nanosPerSecond + int64(found.Btime.Nsec)
	}
	return NewFileIdentity(found.Ino, created), nil
}

const nanosPerSecond = 1_000_000_000
