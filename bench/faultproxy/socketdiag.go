package faultproxy

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Messages of the kernel's socket monitoring (sock_diag(7)), with the lengths and offsets of their fields in bytes.
const (
	diagType         = 20 // SOCK_DIAG_BY_FAMILY
	diagRequestBytes = 56
	diagReplyBytes   = 72
	diagStates       = 4
	diagLocalPort    = 4
	diagLocalIP      = 8
	diagInode        = 68
	diagBufferBytes  = 64 << 10
	// openStates are those of connections that a process holds: not TIME_WAIT (6), CLOSE (7) and LISTEN (10).
	openStates = 0xfff &^ (1<<6 | 1<<7 | 1<<10)
)

var errDiag = errors.New("the kernel's socket monitoring has failed")

// visitSockets calls visit with the local address and the inode of each open IPv4 TCP connection. Unlike the kernel's table
// of sockets, this takes no time for connections that were closed, of which there may be tens of thousands.
func visitSockets(visit func(local netip.AddrPort, inode uint32)) error {
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return err
	}
	defer func() { _ = unix.Close(socket) }()
	if err := unix.Sendto(socket, diagRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return err
	}
	buffer := make([]byte, diagBufferBytes)
	for {
		count, _, err := unix.Recvfrom(socket, buffer, 0)
		if err != nil {
			return err
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:count])
		if err != nil {
			return err
		}
		for _, message := range messages {
			switch {
			case message.Header.Type == unix.NLMSG_DONE:
				return nil
			case message.Header.Type != diagType || len(message.Data) < diagReplyBytes:
				return errDiag
			}
			visit(socketOf(message.Data))
		}
	}
}

// diagRequest returns the request for all open IPv4 TCP connections.
func diagRequest() []byte {
	request := make([]byte, unix.SizeofNlMsghdr+diagRequestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], diagType)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[unix.SizeofNlMsghdr:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[diagStates:], openStates)
	return request
}

func socketOf(reply []byte) (local netip.AddrPort, inode uint32) {
	ip := netip.AddrFrom4([4]byte(reply[diagLocalIP : diagLocalIP+4]))
	port := binary.BigEndian.Uint16(reply[diagLocalPort:])
	return netip.AddrPortFrom(ip, port), binary.NativeEndian.Uint32(reply[diagInode:])
}
