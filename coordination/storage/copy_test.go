package storage_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// TestRestoredCopyDoesNotOpen restores a folder from a copy that was made
// before the replica voted. If it opened, the replica could vote again in the
// same term.
func TestRestoredCopyDoesNotOpen(t *testing.T) {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, 1, 2), nil))
	backup := disk.Copy()
	require.NoError(t, opened.Save(consensus.HardState{Term: 2, Vote: 7}, nil, nil))
	require.NoError(t, opened.Close())
	backup.KillProcess()

	_, _, err := storage.Open(options(backup))
	require.ErrorIs(t, err, storage.ErrCorrupt)
	require.ErrorIs(t, err, storage.ErrCopied)
	report, err := storage.Inspect(backup, directory)
	require.NoError(t, err)
	require.EqualValues(t, 2, report.LastIndex, "a copy can be inspected")

	opened, state := open(t, disk)
	require.EqualValues(t, 7, state.HardState.Vote)
	require.NoError(t, opened.Close())
}

// TestCopyOpensOnceAccepted moves a folder by copying and accepts the copy, as an
// operator may who knows that it is the latest and only one. AcceptCopy must
// succeed when it is repeated after a crash in the middle of the first call.
func TestCopyOpensOnceAccepted(t *testing.T) {
	for operations := range 30 {
		disk := memoryfs.New()
		opened, _ := open(t, disk)
		for index := uint64(1); index <= 60; index++ {
			require.NoError(t, opened.Save(consensus.HardState{Term: 3, Vote: 4}, entries(1, index, index), nil))
		}
		require.NoError(t, opened.Close())
		moved := disk.Copy()
		moved.CrashAfter(operations)
		_ = storage.AcceptCopy(moved, directory)
		moved.Crash(rand.New(rand.NewPCG(uint64(operations), 1)))
		require.NoError(t, storage.AcceptCopy(moved, directory))
		opened, state := open(t, moved)
		require.Equal(t, consensus.HardState{Term: 3, Vote: 4}, state.HardState)
		require.Len(t, state.Entries, 60)
		require.NoError(t, opened.Close())
		require.NoError(t, storage.Verify(moved, directory))
	}
}

// TestCopyOnRealFileSystem checks with real files that a renamed folder opens,
// and that a copied one opens only once it is accepted.
func TestCopyOnRealFileSystem(t *testing.T) {
	root := t.TempDir()
	original, renamed, copied := filepath.Join(root, "a"), filepath.Join(root, "b"), filepath.Join(root, "c")
	optionsFor := func(folder string) storage.Options {
		options := options(storage.OSFileSystem{})
		options.Directory = folder
		return options
	}
	saveAndClose := func(folder string, first uint64) {
		opened, _, err := storage.Open(optionsFor(folder))
		require.NoError(t, err)
		for index := first; index < first+40; index++ {
			require.NoError(t, opened.Save(consensus.HardState{Term: 1}, entries(1, index, index), nil))
		}
		require.NoError(t, opened.Close())
	}
	saveAndClose(original, 1)
	saveAndClose(original, 41)
	require.NoError(t, os.Rename(original, renamed))
	saveAndClose(renamed, 81)
	require.NoError(t, os.CopyFS(copied, os.DirFS(renamed)))
	_, _, err := storage.Open(optionsFor(copied))
	require.ErrorIs(t, err, storage.ErrCopied)
	require.NoError(t, storage.AcceptCopy(storage.OSFileSystem{}, copied))
	saveAndClose(copied, 121)
}
