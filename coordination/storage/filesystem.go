package storage

import (
	"encoding/binary"
	"io"
)

// FileSystem is the set of file system operations that the storage needs. Paths
// use forward slashes.
type FileSystem interface {
	// MakeDirectory creates a directory and its missing parents and syncs their
	// directory entries.
	MakeDirectory(path string) error
	// List returns the names of the files in a directory in ascending order.
	List(directory string) ([]string, error)
	// ReadFile returns the whole content of a file.
	ReadFile(path string) ([]byte, error)
	// Identify returns a file's identity, which differs from that of every other
	// file, copies included, and does not change when the file is renamed. It
	// returns zero if the identity is unknown.
	Identify(path string) (FileIdentity, error)
	// Create creates a file, or truncates an existing one, and opens it for writing.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// Rename atomically renames oldPath to newPath, replacing an existing file.
	Rename(oldPath, newPath string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDirectory makes the creation, renaming and removal of files in a
	// directory durable.
	SyncDirectory(path string) error
	// Lock takes an exclusive lock on a directory, which is released when the
	// process ends.
	Lock(directory string) (io.Closer, error)
}

// FileIdentity identifies a file among all files that ever existed on a file
// system. Zero means that the identity is unknown.
type FileIdentity [16]byte

// NewFileIdentity returns the identity of a file with an inode number and a
// creation time in nanoseconds, 0 if unknown. The time distinguishes the file
// from earlier ones with the same number.
func NewFileIdentity(number uint64, createdNanos int64) FileIdentity {
	var identity FileIdentity
	binary.LittleEndian.PutUint64(identity[:8], number)
	binary.LittleEndian.PutUint64(identity[8:], uint64(createdNanos))
	return identity
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	io.Closer
	// Sync makes all data written so far durable.
	Sync() error
	// Truncate shortens the file to size bytes; later writes append from there.
	Truncate(size int64) error
}
