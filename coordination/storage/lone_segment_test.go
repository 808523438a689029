package storage_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// headerOnlyLog returns a folder whose log is a single segment with only a
// header, and the path of that segment.
func headerOnlyLog(t *testing.T) (*memoryfs.FileSystem, string) {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	vote := consensus.HardState{Term: 9, Vote: 5}
	var last uint64
	for report := inspect(t, disk); len(report.Segments) < 2; report = inspect(t, disk) {
		last++
		require.NoError(t, opened.Save(vote, entries(1, last, last), nil))
	}
	require.NoError(t, opened.SaveSnapshot(consensus.Snapshot{Index: last, Term: 1, Data: []byte("state")}, last))
	require.NoError(t, opened.Close())
	report := inspect(t, disk)
	require.Len(t, report.Segments, 1)
	require.Equal(t, 1, report.Segments[0].Frames)
	return disk, directory + "/" + report.Segments[0].Name
}

func inspect(t *testing.T, disk *memoryfs.FileSystem) storage.Report {
	report, err := storage.Inspect(disk, directory)
	require.NoError(t, err)
	return report
}

// TestDamagedHeaderOfOnlySegmentIsCorruption damages every byte of a log that
// consists of a header. As with a torn write, no valid frame follows, but the
// header was synced before its segment became the only one. Treating the damage
// as a torn write would silently lose the term and vote.
func TestDamagedHeaderOfOnlySegmentIsCorruption(t *testing.T) {
	disk, name := headerOnlyLog(t)
	opened, state := open(t, disk)
	require.Equal(t, consensus.HardState{Term: 9, Vote: 5}, state.HardState)
	require.NoError(t, opened.Close())
	content, err := disk.ReadFile(name)
	require.NoError(t, err)
	for offset := range content {
		disk, name := headerOnlyLog(t)
		require.NoError(t, disk.Corrupt(name, offset))
		_, state, err := storage.Open(options(disk))
		require.ErrorIs(t, err, storage.ErrCorrupt, "offset %d gives %+v", offset, state.HardState)
	}
}

// TestTruncatedHeaderOfOnlySegmentIsCorruption truncates such a log at every byte.
func TestTruncatedHeaderOfOnlySegmentIsCorruption(t *testing.T) {
	disk, name := headerOnlyLog(t)
	content, err := disk.ReadFile(name)
	require.NoError(t, err)
	for length := range content {
		disk, name := headerOnlyLog(t)
		replaceContent(t, disk, name, content[:length])
		_, _, err := storage.Open(options(disk))
		require.ErrorIs(t, err, storage.ErrCorrupt, "cut at %d", length)
	}
}
