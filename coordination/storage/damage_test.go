package storage_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// TestTornWriteAtEveryByte truncates the log at every byte. Complete batches before
// that must be read, and the log can be appended to. The header was synced before
// the first batch, so that a truncated header is corruption.
func TestTornWriteAtEveryByte(t *testing.T) {
	disk, content := saveThreeBatches(t)
	report, err := storage.Inspect(disk, directory)
	require.NoError(t, err)
	require.EqualValues(t, len(content), report.Segments[0].Bytes)
	previous := 0
	header := bytes.Index(content[1:], []byte("PHF1")) + 1
	for length := range len(content) {
		disk, content := saveThreeBatches(t)
		replaceContent(t, disk, firstSegment, content[:length])
		if length < header {
			require.ErrorIs(t, storage.Verify(disk, directory), storage.ErrCorrupt, "cut at %d", length)
			continue
		}
		opened, state := open(t, disk)
		require.GreaterOrEqual(t, len(state.Entries), previous)
		previous = len(state.Entries)
		next := uint64(previous) + 1
		require.NoError(t, opened.Save(consensus.HardState{Term: 9}, entries(9, next, next), nil))
		require.NoError(t, opened.Close())
		require.NoError(t, storage.Verify(disk, directory))
	}
	require.Equal(t, 2, previous)
}

// TestDamageToLastBatchIsDetectedAfterSeal damages every byte of a log before the
// batch that Seal has appended.
func TestDamageToLastBatchIsDetectedAfterSeal(t *testing.T) {
	for offset := 0; ; offset++ {
		disk, content := saveThreeBatches(t)
		if offset == len(content) {
			return
		}
		opened, _ := open(t, disk)
		require.NoError(t, opened.Seal())
		syncs := disk.SyncCount()
		require.NoError(t, opened.Seal())
		require.Equal(t, syncs, disk.SyncCount(), "a seal is not repeated")
		require.NoError(t, opened.Close())
		require.NoError(t, disk.Corrupt(firstSegment, offset))
		_, _, err := storage.Open(options(disk))
		require.ErrorIs(t, err, storage.ErrCorrupt, "offset %d", offset)
	}
}

// TestFlippedBitsBeforeLastBatchAreDetected damages every byte. Damage before the
// last batch is reported; damage to the last batch can't be distinguished from a
// torn write.
func TestFlippedBitsBeforeLastBatchAreDetected(t *testing.T) {
	_, content := saveThreeBatches(t)
	last := bytes.LastIndex(content, []byte("PHF1"))
	for offset := range content {
		disk, _ := saveThreeBatches(t)
		require.NoError(t, disk.Corrupt(firstSegment, offset))
		_, state, err := storage.Open(options(disk))
		if offset < last {
			require.ErrorIs(t, err, storage.ErrCorrupt, "offset %d", offset)
			continue
		}
		require.NoError(t, err)
		require.Len(t, state.Entries, 2)
	}
}

func TestDamagedOrMissingFilesAreCorruption(t *testing.T) {
	cases := map[string]func(t *testing.T, disk *memoryfs.FileSystem){
		"identity damaged": func(t *testing.T, disk *memoryfs.FileSystem) {
			require.NoError(t, disk.Corrupt(directory+"/identity", 20))
		},
		"identity gone": func(t *testing.T, disk *memoryfs.FileSystem) {
			require.NoError(t, disk.Remove(directory+"/identity"))
		},
		"all segments gone": func(t *testing.T, disk *memoryfs.FileSystem) {
			removeMatching(t, disk, "segment-")
		},
		"snapshot gone": func(t *testing.T, disk *memoryfs.FileSystem) {
			removeMatching(t, disk, "snapshot-")
		},
		"snapshot damaged": func(t *testing.T, disk *memoryfs.FileSystem) {
			require.NoError(t, disk.Corrupt(directory+"/snapshot-0000000000000064.snapshot", 30))
		},
		"middle segment gone": func(t *testing.T, disk *memoryfs.FileSystem) {
			report, err := storage.Inspect(disk, directory)
			require.NoError(t, err)
			require.Greater(t, len(report.Segments), 2)
			require.NoError(t, disk.Remove(directory+"/"+report.Segments[1].Name))
		},
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			disk := memoryfs.New()
			opened, _ := open(t, disk)
			for index := uint64(1); index <= 150; index++ {
				require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, index, index), nil))
			}
			require.NoError(t, opened.SaveSnapshot(consensus.Snapshot{Index: 100, Term: 1, Data: []byte("state")}, 100))
			require.NoError(t, opened.Close())
			damage(t, disk)
			_, _, err := storage.Open(options(disk))
			require.ErrorIs(t, err, storage.ErrCorrupt)
			report, err := storage.Inspect(disk, directory)
			require.NoError(t, err)
			require.NotNil(t, report.Damage)
			require.NoError(t, storage.Discard(disk, directory))
			reopened, state := open(t, disk)
			require.Equal(t, storage.StageNew, reopened.Identity().Stage)
			require.Empty(t, state.Entries)
		})
	}
}

func removeMatching(t *testing.T, disk *memoryfs.FileSystem, prefix string) {
	names, err := disk.List(directory)
	require.NoError(t, err)
	for _, name := range names {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix {
			require.NoError(t, disk.Remove(directory+"/"+name))
		}
	}
}
