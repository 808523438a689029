package versioned

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// hugeArrayHeader is a MessagePack header of an array of 2^31 - 1 elements.
var hugeArrayHeader = []byte{0xdd, 0x7f, 0xff, 0xff, 0xff}

// TestClaimedLengthsAreBounded decodes inputs of a few bytes whose array header
// announces billions of elements. The decoder must reject them before it
// allocates memory for the elements.
func TestClaimedLengthsAreBounded(t *testing.T) {
	command := append([]byte{0x81, 0xa9}, "documents"...)
	_, err := DecodeCommand(append(command, hugeArrayHeader...))
	require.Error(t, err)

	for _, field := range []string{"documents", "requests"} {
		snapshot := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		require.Error(t, New(Limits{}).Restore(append(snapshot, hugeArrayHeader...)))
	}
}
