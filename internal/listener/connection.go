package listener

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/membudget"
)

// phase is what a connection is at. They are ordered by how far it is from a whole request, the furthest first.
type phase int32

const (
	// phaseClosing: it was refused, and what its other side still sends is dropped.
	phaseClosing phase = iota
	// phaseNew: nothing has come yet.
	phaseNew
	phaseHead
	phaseBody
	// phaseIdle: a request was answered, and none has begun since.
	phaseIdle
	// phaseHandedOver: a request is whole and the HTTP library reads it.
	phaseHandedOver
	phaseServing
	phases
)

// phaseNames are the values of the label of metrics.
var phaseNames = [phases]string{"closing", "new", "head", "body", "idle", "handed_over", "serving"}

// ending is why a connection is to give its request up.
type ending int32

const (
	endNone ending = iota
	endIdle
	endSlow
	endNoRoom
	endNoPlace
	endings
)

// endingNames are the values of the label of metrics.
var endingNames = [endings]string{"", "idle", "slow", "no_room", "no_place"}

// connection reads requests whole, and bounds what is kept of them, before the HTTP library gets them. It takes itself off the listener's
// list when it is closed, and gives the library's plain refusals the form of all others.
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

	// received are the bytes of the request under way, and progressAt is when the last of its body came, in nanoseconds since 1970.
	received   atomic.Int64
	progressAt atomic.Int64
	// waiting says that the request waits for room in memory.
	waiting atomic.Bool
	// keptBytes are those of kept, which only the reading goroutine uses.
	keptBytes atomic.Int64
	kept      membudget.Reservation

	// pending came behind a whole request, ready is what the library has yet to get of one, and body is its body.
	pending, ready, body []byte
	// headBytes stay kept until the connection ends: the library's buffers do.
	headBytes int64

	// mutex guards what follows, with the deadline of reads.
	mutex  sync.Mutex
	phase  phase
	ending ending
	// lastLooked is set once a connection that is to end was looked at once more.
	lastLooked bool
	// since is when the phase began, or in phaseBody when windowBytes had come.
	since       time.Time
	windowBytes int64
}

// abortDeadline is a deadline in the past that ends a read under way. It is the one by which the HTTP library ends its wait for a
// connection's end.
var abortDeadline = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. The library's times for requests don't count: the listener has its own.
func (c *connection) SetReadDeadline(at time.Time) error {
	if at.After(abortDeadline) {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.IsZero() && c.phase == phaseHandedOver {
		c.phase = phaseServing
	}
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn. It returns bytes of a request only once the request is whole.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(c.ready) == 0 {
		switch c.current() {
		case phaseServing:
			return 0, c.awaitEnd(buffer)
		case phaseHandedOver:
			// To the library the head isn't whole.
			return 0, io.ErrUnexpectedEOF
		}
		if err := c.receive(buffer); err != nil {
			c.giveUp(err)
			return 0, io.EOF
		}
	}
	count := copy(buffer, c.ready)
	c.ready = c.ready[count:]
	if len(c.ready) == 0 {
		c.ready = nil
	}
	return count, nil
}

// awaitEnd returns once the other side has closed the connection or has sent the next request. The latter is an error like that of a
// deadline: the library has to get it whole.
func (c *connection) awaitEnd(buffer []byte) error {
	if len(c.pending) > 0 {
		return os.ErrDeadlineExceeded
	}
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.pending = clone(buffer[:count])
		return os.ErrDeadlineExceeded
	}
	return err
}

// current returns the phase.
func (c *connection) current() phase {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase
}

// ended returns why the connection is to give its request up.
func (c *connection) ended() ending {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending
}

// enter begins a phase.
func (c *connection) enter(next phase) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.since, c.windowBytes = next, now, c.received.Load()
	c.keepOn()
}

// keepOn takes back that an idle connection was to end: a request has begun. The caller must hold c.mutex.
func (c *connection) keepOn() {
	if c.ending != endIdle {
		return
	}
	c.ending, c.lastLooked = endNone, false
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// handOver begins the phase in which the library reads a request. It is no longer given up.
func (c *connection) handOver() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = phaseHandedOver
	if c.ending != endNone {
		c.ending = endNone
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// finish notes that a request was answered.
func (c *connection) finish() {
	c.body = nil
	c.received.Store(0)
	if c.headBytes == 0 {
		c.listener.memory.release(c)
	} else if c.keptBytes.Load() > c.headBytes {
		_ = c.keep(c.headBytes)
		c.listener.memory.room.Broadcast()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.since = phaseIdle, time.Now()
}

// keep sets what is kept of the connection's request, in bytes.
func (c *connection) keep(size int64) error {
	if err := c.kept.Resize(size); err != nil {
		return err
	}
	c.keptBytes.Store(size)
	return nil
}

// end has the connection give its request up, if it isn't whole yet.
func (c *connection) end(reason ending) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.endLocked(reason)
}

func (c *connection) endLocked(reason ending) {
	if c.phase == phaseClosing || c.phase > phaseIdle || c.ending != endNone {
		return
	}
	c.ending = reason
	_ = c.Conn.SetReadDeadline(abortDeadline)
	c.listener.counts.end(reason)
}

// lastLook is for how long an idle connection that is to end is looked at once more.
const lastLook = time.Millisecond

// mayHaveArrived reports whether the connection was to end for being idle: a request may have arrived that a busy process, or one that was
// suspended, has not read yet. If so, it has one more look.
func (c *connection) mayHaveArrived() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending != endIdle || c.lastLooked {
		return false
	}
	c.lastLooked = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook))
	return true
}

// leastWindowBytes of a body, or its end, have to come within the time for a head.
const leastWindowBytes = 4 << 10

// expire ends the connection if it has been idle, or has taken for its request, longer than the limits allow.
func (c *connection) expire(now time.Time, limits Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	age := now.Sub(c.since)
	switch c.phase {
	case phaseNew, phaseIdle:
		if age > limits.IdleTime {
			c.endLocked(endIdle)
		}
	case phaseHead:
		if age > limits.HeaderTime {
			c.endLocked(endSlow)
		}
	case phaseBody:
		if age <= limits.HeaderTime && !c.waiting.Load() {
			return
		}
		received := c.received.Load()
		if !c.waiting.Load() && received-c.windowBytes < leastWindowBytes {
			c.endLocked(endSlow)
		}
		c.since, c.windowBytes = now, received
	}
}

// stopShare of the time for a head is after which a body from which nothing has come, or was read, gives way to others.
const stopShare = 0.25

// hasStopped reports whether nothing of the connection's body has come, or was read for want of room, for some time.
func (c *connection) hasStopped(now time.Time) bool {
	patience := time.Duration(stopShare * float64(c.listener.limits().HeaderTime))
	return now.UnixNano()-c.progressAt.Load() > int64(patience)
}

// progress notes bytes of a body.
func (c *connection) progress(count int) {
	c.received.Add(int64(count))
	c.progressAt.Store(time.Now().UnixNano())
}

// Write implements net.Conn.
func (c *connection) Write(answer []byte) (int, error) {
	if c.answering.Load() {
		return c.writeSteadily(answer)
	}
	if string(answer) == continueAnswer {
		// It was sent before the body was read.
		return len(answer), nil
	}
	kind, isRefusal := refusalKind(answer)
	if !isRefusal {
		return c.writeSteadily(answer)
	}
	if err := c.refuse(kind); err != nil {
		return 0, err
	}
	return len(answer), nil
}

// refuse answers a request that no handler gets.
func (c *connection) refuse(kind failure.Kind) error {
	c.refused.Store(true)
	c.listener.counts.refused.Add(1)
	c.listener.onRefusal(kind)
	_, err := c.writeSteadily(renderRefusal(kind))
	return err
}

// Close implements net.Conn. It is called by the goroutine that reads.
func (c *connection) Close() error {
	c.listener.memory.release(c)
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
	c.closing.Store(true)
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
	c.enter(phaseClosing)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.closeNow()
}
