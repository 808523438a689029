// Package listener bounds what clients make a process hold: connections, and what is kept of requests on them from the first byte until
// the answer. It closes the connections that are left when a server stops.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Limits bound a request, and how long its connection may take.
type Limits struct {
	// HeaderBytes bounds the request line and, apart from it, the fields and the trailers. BodyBytes bounds the body.
	HeaderBytes, BodyBytes int
	// HeaderTime bounds the time from the first byte of a request to the end of its head, and that in which a part of its body has to
	// come. IdleTime bounds the time before the first byte.
	HeaderTime, IdleTime time.Duration
}

// DefaultLimits are those of a listener that is given none.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 10, HeaderTime: 30 * time.Second, IdleTime: 3 * time.Minute}

// Listener accepts up to a number of connections at a time. If one more comes, one that is far from a whole request gives way to it; if there
// is none, the new one is closed at once, which costs the process nothing.
type Listener struct {
	net.Listener
	// Name is what logs call the listener.
	Name string
	// Limits returns the limits in force; nil selects DefaultLimits. It is set before the first Accept, as is what follows.
	Limits func() Limits
	// Internal says that the process's peers use the listener, which have a part of the memory for themselves.
	Internal bool
	// KeptPerBodyByte is how many bytes a handler keeps for each byte of a body, the body included; 0 is 1.
	KeptPerBodyByte int64
	// Logger gets a line for what was closed and refused in the last sweepInterval.
	Logger logr.Logger
	// StallTime bounds the time in which a connection's other side takes none of what is written to
	// it; 0 sets no bound. It is set before the first Accept.
	StallTime time.Duration
	// MaximumUnread bounds the bytes of answers that nobody has read yet, over all connections: beyond it
	// those that have stalled for longest are closed. 0 sets no bound; it is set before the first Accept.
	MaximumUnread int64
	maximum       int
	memory        *Memory
	// onRefusal is told of each refusal that was made before any handler.
	onRefusal func(failure.Kind)
	// writing counts the connections to which something is being written, and unread the bytes of it
	// that were not taken yet.
	writing, unread atomic.Int64
	// roomMutex has answers that begin together make room one after the other.
	roomMutex sync.Mutex

	counts counts

	mutex  sync.Mutex
	open   map[*connection]struct{}
	turned uint64
	// sweeping is set while a goroutine looks after the open connections.
	sweeping bool
}

// Listen opens a listener on an address (IP:port). onRefusal is called for each request that is refused before any handler.
func Listen(address string, maximum int, onRefusal func(failure.Kind)) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Wrap(inner, maximum, onRefusal), nil
}

// Wrap returns a listener of the connections that another one accepts.
func Wrap(inner net.Listener, maximum int, onRefusal func(failure.Kind)) *Listener {
	return &Listener{Listener: inner, maximum: maximum, onRefusal: onRefusal, memory: NewMemory(0), open: map[*connection]struct{}{}}
}

// Use has requests kept in a memory, together with those of the process's other listeners; nil leaves the listener with one of its own.
// It is called before the first Accept.
func (l *Listener) Use(memory *Memory) {
	if memory == nil {
		return
	}
	l.memory = memory
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.listeners = append(memory.listeners, l)
}

func (l *Listener) limits() Limits {
	if l.Limits == nil {
		return DefaultLimits
	}
	return l.Limits()
}

func (l *Listener) keptPerBodyByte() int64 { return max(l.KeptPerBodyByte, 1) }

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
	if len(l.open) >= l.maximum && !l.makePlace() {
		l.turned++
		return nil
	}
	admitted := &connection{Conn: accepted, listener: l, phase: phaseNew, since: time.Now(), kept: l.memory.budget(l.Internal).Reserve()}
	l.open[admitted] = struct{}{}
	if !l.sweeping {
		l.sweeping = true
		go l.sweep()
	}
	return admitted
}

// makePlace closes the connection that is furthest from a whole request, the one that has been there for longest among equals, and reports
// whether there was one. The caller must hold l.mutex.
func (l *Listener) makePlace() bool {
	var furthest *connection
	var place placeRank
	for c := range l.open {
		if rank, gives := c.placeRank(); gives && (furthest == nil || rank.before(place)) {
			furthest, place = c, rank
		}
	}
	if furthest == nil {
		return false
	}
	delete(l.open, furthest)
	furthest.end(endNoPlace)
	furthest.closing.Store(true)
	_ = furthest.Conn.Close()
	return true
}

// sweepInterval is a fraction of the time within which changed limits are in force on open connections.
const sweepInterval = 500 * time.Millisecond

// sweep ends connections that take longer than the limits in force allow, as long as there are any.
func (l *Listener) sweep() {
	var told countsSnapshot
	for {
		began := time.Now()
		time.Sleep(sweepInterval)
		now, limits := time.Now(), l.limits()
		// A process that was suspended, or had no processor, has yet to read what has come meanwhile.
		if now.Sub(began) < 2*sweepInterval {
			for _, c := range l.connections() {
				c.expire(now, limits)
			}
		}
		l.memory.room.Broadcast()
		l.memory.collectAfterCrowd()
		if counted := l.counted(); counted != told {
			told = counted
			l.logCounts(counted)
		}
		if l.endSweep() {
			return
		}
	}
}

// endSweep reports whether no connection is left to look after.
func (l *Listener) endSweep() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sweeping = len(l.open) > 0 || l.memory.crowded.Load()
	return !l.sweeping
}

func (l *Listener) logCounts(counted countsSnapshot) {
	l.Logger.Info(event.ConnectionsClosed, "listener", l.Name, "open", l.Open(), "idle", counted.endings[endIdle], "slow", counted.endings[endSlow],
		"no_room", counted.endings[endNoRoom], "no_place", counted.endings[endNoPlace], "turned_away", counted.turned, "refused", counted.refused,
		"request_bytes", l.memory.Held())
}

// connections returns the open connections.
func (l *Listener) connections() []*connection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]*connection, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
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
	for _, open := range l.connections() {
		_ = open.closeNow()
	}
}
