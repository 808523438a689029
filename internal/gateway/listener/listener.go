// Package listener bounds the connections of a server and closes those that are
// left when it stops.
package listener

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Listener accepts up to a number of connections at a time. One more is closed
// at once, which costs the process nothing.
type Listener struct {
	net.Listener
	// StallTime bounds the time in which a connection's other side takes none of what is written to
	// it; 0 sets no bound. It is set before the first Accept.
	StallTime time.Duration
	// MaximumUnread bounds the bytes of answers that nobody has read yet, over all connections: beyond it
	// those that have stalled for longest are closed. 0 sets no bound; it is set before the first Accept.
	MaximumUnread int64
	maximum       int
	// onRefusal is told of each refusal that was made before any handler.
	onRefusal func(failure.Kind)
	// writing counts the connections to which something is being written, and unread the bytes of it
	// that were not taken yet.
	writing, unread atomic.Int64
	// roomMutex has answers that begin together make room one after the other.
	roomMutex sync.Mutex

	mutex  sync.Mutex
	open   map[*connection]struct{}
	turned uint64
}

// Listen opens a listener on an address (IP:port). onRefusal is called for each request that is refused before any handler.
func Listen(address string, maximum int, onRefusal func(failure.Kind)) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, maximum: maximum, onRefusal: onRefusal, open: map[*connection]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(accepted); admitted != nil {
			return admitted, nil
		}
		_ = accepted.Close()
	}
}

func (l *Listener) admit(accepted net.Conn) net.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.open) >= l.maximum {
		l.turned++
		return nil
	}
	admitted := &connection{Conn: accepted, listener: l}
	l.open[admitted] = struct{}{}
	return admitted
}

// Open is the number of open connections.
func (l *Listener) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open)
}

// TurnedAway counts the connections closed because there were too many.
func (l *Listener) TurnedAway() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.turned
}

// CloseConnections closes every open connection.
func (l *Listener) CloseConnections() {
	l.mutex.Lock()
	left := make([]*connection, 0, len(l.open))
	for open := range l.open {
		left = append(left, open)
	}
	l.mutex.Unlock()
	for _, open := range left {
		_ = open.Close()
	}
}

// connection takes itself off the listener's list when it is closed, and gives
// the library's plain refusals the form of all others.
type connection struct {
	net.Conn
	listener *Listener
	refused  atomic.Bool
	closing  atomic.Bool
	// answering is set while a handler answers a request, and not while one is read.
	answering atomic.Bool
	// stalledFrom is since when nothing of what is written was taken, in nanoseconds since 1970; 0 while
	// nothing is written.
	stalledFrom atomic.Int64
	// unread are the bytes of what is written that were not taken yet.
	unread atomic.Int64
}

// Write implements net.Conn.
func (c *connection) Write(answer []byte) (int, error) {
	kind, isRefusal := refusalKind(answer)
	if !isRefusal || c.answering.Load() {
		return c.writeSteadily(answer)
	}
	c.refused.Store(true)
	c.listener.onRefusal(kind)
	if _, err := c.writeSteadily(renderRefusal(kind)); err != nil {
		return 0, err
	}
	return len(answer), nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	if c.refused.Load() {
		go c.closeSlowly()
		return nil
	}
	return c.closeNow()
}

func (c *connection) closeNow() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

const (
	// lingerTime and lingerBytes bound what is read and thrown away after a
	// refusal, so that its sender, still sending, gets to read it: closing with
	// unread bytes would reset the connection.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// closeSlowly closes the sending side first. The connection counts as open
// meanwhile, so the listener's bound holds.
func (c *connection) closeSlowly() {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.closeNow()
}
