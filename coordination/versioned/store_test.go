package versioned

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func apply(t require.TestingT, store *Store, index uint64, command Command) Result {
	data, err := command.Encode()
	require.NoError(t, err)
	result, err := DecodeResult(store.Apply(index, data))
	require.NoError(t, err)
	return result
}

func TestConcurrentChangesOfOneRevisionConflict(t *testing.T) {
	store := New(Limits{})
	first := apply(t, store, 5, Command{Operation: OperationPut, RequestID: "0", Kind: "policy", Name: "p"})
	require.Equal(t, Result{Outcome: OutcomeApplied, DocumentRevision: 5, StoreRevision: 5}, first)

	replace := Command{Operation: OperationReplace, Kind: "policy", Name: "p", ExpectedRevision: 5}
	left, right := replace, replace
	left.RequestID, left.Body = "left", []byte("left")
	right.RequestID, right.Body = "right", []byte("right")
	require.Equal(t, OutcomeApplied, apply(t, store, 6, left).Outcome)
	lost := apply(t, store, 7, right)
	require.Equal(t, Result{Outcome: OutcomeConflict, DocumentRevision: 6, StoreRevision: 6}, lost)

	// Resent requests get the first answers, also after other changes.
	right.ExpectedRevision = 5
	require.Equal(t, OutcomeConflict, apply(t, store, 8, right).Outcome)
	repeated := apply(t, store, 9, left)
	require.Equal(t, Result{Outcome: OutcomeApplied, DocumentRevision: 6, StoreRevision: 6, Repeated: true}, repeated)

	left.ExpectedRevision = 6
	repeated = apply(t, store, 10, left)
	require.True(t, repeated.Repeated, "a resent request may expect a newer revision")
	require.Equal(t, uint64(6), repeated.DocumentRevision)

	left.Body = []byte("something else")
	require.Equal(t, OutcomeRequestReused, apply(t, store, 11, left).Outcome)
}

func TestPinnedPropertySurvivesDeletion(t *testing.T) {
	store := New(Limits{})
	put := Command{Operation: OperationPut, Kind: "tenant", Name: "t", Pinned: "hal-noord"}
	put.RequestID = "1"
	require.Equal(t, OutcomeApplied, apply(t, store, 1, put).Outcome)
	moved := Command{Operation: OperationReplace, RequestID: "2", Kind: "tenant", Name: "t", ExpectedRevision: 1, Pinned: "hal-zuid"}
	require.Equal(t, OutcomePinned, apply(t, store, 2, moved).Outcome)
	removed := Command{Operation: OperationDelete, RequestID: "3", Kind: "tenant", Name: "t", ExpectedRevision: 1}
	require.Equal(t, Result{Outcome: OutcomeApplied, DocumentRevision: 3, Deleted: true, StoreRevision: 3}, apply(t, store, 3, removed))

	put.RequestID = "4"
	require.Equal(t, OutcomeConflict, apply(t, store, 4, put).Outcome, "a put must expect the revision of the tombstone")
	put.RequestID, put.ExpectedRevision, put.Pinned = "5", 3, "hal-zuid"
	require.Equal(t, OutcomePinned, apply(t, store, 5, put).Outcome)
	put.RequestID, put.Pinned = "6", "hal-noord"
	require.Equal(t, OutcomeApplied, apply(t, store, 6, put).Outcome)
}

func TestImportContinuesAboveItsBase(t *testing.T) {
	store := New(Limits{})
	result := apply(t, store, 1, Command{
		Operation:    OperationImport,
		RequestID:    "import",
		BaseRevision: 900,
		Documents:    []Document{{Kind: "policy", Name: "p", Revision: 870, Body: []byte("x")}},
	})
	require.Equal(t, OutcomeApplied, result.Outcome)
	require.Equal(t, uint64(901), store.Revision())
	replaced := apply(t, store, 2, Command{Operation: OperationReplace, RequestID: "r", Kind: "policy", Name: "p", ExpectedRevision: 870})
	require.Equal(t, uint64(902), replaced.DocumentRevision)
	again := apply(t, store, 3, Command{Operation: OperationImport, RequestID: "again"})
	require.Equal(t, OutcomeConflict, again.Outcome)
}

func TestBounds(t *testing.T) {
	store := New(Limits{Documents: 1, DocumentBytes: 4, TotalBytes: 4, Requests: 2})
	put := Command{Operation: OperationPut, RequestID: "1", Kind: "k", Name: "a", Body: []byte("12345")}
	require.Equal(t, OutcomeMalformed, apply(t, store, 1, put).Outcome)
	put.Body = []byte("1234")
	require.Equal(t, OutcomeApplied, apply(t, store, 2, put).Outcome)
	put.RequestID, put.Name = "2", "b"
	require.Equal(t, OutcomeFull, apply(t, store, 3, put).Outcome)
	put.RequestID, put.Name = "3", "c"
	require.Equal(t, OutcomeFull, apply(t, store, 4, put).Outcome)

	// The first request id has been removed, but the resent change is not applied
	// a second time.
	put.RequestID, put.Name = "1", "a"
	require.Equal(t, OutcomeConflict, apply(t, store, 5, put).Outcome)
}

// TestStoreAgainstModel compares the store with a simple model, across restores
// and resent requests.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New(Limits{})
		revisions := make(map[string]uint64)
		deleted := make(map[string]bool)
		bodies := make(map[string]string)
		first := make(map[string]Result)
		commands := make(map[string]Command)
		var sent []string
		index := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				index++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				command := Command{
					Operation: rapid.SampledFrom([]Operation{OperationPut, OperationReplace, OperationDelete}).Draw(t, "operation"),
					RequestID: fmt.Sprint("request-", index),
					Kind:      "kind",
					Name:      name,
					Body:      []byte(rapid.StringN(0, 5, 5).Draw(t, "body")),
				}
				command.ExpectedRevision = revisions[name]
				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
					command.ExpectedRevision = rapid.Uint64Range(0, index).Draw(t, "expected")
				}
				exists := revisions[name] != 0 && !deleted[name]
				wanted := exists == (command.Operation != OperationPut) && command.ExpectedRevision == revisions[name]
				before := store.Revision()
				result := apply(t, store, index, command)
				require.Equal(t, wanted, result.Outcome == OutcomeApplied, "%+v", result)
				require.GreaterOrEqual(t, store.Revision(), before)
				if wanted {
					revisions[name] = index
					deleted[name] = command.Operation == OperationDelete
					bodies[name] = string(command.Body)
				}
				first[command.RequestID] = result
				commands[command.RequestID] = command
				sent = append(sent, command.RequestID)
			},
			"resend": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing to resend")
				}
				index++
				requestID := rapid.SampledFrom(sent).Draw(t, "request")
				result := apply(t, store, index, commands[requestID])
				require.True(t, result.Repeated)
				require.Equal(t, first[requestID].Outcome, result.Outcome)
				require.Equal(t, first[requestID].DocumentRevision, result.DocumentRevision)
			},
			"restore": func(t *rapid.T) {
				data, err := store.Snapshot()
				require.NoError(t, err)
				store = New(Limits{})
				require.NoError(t, store.Restore(data))
				again, err := store.Snapshot()
				require.NoError(t, err)
				require.Equal(t, data, again)
			},
			"": func(t *rapid.T) {
				for name, revision := range revisions {
					document, found := store.Get("kind", name)
					require.True(t, found)
					require.Equal(t, revision, document.Revision)
					require.Equal(t, deleted[name], document.Deleted)
					if !deleted[name] {
						require.Equal(t, bodies[name], string(document.Body))
					}
				}
			},
		})
	})
}

func FuzzApply(f *testing.F) {
	command := Command{Operation: OperationPut, RequestID: "1", Kind: "k", Name: "n", Body: []byte("b")}
	data, err := command.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		store := New(Limits{})
		_, err := DecodeResult(store.Apply(1, data))
		require.NoError(t, err)
		snapshot, err := store.Snapshot()
		require.NoError(t, err)
		require.NoError(t, New(Limits{}).Restore(snapshot))
		_ = New(Limits{}).Restore(data)
	})
}
