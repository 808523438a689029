package upstream

import (
	"net"
	"time"

	"github.com/pierhaven/pierhaven/internal/headlimit"
	"github.com/pierhaven/pierhaven/internal/membudget"
)

// source is what the buffered reader of a connection reads from. It counts what one exchange has brought, and bounds the time of its heads.
type source struct {
	net.Conn
	// received is the number of bytes since the exchange began.
	received int64
	// head bounds the head that is being read; nil at other times.
	head *headGuard
}

// Read implements io.Reader.
func (s *source) Read(buffer []byte) (int, error) {
	if s.head != nil && s.head.hasBegun {
		if err := s.head.wait(s.Conn); err != nil {
			return 0, err
		}
	}
	count, err := s.Conn.Read(buffer)
	s.received += int64(count)
	if s.head != nil && count > 0 {
		s.head.hasBegun = true
	}
	return count, err
}

// headMemory is the number of bytes that are kept of a head for each of its own, its fields and the copies of them.
const headMemory = 4

// headGuard bounds the bytes, the memory and the time that the heads of an exchange take.
type headGuard struct {
	counter headlimit.Counter
	kept    *membudget.Reservation
	// deadline returns until when a head that has begun now has to be whole; nil sets no bound, as a zero time does.
	deadline func() time.Time
	// hasBegun is set once bytes of the head under way have come.
	hasBegun bool
	// until is what deadline has returned, and waits is set while it applies.
	until time.Time
	waits bool
}

// count takes in bytes of a head, and returns the bound that it goes beyond.
func (g *headGuard) count(data []byte) error {
	if err := g.counter.Add(data); err != nil {
		return withBound(err)
	}
	if err := g.kept.Resize(g.held()); err != nil {
		return &ExcessError{Bound: BoundMemory}
	}
	return nil
}

// held is the number of bytes that are kept of heads, as far as they are more than the connection's own buffer.
func (g *headGuard) held() int64 {
	if g.counter.Bytes() <= readBufferBytes {
		return 0
	}
	return headMemory * int64(g.counter.Bytes())
}

// wait bounds the time for the rest of a head.
func (g *headGuard) wait(conn net.Conn) error {
	if g.deadline == nil || g.waits {
		return nil
	}
	if g.until.IsZero() {
		g.until = g.deadline()
	}
	g.waits = !g.until.IsZero()
	return conn.SetReadDeadline(g.until)
}

// stopWaiting takes the bound away: what follows a head may take its time.
func (g *headGuard) stopWaiting(conn net.Conn) error {
	if !g.waits {
		return nil
	}
	g.waits = false
	return conn.SetReadDeadline(time.Time{})
}
