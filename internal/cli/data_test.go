package cli_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/cli"
)

// writeGroupData writes a replica's data with two frames and returns its folder.
func writeGroupData(t *testing.T, root string) string {
	t.Helper()
	folder := filepath.Join(root, "zone")
	opened, _, err := storage.Open(storage.Options{
		FileSystem: storage.OSFileSystem{}, Directory: folder, Group: 7,
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	require.NoError(t, err)
	for index := uint64(1); index <= 2; index++ {
		entry := consensus.Entry{Index: index, Term: index, Data: []byte("some data of an entry")}
		err = opened.Save(consensus.HardState{Term: index}, []consensus.Entry{entry}, nil)
		require.NoError(t, err)
	}
	require.NoError(t, opened.Close())
	return folder
}

func TestDataInspectAndVerify(t *testing.T) {
	root := t.TempDir()
	folder := writeGroupData(t, root)
	code, out, problems := run("controller", "data", "inspect", root)
	require.Equal(t, cli.ExitOK, code, problems)
	require.Contains(t, out, "1-2")
	code, _, problems = run("controller", "data", "verify", root)
	require.Equal(t, cli.ExitOK, code, problems)

	identity := filepath.Join(folder, "identity")
	content, err := os.ReadFile(identity)
	require.NoError(t, err)
	content[len(content)-1] ^= 1
	require.NoError(t, os.WriteFile(identity, content, 0o600))
	code, _, problems = run("controller", "data", "verify", root)
	require.Equal(t, cli.ExitInvalid, code)
	require.Contains(t, problems, "damaged")

	code, _, _ = run("controller", "data", "verify", t.TempDir())
	require.Equal(t, cli.ExitInvalid, code)
}

func TestCopiedDataIsRefusedUntilAccepted(t *testing.T) {
	root := t.TempDir()
	folder := writeGroupData(t, root)
	copied := filepath.Join(t.TempDir(), "copy")
	require.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
	code, _, problems := run("controller", "data", "verify", copied)
	require.Equal(t, cli.ExitInvalid, code)
	require.Contains(t, problems, "copy")
	code, _, problems = run("controller", "data", "accept-copy", copied)
	require.Equal(t, cli.ExitOK, code, problems)
	code, _, problems = run("controller", "data", "verify", copied)
	require.Equal(t, cli.ExitOK, code, problems)
}
