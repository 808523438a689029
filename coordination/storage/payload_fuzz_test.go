package storage_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// newMemberFolder returns the valid data folder of a member.
func newMemberFolder(t testing.TB) *memoryfs.FileSystem {
	disk := memoryfs.New()
	opened, _ := open(t, disk)
	require.NoError(t, opened.Save(consensus.HardState{Term: 1, Vote: 2}, entries(1, 1, 2), nil))
	require.NoError(t, opened.Close())
	return disk
}

// checkOpensOrIsRefused opens a folder and checks that it is either refused as
// damaged or of another group, or valid and still valid after closing.
func checkOpensOrIsRefused(t *testing.T, disk *memoryfs.FileSystem) {
	opened, state, err := storage.Open(options(disk))
	if err != nil {
		require.True(t, errors.Is(err, storage.ErrCorrupt) || errors.Is(err, storage.ErrWrongGroup), "%v", err)
		return
	}
	for position := 1; position < len(state.Entries); position++ {
		require.Equal(t, state.Entries[position-1].Index+1, state.Entries[position].Index)
	}
	require.NoError(t, opened.Close())
	require.NoError(t, storage.Verify(disk, directory))
}

// FuzzBatchPayload appends arbitrary payloads with a valid checksum to a valid log.
func FuzzBatchPayload(f *testing.F) {
	for _, seed := range []storage.Batch{
		{HardState: consensus.HardState{Term: 2, Vote: 1, Commit: 2}, Entries: []consensus.Entry{{Index: 3, Term: 2}}},
		{ResetIndex: 9, ResetTerm: 2},
		{Entries: []consensus.Entry{{Index: 3, Term: 2}, {Index: 9, Term: 2}}},
		{Entries: []consensus.Entry{{Index: 0, Term: 2}, {Index: 1, Term: 2}}},
	} {
		payload, err := seed.MarshalMsg(nil)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		disk := newMemberFolder(t)
		content, err := disk.ReadFile(firstSegment)
		require.NoError(t, err)
		replaceContent(t, disk, firstSegment, append(content, storage.NewFrame(1, int64(len(content)), payload)...))
		checkOpensOrIsRefused(t, disk)
	})
}

// FuzzWholeFilePayload writes arbitrary payloads with a valid checksum to the
// identity or to a snapshot.
func FuzzWholeFilePayload(f *testing.F) {
	identity := storage.Identity{Group: 3, ReplicaID: 1, Stage: storage.StageMember}
	encoded, err := identity.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(true, encoded)
	snapshot := consensus.Snapshot{Index: 2, Term: 1, Configuration: consensus.Configuration{Members: []consensus.Member{{ID: 1}}}}
	encoded, err = snapshot.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(false, encoded)
	f.Fuzz(func(t *testing.T, isIdentity bool, payload []byte) {
		disk := newMemberFolder(t)
		name := "/snapshot-0000000000000002.snapshot"
		if isIdentity {
			name = "/identity"
		}
		replaceContent(t, disk, directory+name, storage.NewFrame(0, 0, payload))
		checkOpensOrIsRefused(t, disk)
	})
}
