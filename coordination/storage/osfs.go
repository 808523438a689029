package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const (
	lockName       = "lock"
	filePermission = 0o600
	// directoryPermission keeps other users out of the data.
	directoryPermission = 0o700
)

// ErrLocked is returned if another process uses the folder.
var ErrLocked = errors.New("data folder is in use by another process")

// OSFileSystem implements FileSystem with the files of the operating system.
type OSFileSystem struct{}

var _ FileSystem = OSFileSystem{}

// MakeDirectory implements FileSystem. It syncs the parents up to the root, or up
// to the first one that the process has no permission to open.
func (OSFileSystem) MakeDirectory(path string) error {
	path, err := filepath.Abs(path)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(path, directoryPermission); err != nil {
		return err
	}
	for parent := filepath.Dir(path); ; parent = filepath.Dir(parent) {
		if err := (OSFileSystem{}).SyncDirectory(parent); err != nil {
			if errors.Is(err, os.ErrPermission) {
				return nil
			}
			return err
		}
		if parent == filepath.Dir(parent) {
			return nil
		}
	}
}

// List implements FileSystem.
func (OSFileSystem) List(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// OpenAppend implements FileSystem.
func (OSFileSystem) OpenAppend(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDirectory implements FileSystem.
func (OSFileSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := directory.Sync(); err != nil {
		_ = directory.Close()
		return err
	}
	return directory.Close()
}

// Lock implements FileSystem with an advisory lock on a file in the directory.
func (OSFileSystem) Lock(directory string) (io.Closer, error) {
	path := filepath.Join(directory, lockName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("flock %s: %w", path, err)
	}
	return file, nil
}
