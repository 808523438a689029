package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestClaimedLengthsAreBounded decodes a session of a few bytes whose array
// header announces billions of sets or targets. The decoder must reject it before
// it allocates memory for them.
func TestClaimedLengthsAreBounded(t *testing.T) {
	for _, field := range []string{"sets", "targets"} {
		data := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		data = append(data, 0xdd, 0x7f, 0xff, 0xff, 0xff)
		var session Session
		var set IsolationSet
		_, sessionErr := session.UnmarshalMsg(data)
		_, setErr := set.UnmarshalMsg(data)
		require.Error(t, sessionErr)
		require.Error(t, setErr)
	}
}

// FuzzSession decodes arbitrary sessions, calls their methods, and passes them
// through a table.
func FuzzSession(f *testing.F) {
	seed := Session{ID: 1, MemberID: "m", Sets: []IsolationSet{{AssignedAt: 3, Targets: []string{"a", "b"}}}}
	encoded, err := seed.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(encoded, uint64(3))
	f.Fuzz(func(t *testing.T, data []byte, acknowledged uint64) {
		var session Session
		if _, err := session.UnmarshalMsg(data); err != nil {
			return
		}
		_ = session.MayUseIsolated("a", acknowledged)
		_ = session.CurrentSet().Contains("a")
		table := NewTable(10)
		table.Import([]Session{session})
		table.Assign(acknowledged, session.ID, []string{"c"}, acknowledged)
		exported := table.Export()
		require.Len(t, exported, 1)
		again, err := exported[0].MarshalMsg(nil)
		require.NoError(t, err)
		_, err = session.UnmarshalMsg(again)
		require.NoError(t, err)
	})
}
