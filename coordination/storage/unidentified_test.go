package storage_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
)

// restoreInPlace gives every file of a directory a new inode number, as on a
// machine that restores its files after a power loss.
func restoreInPlace(t *testing.T, directory string) {
	t.Helper()
	entries, err := os.ReadDir(directory)
	require.NoError(t, err)
	for _, entry := range entries {
		if entry.IsDir() {
			continue
		}
		path := filepath.Join(directory, entry.Name())
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path+".restored", content, 0o600))
		require.NoError(t, os.Rename(path+".restored", path))
	}
}

func TestRestoredFolderOpensWithoutFileIdentities(t *testing.T) {
	for name, test := range map[string]struct {
		fileSystem storage.FileSystem
		opens      bool
	}{
		"identified":   {storage.OSFileSystem{}, false},
		"unidentified": {storage.WithoutFileIdentity{FileSystem: storage.OSFileSystem{}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			options := storage.Options{FileSystem: test.fileSystem, Directory: t.TempDir(), Group: 1, Random: rand.New(rand.NewPCG(1, 2)), SegmentBytes: 1 << 20}
			opened, _, err := storage.Open(options)
			require.NoError(t, err)
			require.NoError(t, opened.Close())

			restoreInPlace(t, options.Directory)

			opened, _, err = storage.Open(options)
			if !test.opens {
				require.ErrorIs(t, err, storage.ErrCopied)
				return
			}
			require.NoError(t, err)
			require.NoError(t, opened.Close())
		})
	}
}
