package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pierhaven/pierhaven/internal/answer"
)

const (
	readBufferBytes = 4 << 10
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before the connection is given up: a machine
	// that has lost its power or its network says nothing. It also decides when unanswered keep-alive probes end the
	// connection (tcp(7), TCP_USER_TIMEOUT), at the first multiple of keepAliveInterval from keepAliveIdle on that reaches
	// it; their count does not matter. A sound machine may be silent for a second or so.
	unacknowledgedTimeout = 2500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are whole seconds, as the system counts them.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// connection is one connection to a replica.
type connection struct {
	net.Conn
	source *source
	reader *bufio.Reader
	// idleSince and idleUntil bound its rest in the pool.
	idleSince time.Time
	idleUntil time.Time
}

func newConnection(opened net.Conn) *connection {
	from := &source{Conn: opened}
	return &connection{Conn: opened, source: from, reader: bufio.NewReaderSize(from, readBufferBytes)}
}

// newDialer returns a dialer whose connections notice a peer that has fallen
// silent.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// Best effort: without it, silence is noticed by time-outs alone.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
}

// quiet reports whether an idle connection is still open and nothing has come
// on it since its last answer.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := answer.Arrived(c.Conn)
	return errors.Is(err, unix.EAGAIN)
}
