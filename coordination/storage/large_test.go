package storage_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// Saved data of any size must be readable at the next start: a replica that can't
// read its own snapshot is lost.
func TestLargeEntriesAndSnapshotsAreReadBack(t *testing.T) {
	const size = 6 << 20
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	large := bytes.Repeat([]byte{7}, size)
	entry := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryCommand, Data: large}
	require.NoError(t, opened.Save(consensus.HardState{Term: 1}, []consensus.Entry{entry}, nil))
	require.NoError(t, opened.Close())

	opened, state := open(t, disk)
	require.Equal(t, []consensus.Entry{entry}, state.Entries)
	require.NoError(t, opened.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, Data: large}, 1))
	require.NoError(t, opened.Close())

	_, state = open(t, disk)
	require.Equal(t, large, state.Snapshot.Data)
}
