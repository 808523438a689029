package onceonly

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestClaimedLengthsAreBounded decodes a snapshot of a few bytes whose array
// header announces billions of entries. The decoder must reject it before it
// allocates memory for them.
func TestClaimedLengthsAreBounded(t *testing.T) {
	snapshot := append([]byte{0x81, 0xa7}, "entries"...)
	snapshot = append(snapshot, 0xdd, 0x7f, 0xff, 0xff, 0xff)
	require.Error(t, New().Restore(snapshot))

	// No table may have more entries than Restore accepts.
	parameters := DefaultParameters()
	parameters.Entries = maximumEntries + 1
	reply := New().Step(&Command{Kind: KindConfigure, Parameters: &parameters})
	require.Equal(t, StatusInvalid, reply.Status)
}
