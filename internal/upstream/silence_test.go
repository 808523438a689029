package upstream

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// shortSilence is for how long a sound replica may acknowledge nothing.
const shortSilence = 1500 * time.Millisecond

// Guards against connections that are given up because a sound replica is silent for a second or so. The system's rule
// (Linux, tcp_keepalive_timer) is applied to the options of a connection: sent bytes may stay unacknowledged for the user
// timeout, which also decides when unanswered keep-alive probes end the connection, whatever their count.
func TestAConnectionOutlivesASecondOfSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	connection, err := newDialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	option := func(number int) time.Duration {
		raw, err := connection.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		var value int
		var failed error
		require.NoError(t, raw.Control(func(descriptor uintptr) {
			value, failed = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, number)
		}))
		require.NoError(t, failed)
		return time.Duration(value)
	}
	userTimeout := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
	idle, interval := option(unix.TCP_KEEPIDLE)*time.Second, option(unix.TCP_KEEPINTVL)*time.Second
	assert.Greater(t, userTimeout, shortSilence)
	ends := idle + interval
	for ends < userTimeout {
		ends += interval
	}
	assert.Greater(t, ends-idle, shortSilence, "the silence may begin when the first probe is sent")
}
