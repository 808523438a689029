package exchange

import (
	"io"
	"maps"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/testnet/endless"
)

// heapMargin is what the heap of a process may grow by for one answer: a body may have 1 MB here, and is copied as it grows.
const heapMargin = 16 << 20

// An engine that sent bytes without end in the place of a head took hundreds of megabytes within seconds.
func TestAnAnswerWithoutEndIsGivenUp(t *testing.T) {
	answers := maps.Clone(endless.Heads)
	maps.Copy(answers, endless.Bodies)
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			client, engine := testClient(), testnet.StartEndless(t, answer)
			defer client.Close()
			stop := watchHeap(t)
			_, err := client.Do(t.Context(), postTo(engine.Address))
			require.Error(t, err)
			assert.Less(t, <-engine.Sent, testnet.EndlessBytes, "the connection is closed at the bound")
			assert.Less(t, stop(), uint64(heapMargin))
		})
	}
}

func TestAStreamWithoutEndIsReadInPieces(t *testing.T) {
	client, engine := testClient(), testnet.StartEndless(t, endless.Bodies["chunks"])
	defer client.Close()
	stop := watchHeap(t)
	request := postTo(engine.Address)
	request.Stream = true
	answer, err := client.Do(t.Context(), request)
	require.NoError(t, err)
	_, err = io.CopyN(io.Discard, answer.Response.BodyStream(), testnet.EndlessBytes/2)
	require.NoError(t, err)
	answer.Close(false)
	assert.Less(t, stop(), uint64(heapMargin))
}

// watchHeap returns a function that ends the watch and returns by how much the heap has grown at most.
func watchHeap(t *testing.T) (stop func() uint64) {
	t.Helper()
	// What is garbage soon goes.
	percent := debug.SetGCPercent(10)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var most atomic.Uint64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			most.Store(max(most.Load(), now.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return max(most.Load(), before.HeapAlloc) - before.HeapAlloc
	}
}
