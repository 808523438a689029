package rpc_test

import (
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

// A server that was stopped before it had begun to serve went on listening, and stop waited for the next connection.
func TestAServerThatIsStoppedAtItsStartGivesItsAddressBack(t *testing.T) {
	address := testnet.Address(t)
	for range 20 {
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		closing := rpc.NewClosingListener(listener)
		engine := server.New(server.WithListener(closing), server.WithTransport(standard.NewTransporter))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			rpc.RunServer(engine, closing)()
		}()
		select {
		case <-stopped:
		case <-time.After(10 * time.Second):
			require.FailNow(t, "the server doesn't stop")
		}
	}
}
