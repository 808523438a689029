// Package testnet gives tests loopback addresses at which a stopped process can listen again.
//
// A port of 127.0.0.1 that a test has given back may be taken at once as the local port of
// any connection that is made on the machine, and can't be listened at until that ends.
// Connections come from 127.0.0.1, so that other loopback addresses are free of them.
package testnet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Ports that are given lie below those that Linux gives to connections and to listeners that name none.
const (
	firstPort = 10000
	ports     = 32768 - firstPort
)

// given counts the ports that this test process has handed out. They go in turn: one that the system
// chooses may be given again before the process that it is meant for listens at it.
var given atomic.Uint32

// Listen listens at a free port of this test process's own loopback address.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	for {
		port := firstPort + given.Add(1)%ports
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host(), port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		return listener
	}
}

// Address is one that a process of the test may listen at, again and again.
func Address(t testing.TB) string {
	t.Helper()
	listener := Listen(t)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// host is the address of this process: no two that run at the same time have the same.
func host() string {
	number := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+number>>16&0x3f, number>>8&0xff, number&0xff)
}
