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

// stallingProxy forwards connections. It can stop forwarding on all open connections for good,
// without a reset, while new ones work.
type stallingProxy struct {
	address string
	// generation is the generation of new connections; connections of older ones forward nothing
	// more.
	generation atomic.Int64
	opened     atomic.Int64
}

func startStallingProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	proxy := &stallingProxy{address: listener.Addr().String()}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			proxy.opened.Add(1)
			proxy.forward(from, target)
		}
	}()
	return proxy
}

func (p *stallingProxy) forward(from net.Conn, target string) {
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
				// Data is read and discarded, and nothing is ever forwarded.
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

// TestACallAfterAStalledConnectionUsesANewOne has all open connections to a process stall for good:
// a call on one of them times out, and the calls after it are answered on new connections.
func TestACallAfterAStalledConnectionUsesANewOne(t *testing.T) {
	target := startServer(t, "", func(context.Context, *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
		return &wire.HeartbeatReply{Known: true}, nil
	})
	proxy := startStallingProxy(t, target)
	client := newClient(t, rpc.ClientOptions{MaximumConnections: 2})
	call := func(wait time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		return client.Call(ctx, proxy.address, wire.PathHeartbeat, &wire.HeartbeatRequest{}, &wire.HeartbeatReply{})
	}
	require.NoError(t, call(20*time.Second))
	before := proxy.opened.Load()
	proxy.generation.Add(1)
	require.Error(t, call(100*time.Millisecond), "the pooled connection has stalled")
	for range 3 {
		require.NoError(t, call(20*time.Second))
	}
	require.Greater(t, proxy.opened.Load(), before)
}
