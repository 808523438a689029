package listener

import "time"

const (
	// stallBytes are to be taken within the stall time: a slow reader gets its answer, one that has
	// stopped reading does not hold it in memory for ever.
	stallBytes = 16 << 10
	// leastStall is for how long a connection has to have stalled to be closed for the sake of others:
	// longer than a packet that was lost takes to be sent again. Beyond twice what may be unread
	// shortStall is enough, longer than a reader on a busy machine takes to be scheduled.
	leastStall = time.Second
	shortStall = 50 * time.Millisecond
	roomPoll   = 5 * time.Millisecond
)

// Writing is the number of connections to which something is being written.
func (l *Listener) Writing() int { return int(l.writing.Load()) }

// Unread is the number of bytes of answers that wait for their readers.
func (l *Listener) Unread() int64 { return l.unread.Load() }

// writeSteadily writes as long as the other side reads.
func (c *connection) writeSteadily(answer []byte) (written int, err error) {
	l := c.listener
	l.writing.Add(1)
	defer l.writing.Add(-1)
	if l.StallTime <= 0 {
		return c.Conn.Write(answer)
	}
	c.beginAnswer(int64(len(answer)))
	defer c.noneUnread()
	defer c.stalledFrom.Store(0)
	for written < len(answer) {
		now := time.Now()
		c.stalledFrom.Store(now.UnixNano())
		if err := c.SetWriteDeadline(now.Add(l.StallTime)); err != nil {
			return written, err
		}
		count, err := c.Conn.Write(answer[written:min(written+stallBytes, len(answer))])
		written += count
		c.taken(int64(count))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// beginAnswer notes bytes that wait for the other side, after it has made room for them.
func (c *connection) beginAnswer(size int64) {
	l := c.listener
	l.roomMutex.Lock()
	defer l.roomMutex.Unlock()
	l.makeRoom(size)
	c.unread.Store(size)
	l.unread.Add(size)
	c.stalledFrom.Store(time.Now().UnixNano())
}

// taken notes bytes that the other side has taken, unless the connection was given up meanwhile.
func (c *connection) taken(count int64) {
	if before := c.unread.Load(); before > 0 && c.unread.CompareAndSwap(before, before-count) {
		c.listener.unread.Add(-count)
	}
}

// noneUnread notes that nothing waits for the other side any more.
func (c *connection) noneUnread() { c.listener.unread.Add(-c.unread.Swap(0)) }

// makeRoom closes connections that have stalled, the longest first, while what waits for readers would
// be too much with an answer: what slow readers hold is not to end the process. It is called with
// roomMutex held.
func (l *Listener) makeRoom(answer int64) {
	if l.MaximumUnread <= 0 {
		return
	}
	for l.unread.Load()+answer > l.MaximumUnread {
		least, hurried := leastStall, l.unread.Load()+answer > 2*l.MaximumUnread
		if hurried {
			least = shortStall
		}
		slowest := l.slowest(time.Now().Add(-least).UnixNano())
		switch {
		case slowest != nil:
			slowest.noneUnread()
			_ = slowest.closeNow()
		case hurried && l.unread.Load() > 0:
			time.Sleep(roomPoll)
		default:
			return
		}
	}
}

// slowest is the connection that has stalled for longest, since before a time; nil if none has.
func (l *Listener) slowest(before int64) *connection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var slowest *connection
	for each := range l.open {
		if from := each.stalledFrom.Load(); from != 0 && from < before {
			slowest, before = each, from
		}
	}
	return slowest
}
