package storage_test

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

const (
	directory    = "/data"
	firstSegment = directory + "/segment-0000000000000001.log"
)

func options(disk storage.FileSystem) storage.Options {
	return storage.Options{
		FileSystem: disk, Directory: directory, Group: 3, Random: rand.New(rand.NewPCG(1, 2)), SegmentBytes: 600,
	}
}

func open(t require.TestingT, disk storage.FileSystem) (*storage.Storage, storage.State) {
	opened, state, err := storage.Open(options(disk))
	require.NoError(t, err)
	return opened, state
}

func entries(term, first, last uint64) []consensus.Entry {
	var result []consensus.Entry
	for index := first; index <= last; index++ {
		data := bytes.Repeat([]byte{byte(index)}, int(index%7))
		result = append(result, consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: data})
	}
	return result
}

// saveThreeBatches saves entries 1 to 3 with one sync each and returns the file
// system and the segment's content.
func saveThreeBatches(t *testing.T) (*memoryfs.FileSystem, []byte) {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	for index := uint64(1); index <= 3; index++ {
		require.NoError(t, opened.Save(consensus.HardState{Term: index}, entries(1, index, index), nil))
	}
	require.NoError(t, opened.Close())
	content, err := disk.ReadFile(firstSegment)
	require.NoError(t, err)
	return disk, content
}

func replaceContent(t *testing.T, disk *memoryfs.FileSystem, name string, content []byte) {
	file, err := disk.Create(name)
	require.NoError(t, err)
	_, err = file.Write(content)
	require.NoError(t, err)
	require.NoError(t, file.Sync())
}

func TestStorageIsUnusableAfterFailedSync(t *testing.T) {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 1, 1), nil))
	disk.FailSyncs(1)
	syncs := disk.SyncCount()
	require.ErrorIs(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 2, 2), nil), storage.ErrSyncFailed)
	require.ErrorIs(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 2, 2), nil), storage.ErrFailed)
	require.ErrorIs(t, opened.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}, 1), storage.ErrFailed)
	require.EqualValues(t, 1, disk.SyncCount()-syncs, "a failed sync is never repeated")
}

func TestFullDisk(t *testing.T) {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 1, 5), nil))
	disk.SetCapacity(disk.UsedBytes() + 100)
	large := consensus.Snapshot{Index: 5, Term: 1, Data: make([]byte, 1000)}
	require.ErrorIs(t, opened.SaveSnapshot(large, 5), storage.ErrDiskFull)
	require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 6, 6), nil), "a snapshot that did not fit leaves the log usable")
	for range 3 {
		require.ErrorIs(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 7, 60), nil), storage.ErrDiskFull)
	}
	require.NoError(t, opened.Close())
	_, _, err := storage.Open(options(disk))
	require.ErrorIs(t, err, storage.ErrDiskFull, "a start needs space for the copy of the last segment")
	disk.SetCapacity(0)
	_, state := open(t, disk)
	require.Len(t, state.Entries, 6)
}

// A save that the disk has refused, and of which it may have kept a part, can be retried
// once there is space, and survives a power loss afterwards.
func TestRefusedSaveCanBeRetried(t *testing.T) {
	for freeBytes := range int64(100) {
		disk := memoryfs.New()
		opened, _ := open(t, disk)
		require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 1, 5), nil))
		disk.SetCapacity(disk.UsedBytes() + freeBytes)
		save := func() error { return opened.Save(consensus.HardState{Term: 1}, entries(1, 6, 20), nil) }
		for range 2 {
			require.ErrorIs(t, save(), storage.ErrNotWritten)
		}
		disk.SetCapacity(0)
		require.NoError(t, save())
		require.NoError(t, opened.Save(consensus.HardState{Term: 2}, entries(2, 21, 22), nil))
		disk.Crash(rand.New(rand.NewPCG(1, uint64(freeBytes))))
		_, state := open(t, disk)
		require.Len(t, state.Entries, 22, "%d bytes free", freeBytes)
		require.EqualValues(t, 2, state.HardState.Term)
	}
}

// A power loss while a full disk holds part of a refused write must not lose saved entries.
func TestPowerLossOnFullDiskKeepsSavedEntries(t *testing.T) {
	for step := range int64(400) {
		disk := memoryfs.New()
		small := options(disk)
		small.SegmentBytes = 300
		opened, _, err := storage.Open(small)
		require.NoError(t, err)
		saved := 0
		disk.SetCapacity(disk.UsedBytes() + 200 + 3*step)
		for range 40 {
			if opened.Save(consensus.HardState{Term: 1}, entries(1, uint64(saved+1), uint64(saved+1)), nil) == nil {
				saved++
			}
		}
		require.Less(t, saved, 40)
		disk.Crash(rand.New(rand.NewPCG(2, uint64(step))))
		disk.SetCapacity(0)
		_, state, err := storage.Open(small)
		require.NoError(t, err, "step %d", step)
		require.GreaterOrEqual(t, len(state.Entries), saved, "step %d", step)
	}
}

// TestCrashAtEveryOperation crashes a replica at each file operation of a fixed
// sequence of saves. Acknowledged saves must survive the crash.
func TestCrashAtEveryOperation(t *testing.T) {
	for operations := range 150 {
		for seed := range uint64(8) {
			disk := memoryfs.New()
			disk.CrashAfter(operations)
			saved := saveUntilCrash(disk)
			disk.Crash(rand.New(rand.NewPCG(seed, uint64(operations))))
			opened, state := open(t, disk)
			last := state.Snapshot.Index
			if count := len(state.Entries); count > 0 {
				last = max(last, state.Entries[count-1].Index)
			}
			require.GreaterOrEqual(t, state.HardState.Term, saved, "operations %d, seed %d", operations, seed)
			require.GreaterOrEqual(t, last, saved, "operations %d, seed %d", operations, seed)
			require.LessOrEqual(t, last, saved+5)
			next := last + 1
			require.NoError(t, opened.Save(consensus.HardState{Term: 99}, entries(99, next, next), nil))
			require.NoError(t, opened.Close())
			_, state = open(t, disk)
			require.Equal(t, next, state.Entries[len(state.Entries)-1].Index)
		}
	}
}

// saveUntilCrash saves entries one by one, with local and installed snapshots in
// between, and returns the last acknowledged index.
func saveUntilCrash(disk *memoryfs.FileSystem) uint64 {
	opened, _, err := storage.Open(options(disk))
	saved := uint64(0)
	for index := uint64(1); err == nil && index <= 60; index++ {
		hardState := consensus.HardState{Term: index}
		switch {
		case index%20 == 0:
			snapshot := consensus.Snapshot{Index: index, Term: index, Data: []byte("sent")}
			err = opened.Save(hardState, nil, &snapshot)
		default:
			err = opened.Save(hardState, entries(index, index, index), nil)
		}
		if err == nil {
			saved = index
		}
		if err == nil && index%7 == 0 {
			err = opened.SaveSnapshot(consensus.Snapshot{Index: index - 1, Term: index - 1, Data: []byte("local")}, index-1)
		}
	}
	return saved
}

func TestOneProcessPerFolder(t *testing.T) {
	systems := map[string]struct {
		disk storage.FileSystem
		path string
		err  error
	}{
		"memory": {memoryfs.New(), directory, memoryfs.ErrLocked},
		"disk":   {storage.OSFileSystem{}, t.TempDir() + "/replica", storage.ErrLocked},
	}
	for name, system := range systems {
		t.Run(name, func(t *testing.T) {
			systemOptions := options(system.disk)
			systemOptions.Directory = system.path
			first, _, err := storage.Open(systemOptions)
			require.NoError(t, err)
			_, _, err = storage.Open(systemOptions)
			require.ErrorIs(t, err, system.err)
			require.NoError(t, first.Close())
			second, _, err := storage.Open(systemOptions)
			require.NoError(t, err)
			require.Equal(t, first.Identity(), second.Identity())
			require.NoError(t, second.Close())
		})
	}
}

// TestStorageModel compares the storage with an in-memory model over random
// saves, truncations, snapshots, crashes and restarts.
func TestStorageModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := memoryfs.New()
		opened, _ := open(t, disk)
		model := storage.State{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				last := model.Snapshot.Index + uint64(len(model.Entries))
				first := rapid.Uint64Range(model.Snapshot.Index+1, last+1).Draw(t, "first")
				count := rapid.Uint64Range(0, 20).Draw(t, "count")
				model.HardState.Term++
				added := entries(model.HardState.Term, first, first+count-1)
				require.NoError(t, opened.Save(model.HardState, added, nil))
				if count > 0 {
					model.Entries = append(model.Entries[:first-model.Snapshot.Index-1:first-model.Snapshot.Index-1], added...)
				}
			},
			"snapshot": func(t *rapid.T) {
				if len(model.Entries) == 0 {
					t.Skip("nothing to compact")
				}
				count := rapid.IntRange(1, len(model.Entries)).Draw(t, "compacted")
				at := model.Entries[count-1]
				model.Snapshot = consensus.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("local")}
				model.Entries = model.Entries[count:]
				require.NoError(t, opened.SaveSnapshot(model.Snapshot, at.Index))
			},
			"install": func(t *rapid.T) {
				last := model.Snapshot.Index + uint64(len(model.Entries))
				model.HardState.Term++
				model.Snapshot = consensus.Snapshot{Index: last + 5, Term: model.HardState.Term, Data: []byte("sent")}
				model.Entries = nil
				require.NoError(t, opened.Save(model.HardState, nil, &model.Snapshot))
			},
			"crash": func(t *rapid.T) {
				disk.Crash(random)
				opened, _ = open(t, disk)
			},
			"restart": func(t *rapid.T) {
				require.NoError(t, opened.Close())
				opened, _ = open(t, disk)
			},
			"": func(t *rapid.T) {
				state, err := storage.ReadState(disk, directory)
				require.NoError(t, err)
				require.Equal(t, model.HardState, state.HardState)
				require.Equal(t, model.Snapshot.Index, state.Snapshot.Index)
				require.Equal(t, string(model.Snapshot.Data), string(state.Snapshot.Data))
				remaining := state.Entries
				for len(remaining) > 0 && remaining[0].Index <= state.Snapshot.Index {
					remaining = remaining[1:]
				}
				require.Equal(t, len(model.Entries), len(remaining))
				for position := range remaining {
					require.Equal(t, model.Entries[position].Term, remaining[position].Term)
					require.True(t, bytes.Equal(model.Entries[position].Data, remaining[position].Data))
				}
			},
		})
	})
}

// FuzzSegment opens folders with arbitrary segment contents.
func FuzzSegment(f *testing.F) {
	disk := memoryfs.New()
	opened, _ := open(f, disk)
	require.NoError(f, opened.Save(consensus.HardState{Term: 1, Vote: 2}, entries(1, 1, 4), nil))
	content, err := disk.ReadFile(firstSegment)
	require.NoError(f, err)
	identity := opened.Identity()
	f.Add(content)
	f.Add(content[:len(content)-3])
	f.Add([]byte("PHF1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		disk := memoryfs.New()
		require.NoError(t, disk.MakeDirectory(directory))
		require.NoError(t, storage.WriteIdentity(disk, directory, identity))
		replaceContent(t, disk, firstSegment, content)
		opened, _, err := storage.Open(options(disk))
		if err != nil {
			require.ErrorIs(t, err, storage.ErrCorrupt)
			return
		}
		require.NoError(t, opened.Close())
		require.NoError(t, storage.Verify(disk, directory))
	})
}

// TestDataReadAfterFailedSyncIsMadeDurable restarts the process, but not the machine,
// after a failed sync. The data that it reads then must be on disk before the
// replica acts on it.
func TestDataReadAfterFailedSyncIsMadeDurable(t *testing.T) {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 1, 1), nil))
	disk.FailSyncs(1)
	require.ErrorIs(t, opened.Save(consensus.HardState{Term: 2, Vote: 7}, entries(1, 2, 2), nil), storage.ErrSyncFailed)
	disk.KillProcess()
	restarted, state := open(t, disk)
	require.NoError(t, restarted.Save(consensus.HardState{Term: 2, Vote: 7}, entries(1, 3, 3), nil))
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	_, after := open(t, disk)
	require.Len(t, state.Entries, 2)
	require.Len(t, after.Entries, 3)
	require.EqualValues(t, 7, after.HardState.Vote)
}

// Only errors that may go away without intervention match ErrNotWritten. Retrying writes to
// a missing or protected folder would hide a configuration error.
func TestOnlyTransientWriteErrorsMatchErrNotWritten(t *testing.T) {
	for number, refused := range map[syscall.Errno]bool{
		syscall.ENOSPC: true, syscall.EDQUOT: true, syscall.EFBIG: true, syscall.EIO: true,
		syscall.EACCES: false, syscall.ENOENT: false, syscall.EROFS: false,
	} {
		err := &storage.IOError{Operation: "write", Path: "f", Err: number}
		require.Equal(t, refused, errors.Is(err, storage.ErrNotWritten), number.Error())
	}
	require.NotErrorIs(t, &storage.IOError{Operation: "sync", Path: "f", Err: syscall.EIO}, storage.ErrNotWritten, "a failed sync is never repeated")
}
