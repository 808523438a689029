package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Kind is the kind of a message, its first byte.
type Kind byte

// Kinds of messages.
const (
	// KindOutstanding carries a region.Outstanding.
	KindOutstanding Kind = iota + 1
	// KindPlacement carries a region.PlacementMessage.
	KindPlacement
	// KindPlacementReply carries a region.PlacementReply.
	KindPlacementReply
	// KindQuota carries a quota.GatewayMessage, KindQuotaReply a quota.GatewayReply and
	// KindQuotaPeer a quota.PeerMessage.
	KindQuota
	KindQuotaReply
	KindQuotaPeer
	// KindLimit, KindLimitReply and KindLimitPeer carry the same for the limits that replicas
	// declare, and KindLimitReport a ratelimit.Message.
	KindLimit
	KindLimitReply
	KindLimitPeer
	KindLimitReport
	// KindBackoffReport carries a region.BackoffReport.
	KindBackoffReport
	// KindOrigin carries an origin.Message, KindOriginReply an origin.Reply.
	KindOrigin
	KindOriginReply
	kindEnd
)

const (
	// MaximumBytes bounds a message; Send rejects larger ones. The network would split them into
	// so many fragments that they are lost too often, as each lost fragment loses its message.
	MaximumBytes = 8 << 10
	// Overhead is what a message takes on the network in addition to its bytes: the headers of IPv4
	// and UDP.
	Overhead = 28
	// receiveBuffer is the size of the socket's receive buffer, in bytes. It holds messages that
	// arrive while the process does not run.
	receiveBuffer = 256 << 10
)

// Handler handles a message. It must not keep the payload. An error says that the message can't be
// read: its sender may run another version.
type Handler func(from netip.AddrPort, payload []byte) error

// Socket sends and receives messages. It is safe for concurrent use.
type Socket struct {
	// Logger logs messages that can't be read. It must be set before Run.
	Logger     logr.Logger
	connection atomic.Pointer[net.UDPConn]
	handlers   [kindEnd]Handler
	unreadable unreadable
}

// Handle registers the handler for messages of a kind. It must be called before Run.
func (s *Socket) Handle(kind Kind, handler Handler) { s.handlers[kind] = handler }

// Run listens at an IP:port and passes messages to their handlers, one after the other, until the
// context ends. An error says that it can't listen there.
func (s *Socket) Run(ctx context.Context, address string) error {
	bound, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	connection, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	// Errors are ignored: a smaller buffer only loses more messages, which receivers tolerate.
	_ = connection.SetReadBuffer(receiveBuffer)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	s.connection.Store(connection)
	s.receive(connection)
	return nil
}

func (s *Socket) receive(connection *net.UDPConn) {
	buffer := make([]byte, MaximumBytes)
	for {
		count, from, err := connection.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || count == 0 {
			// The closed port of a peer that has ended may be reported as an error here. What was
			// sent to it is lost.
			continue
		}
		kind, sender := Kind(buffer[0]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err := s.handle(kind, sender, buffer[1:count]); err != nil {
			s.unreadable.record(s.Logger, time.Now(), kind, sender, err)
		}
	}
}

// errUnknownKind says that no handler is registered for messages of a kind.
var errUnknownKind = errors.New("messages of this kind are not known")

// handle passes a message to the handler of its kind.
func (s *Socket) handle(kind Kind, from netip.AddrPort, payload []byte) error {
	if kind >= kindEnd || s.handlers[kind] == nil {
		return errUnknownKind
	}
	return s.handlers[kind](from, payload)
}

// Unreadable returns the number of messages that could not be read.
func (s *Socket) Unreadable() uint64 { return s.unreadable.total.Load() }

// Send sends a message to each target, and returns the bytes that this takes on the network. It
// returns 0 if the message can't be encoded or is too large, or if the socket does not listen. An
// error at a target is ignored like any other loss.
func (s *Socket) Send(kind Kind, message msgp.Marshaler, targets ...netip.AddrPort) int {
	connection := s.connection.Load()
	if connection == nil {
		return 0
	}
	encoded, err := message.MarshalMsg([]byte{byte(kind)})
	if err != nil || len(encoded) > MaximumBytes {
		return 0
	}
	for _, target := range targets {
		_, _ = connection.WriteToUDPAddrPort(encoded, target)
	}
	return len(targets) * (len(encoded) + Overhead)
}
