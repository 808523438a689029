package rpc_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// silentProxy passes connections on, and can have those that are open fall silent for good,
// without a reset, while new ones work.
type silentProxy struct {
	address string
	// generation is that of new connections; older ones pass nothing on.
	generation atomic.Int64
	opened     atomic.Int64
}

func startSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	proxy := &silentProxy{address: listener.Addr().String()}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			proxy.opened.Add(1)
			proxy.pass(from, target)
		}
	}()
	return proxy
}

func (p *silentProxy) pass(from net.Conn, target string) {
	to, err := net.Dial("tcp", target)
	if err != nil {
		_ = from.Close()
		return
	}
	generation := p.generation.Load()
	copyWhileCurrent := func(from, to net.Conn) {
		buffer := make([]byte, 4<<10)
		for {
			count, err := from.Read(buffer)
			if p.generation.Load() != generation {
				// What comes is taken, and nothing ever follows.
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if err != nil {
				_ = to.Close()
				return
			}
			_, _ = to.Write(buffer[:count])
		}
	}
	go copyWhileCurrent(from, to)
	go copyWhileCurrent(to, from)
}

// TestACallAfterASilentConnectionUsesANewOne has the open connections to a process fall silent
// for good: a call on one of them ends with its time, and those after it are answered.
func TestACallAfterASilentConnectionUsesANewOne(t *testing.T) {
	target := startServer(t, "", func(context.Context, *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
		return &wire.HeartbeatReply{Known: true}, nil
	})
	proxy := startSilentProxy(t, target)
	client := newClient(t, rpc.ClientOptions{MaximumConnections: 2})
	call := func(wait time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		return client.Call(ctx, proxy.address, wire.PathHeartbeat, &wire.HeartbeatRequest{}, &wire.HeartbeatReply{})
	}
	require.NoError(t, call(20*time.Second))
	before := proxy.opened.Load()
	proxy.generation.Add(1)
	require.Error(t, call(100*time.Millisecond), "the connection in the pool is silent")
	for range 3 {
		require.NoError(t, call(20*time.Second))
	}
	require.Greater(t, proxy.opened.Load(), before)
}
