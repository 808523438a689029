// Package recorded holds messages to what an earlier build of the program wrote: while processes are
// replaced one after the other, builds read each other's messages and files.
package recorded

import (
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// By is the commit whose build wrote the messages of testdata: the first that later builds have to run
// beside.
const By = "665f7dc"

// Message is one that processes send each other, or keep.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Samples are messages as that build knew them, one of each kind, by the names of their files.
type Samples map[string]Message

// Check checks that messages of the earlier build are read byte for byte, that fields of a later one are
// passed over, and that what is cut short is refused.
func (s Samples) Check(t *testing.T) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(s)) {
		t.Run(name, func(t *testing.T) {
			checkRecorded(t, name, s[name])
			checkUnknownField(t, s[name])
			checkCut(t, s[name])
		})
	}
}

// checkRecorded reads what the earlier build wrote. A field that was renamed, or that came into a message
// of a fixed length, is not read as it was meant.
func checkRecorded(t *testing.T, name string, want Message) {
	t.Helper()
	written, err := os.ReadFile(filepath.Join("testdata", By, name+".msgp"))
	require.NoError(t, err)
	got := emptyLike(want)
	left, err := got.UnmarshalMsg(written)
	require.NoError(t, err)
	assert.Empty(t, left)
	assert.Equal(t, want, got)
}

// checkUnknownField adds a field to what a message with named fields holds, as a later build may.
func checkUnknownField(t *testing.T, want Message) {
	t.Helper()
	encoded, err := want.MarshalMsg(nil)
	require.NoError(t, err)
	if msgp.NextType(encoded) != msgp.MapType {
		return
	}
	fields, rest, err := msgp.ReadMapHeaderBytes(encoded)
	require.NoError(t, err)
	later := msgp.AppendMapHeader(nil, fields+1)
	later = msgp.AppendString(later, "of_a_later_build")
	later = msgp.AppendArrayHeader(later, 1)
	later = msgp.AppendInt(later, 7)
	got := emptyLike(want)
	_, err = got.UnmarshalMsg(append(later, rest...))
	require.NoError(t, err)
	assert.Equal(t, want, got)
}

// checkCut cuts a message at every byte.
func checkCut(t *testing.T, whole Message) {
	t.Helper()
	encoded, err := whole.MarshalMsg(nil)
	require.NoError(t, err)
	for length := range encoded {
		_, err := emptyLike(whole).UnmarshalMsg(encoded[:length])
		require.Error(t, err, "cut to %d bytes", length)
	}
}

// Fuzz has any bytes read as each kind of message: that must neither panic nor take memory without bound.
func (s Samples) Fuzz(f *testing.F) {
	for _, sample := range s {
		encoded, err := sample.MarshalMsg(nil)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, sample := range s {
			_, _ = emptyLike(sample).UnmarshalMsg(data)
		}
	})
}

func emptyLike(sample Message) Message {
	return reflect.New(reflect.TypeOf(sample).Elem()).Interface().(Message)
}
