// Package memoryfs is an in-memory file system that simulates the losses of a
// machine crash: unsynced data, partly or completely, and unsynced directory
// entries.
package memoryfs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path"
	"sort"
	"sync"
	"syscall"
)

// Errors injected by the file system.
var (
	// ErrDiskFull is returned by writes beyond the capacity.
	ErrDiskFull = fmt.Errorf("memoryfs: %w", syscall.ENOSPC)
	// ErrSyncFailed is returned by the syncs that FailSyncs makes fail.
	ErrSyncFailed = errors.New("memoryfs: sync failed")
	// ErrCrashed is returned by operations after the crash point set with
	// CrashAfter, and by files that were opened before Crash or KillProcess.
	ErrCrashed = errors.New("memoryfs: machine has crashed")
	// ErrLocked is returned if a directory is already locked.
	ErrLocked = errors.New("memoryfs: folder is locked")
)

// FileSystem implements storage.FileSystem. It is safe for concurrent use. The
// zero value is not usable; call New.
type FileSystem struct {
	mutex       sync.Mutex
	directories map[string]*directory
	locks       map[string]bool
	// generation is incremented by Crash and KillProcess, which invalidates earlier
	// locks and open files.
	generation uint64
	// inodeCount is the number of the inode created last.
	inodeCount  uint64
	capacity    int64
	syncsToFail int
	ignoreSyncs bool
	syncCount   uint64
	// operationsLeft counts down to the operation in which the machine crashes;
	// zero means that no crash is scheduled.
	operationsLeft int
	crashed        bool
}

type directory struct {
	entries map[string]*inode
	durable map[string]*inode
}

// inode is a file. Its content is appended to or replaced, never modified in
// place, so that data and durable may share memory.
type inode struct {
	number  uint64
	data    []byte
	durable []byte
	// hasFailedSync is set after a failed sync: later syncs succeed without making
	// the data durable, although it can still be read.
	hasFailedSync bool
}

// New returns an empty file system with unlimited capacity.
func New() *FileSystem {
	return &FileSystem{directories: map[string]*directory{}, locks: map[string]bool{}}
}

// SetCapacity limits the total size of all files in bytes; zero means no limit.
func (f *FileSystem) SetCapacity(bytes int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = bytes
}

// FailSyncs makes the next count syncs of files or directories fail. A file
// whose sync has failed can still be read completely, but no later sync makes it
// durable, as on an operating system that marks pages as clean after a failed
// write.
func (f *FileSystem) FailSyncs(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.syncsToFail = count
}

// CrashAfter simulates a crash after the next count modifying operations. The
// modifying operation after them and all later ones fail with ErrCrashed until
// Crash is called. If the first of them is a write, part of its data may survive.
func (f *FileSystem) CrashAfter(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.operationsLeft = count + 1
}

// beginOperation counts a modifying operation and returns ErrCrashed at and after
// the crash point. The caller must hold f.mutex.
func (f *FileSystem) beginOperation() error {
	if f.crashed {
		return ErrCrashed
	}
	if f.operationsLeft == 0 {
		return nil
	}
	f.operationsLeft--
	if f.operationsLeft > 0 {
		return nil
	}
	f.crashed = true
	return ErrCrashed
}

// IgnoreSyncs makes syncs of files opened with OpenAppend succeed without making
// anything durable. It serves to simulate a replica that sends votes and
// acknowledgements before they are on disk.
func (f *FileSystem) IgnoreSyncs(ignore bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ignoreSyncs = ignore
}

// UsedBytes returns the total size of all files.
func (f *FileSystem) UsedBytes() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.usedBytes()
}

// SyncCount returns the number of file syncs so far.
func (f *FileSystem) SyncCount() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.syncCount
}

// Crash simulates a crash of the machine. A directory loses either all of its
// unsynced entry changes or none. A file loses unsynced data from a random
// position on; sometimes random bytes replace the end of what remains (a torn
// write). A file that was truncated or overwritten without a sync gets its durable
// content back. Open files become unusable, and locks are released.
func (f *FileSystem) Crash(random *rand.Rand) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generation++
	f.crashed, f.operationsLeft = false, 0
	f.locks = map[string]bool{}
	for _, directoryName := range sortedKeys(f.directories) {
		f.directories[directoryName].crash(random)
	}
}

// KillProcess simulates a crash of the process, not of the machine: open files
// become unusable, and locks are released. Unsynced data can still be read, and a
// later Crash may still lose it.
func (f *FileSystem) KillProcess() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generation++
	f.locks = map[string]bool{}
}

func (d *directory) crash(random *rand.Rand) {
	if random.IntN(2) == 0 {
		d.entries = cloneEntries(d.durable)
	}
	crashed := map[*inode]bool{}
	for _, name := range sortedKeys(d.entries) {
		file := d.entries[name]
		if !crashed[file] {
			file.crash(random)
			crashed[file] = true
		}
	}
	d.durable = cloneEntries(d.entries)
}

func (i *inode) crash(random *rand.Rand) {
	common := commonPrefixLength(i.data, i.durable)
	remaining := append([]byte(nil), i.durable...)
	if common == len(i.durable) && len(i.data) > common {
		kept := common + random.IntN(len(i.data)-common+1)
		remaining = append([]byte(nil), i.data[:kept]...)
		if kept > common && random.IntN(3) == 0 {
			randomizeTail(remaining[common:], random)
		}
	}
	i.data = remaining
	i.durable = remaining
	i.hasFailedSync = false
}

func randomizeTail(tail []byte, random *rand.Rand) {
	start := random.IntN(len(tail))
	for position := start; position < len(tail); position++ {
		tail[position] = byte(random.Uint32())
	}
}

// Copy returns a file system with copies of all files, as after restoring a
// backup: the content is the same, but the file identities differ.
func (f *FileSystem) Copy() *FileSystem {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clone := New()
	clone.inodeCount = f.inodeCount
	for _, name := range sortedKeys(f.directories) {
		folder := f.directories[name]
		copied := &directory{entries: map[string]*inode{}}
		for _, entry := range sortedKeys(folder.entries) {
			clone.inodeCount++
			data := append([]byte(nil), folder.entries[entry].data...)
			copied.entries[entry] = &inode{number: clone.inodeCount, data: data, durable: data}
		}
		copied.durable = cloneEntries(copied.entries)
		clone.directories[name] = copied
	}
	return clone
}

// Corrupt flips one bit of a file's durable content at an offset in bytes.
func (f *FileSystem) Corrupt(name string, offset int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file, err := f.find(name)
	if err != nil {
		return err
	}
	if offset >= len(file.data) {
		return errors.New("memoryfs: offset beyond the end of the file")
	}
	file.data = append([]byte(nil), file.data...)
	file.data[offset] ^= 1
	file.durable = file.data
	return nil
}

func (f *FileSystem) find(name string) (*inode, error) {
	folder, found := f.directories[path.Dir(path.Clean(name))]
	if !found {
		return nil, notExist("open", name)
	}
	file, found := folder.entries[path.Base(name)]
	if !found {
		return nil, notExist("open", name)
	}
	return file, nil
}

func (f *FileSystem) usedBytes() int64 {
	var used int64
	for _, folder := range f.directories {
		for _, file := range folder.entries {
			used += int64(len(file.data))
		}
	}
	return used
}

func commonPrefixLength(left, right []byte) int {
	limit := min(len(left), len(right))
	for position := range limit {
		if left[position] != right[position] {
			return position
		}
	}
	return limit
}

func cloneEntries(entries map[string]*inode) map[string]*inode {
	clone := make(map[string]*inode, len(entries))
	for name, file := range entries {
		clone[name] = file
	}
	return clone
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
