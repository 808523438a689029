package faultproxy

import (
	"math/rand/v2"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// A process that is being started holds copies of all descriptors until it runs its program. A listener that was closed
// in that moment went on listening, and its address could not be taken again.
func TestEndedDestinationListensAgainWhileProcessesStart(t *testing.T) {
	proxy := New(nil, rand.New(rand.NewPCG(1, 2)))
	defer proxy.Close()
	address, err := proxy.ListenTCP("a", "127.0.0.9:0", "127.0.0.1:1")
	require.NoError(t, err)
	done := make(chan struct{})
	defer func() { <-done }()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				_ = exec.Command("true").Run()
			}
		}
	}()
	for range 5000 {
		proxy.End("a")
		_, err := proxy.ListenTCP("a", address, "127.0.0.1:1")
		require.NoError(t, err)
	}
}
