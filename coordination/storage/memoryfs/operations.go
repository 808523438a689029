package memoryfs

import (
	"io"
	"io/fs"
	"path"

	"github.com/pierhaven/pierhaven/coordination/storage"
)

var _ storage.FileSystem = (*FileSystem)(nil)

// MakeDirectory implements storage.FileSystem.
func (f *FileSystem) MakeDirectory(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	name = path.Clean(name)
	if _, found := f.directories[name]; !found {
		f.directories[name] = &directory{entries: map[string]*inode{}, durable: map[string]*inode{}}
	}
	return nil
}

// List implements storage.FileSystem.
func (f *FileSystem) List(name string) ([]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	folder, found := f.directories[path.Clean(name)]
	if !found {
		return nil, notExist("list", name)
	}
	return sortedKeys(folder.entries), nil
}

// ReadFile implements storage.FileSystem.
func (f *FileSystem) ReadFile(name string) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file, err := f.find(name)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), file.data...), nil
}

// Create implements storage.FileSystem.
func (f *FileSystem) Create(name string) (storage.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return nil, err
	}
	folder, found := f.directories[path.Dir(path.Clean(name))]
	if !found {
		return nil, notExist("create", name)
	}
	file, found := folder.entries[path.Base(name)]
	if !found {
		f.inodeCount++
		file = &inode{number: f.inodeCount}
		folder.entries[path.Base(name)] = file
	}
	file.data = nil
	return &handle{fileSystem: f, file: file, generation: f.generation}, nil
}

// Identify implements storage.FileSystem.
func (f *FileSystem) Identify(name string) (storage.FileIdentity, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file, err := f.find(name)
	if err != nil {
		return storage.FileIdentity{}, err
	}
	return storage.NewFileIdentity(file.number, 0), nil
}

// OpenAppend implements storage.FileSystem.
func (f *FileSystem) OpenAppend(name string) (storage.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file, err := f.find(name)
	if err != nil {
		return nil, err
	}
	return &handle{fileSystem: f, file: file, generation: f.generation, isAppend: true}, nil
}

// Rename implements storage.FileSystem. Both paths must be in the same directory.
func (f *FileSystem) Rename(oldName, newName string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	file, err := f.find(oldName)
	if err != nil {
		return err
	}
	folder, found := f.directories[path.Dir(path.Clean(newName))]
	if !found {
		return notExist("rename", newName)
	}
	delete(f.directories[path.Dir(path.Clean(oldName))].entries, path.Base(oldName))
	folder.entries[path.Base(newName)] = file
	return nil
}

// Remove implements storage.FileSystem.
func (f *FileSystem) Remove(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	if _, err := f.find(name); err != nil {
		return err
	}
	delete(f.directories[path.Dir(path.Clean(name))].entries, path.Base(name))
	return nil
}

// SyncDirectory implements storage.FileSystem.
func (f *FileSystem) SyncDirectory(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	folder, found := f.directories[path.Clean(name)]
	if !found {
		return notExist("sync", name)
	}
	if f.syncsToFail > 0 {
		f.syncsToFail--
		return ErrSyncFailed
	}
	folder.durable = cloneEntries(folder.entries)
	return nil
}

// Lock implements storage.FileSystem.
func (f *FileSystem) Lock(name string) (io.Closer, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	name = path.Clean(name)
	if f.locks[name] {
		return nil, ErrLocked
	}
	f.locks[name] = true
	return &lock{fileSystem: f, name: name, generation: f.generation}, nil
}

type lock struct {
	fileSystem *FileSystem
	name       string
	generation uint64
}

// Close releases the lock.
func (l *lock) Close() error {
	l.fileSystem.mutex.Lock()
	defer l.fileSystem.mutex.Unlock()
	if l.generation == l.fileSystem.generation {
		delete(l.fileSystem.locks, l.name)
	}
	return nil
}

type handle struct {
	fileSystem *FileSystem
	file       *inode
	generation uint64
	// isAppend is set if the handle was opened with OpenAppend, not with Create.
	isAppend bool
}

// Write appends to the file.
func (h *handle) Write(data []byte) (int, error) {
	h.fileSystem.mutex.Lock()
	defer h.fileSystem.mutex.Unlock()
	if h.generation != h.fileSystem.generation {
		return 0, ErrCrashed
	}
	if err := h.fileSystem.beginOperation(); err != nil {
		h.file.data = append(h.file.data, data...)
		return 0, err
	}
	written := len(data)
	var err error
	if limit := h.fileSystem.capacity; limit > 0 {
		free := limit - h.fileSystem.usedBytes()
		if int64(written) > free {
			written, err = int(max(free, 0)), ErrDiskFull
		}
	}
	h.file.data = append(h.file.data, data[:written]...)
	return written, err
}

// Sync makes the file's content durable.
func (h *handle) Sync() error {
	h.fileSystem.mutex.Lock()
	defer h.fileSystem.mutex.Unlock()
	if h.generation != h.fileSystem.generation {
		return ErrCrashed
	}
	if err := h.fileSystem.beginOperation(); err != nil {
		return err
	}
	h.fileSystem.syncCount++
	if h.fileSystem.syncsToFail > 0 {
		h.fileSystem.syncsToFail--
		h.file.hasFailedSync = true
		return ErrSyncFailed
	}
	if h.file.hasFailedSync {
		return nil
	}
	if !h.isAppend || !h.fileSystem.ignoreSyncs {
		h.file.durable = h.file.data
	}
	return nil
}

// Truncate shortens the file.
func (h *handle) Truncate(size int64) error {
	h.fileSystem.mutex.Lock()
	defer h.fileSystem.mutex.Unlock()
	if h.generation != h.fileSystem.generation {
		return ErrCrashed
	}
	if err := h.fileSystem.beginOperation(); err != nil {
		return err
	}
	if size < int64(len(h.file.data)) {
		h.file.data = append([]byte(nil), h.file.data[:size]...)
	}
	return nil
}

// Close closes the handle without syncing.
func (h *handle) Close() error { return nil }

func notExist(operation, name string) error {
	return &fs.PathError{Op: operation, Path: name, Err: fs.ErrNotExist}
}
