package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// FuzzFounding passes decoded requests and foundings to a new replica, which must
// keep running and promise at most one founding.
func FuzzFounding(f *testing.F) {
	request := FoundingRequest{Group: testGroup, Token: 5}
	encodedRequest, err := request.MarshalMsg(nil)
	require.NoError(f, err)
	founding := Founding{Group: testGroup, Token: 5, Generation: 1, Members: []FoundingPromise{{Group: testGroup, Token: 5, Replica: 1}}}
	encodedFounding, err := founding.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(encodedRequest, encodedFounding)
	f.Fuzz(func(t *testing.T, encodedRequest, encodedFounding []byte) {
		var request FoundingRequest
		if _, err := request.UnmarshalMsg(encodedRequest); err != nil {
			return
		}
		node, err := OpenNode(memoryConfig(memoryfs.New(), 1), 0)
		require.NoError(t, err)
		_, rejection := node.PromiseFounding(request)
		require.NoError(t, node.Err())
		if rejection == nil {
			_, err = node.PromiseFounding(FoundingRequest{Group: testGroup, Token: request.Token + 1})
			require.ErrorIs(t, err, ErrFoundingRefused)
		}
		var founding Founding
		if _, err := founding.UnmarshalMsg(encodedFounding); err != nil {
			return
		}
		// The fuzzer cannot guess this replica's id, but a real sender may know it
		// from the replica's promise.
		if len(founding.Members) > 0 {
			founding.Members[0].Replica = node.Status().ID
		}
		_, err = node.Found(0, founding)
		require.NoError(t, node.Err())
		if err != nil {
			require.ErrorIs(t, err, ErrFoundingRefused)
			require.Empty(t, node.Status().Members)
		}
	})
}
