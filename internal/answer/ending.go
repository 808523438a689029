package answer

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrReset says that an answer without a length is not whole: its connection has not ended in order.
var ErrReset = errors.New("the connection was reset, which does not end an answer")

// tcpCloseWait is the state of a connection whose peer has ended its side in order, and which nobody has reset since (linux/tcp_states.h).
const tcpCloseWait = 8

// Writer is who writes to a connection.
type Writer interface {
	// Wait returns once nothing is being written, with the error of the last write.
	Wait() error
}

// CheckEnd returns ErrReset if a connection whose reader was told the end of its stream has not ended in order. The system tells
// the error of a connection once: if the writer has met it, the reader is told the end.
func CheckEnd(conn net.Conn, writer Writer) error {
	if hasState(conn, tcpCloseWait) {
		return nil
	}
	// The connection has failed since, so that a write under way ends now.
	err := writer.Wait()
	// Broken pipe is what a write meets after an end in order (tcp(7)); after a reset, the one that is told of it meets that.
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrReset, err)
}

// hasState reports whether the system says that a TCP connection is in a state.
func hasState(conn net.Conn, state uint8) bool {
	found := false
	err := control(conn, func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		found = err == nil && info.State == state
	})
	return err == nil && found
}

// Arrived returns how many bytes have come on a connection that nobody has read, at most one: 0 if its peer has ended it, and unix.EAGAIN if it is
// quiet.
func Arrived(conn net.Conn) (count int, err error) {
	var first [1]byte
	controlError := control(conn, func(descriptor int) {
		count, _, err = unix.Recvfrom(descriptor, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlError != nil {
		return 0, controlError
	}
	return max(count, 0), err
}

var errNoSocket = errors.New("the connection is no socket of the system")

// control calls a function with the descriptor of a connection.
func control(conn net.Conn, do func(descriptor int)) error {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(descriptor uintptr) { do(int(descriptor)) })
}
