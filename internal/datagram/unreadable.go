package datagram

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

// unreadableLogPause is the least time between two lines on messages of one kind: a process of another
// version may send many of them a second.
const unreadableLogPause = time.Second

// unreadable counts the messages that could not be read, and tells of them.
type unreadable struct {
	total atomic.Uint64
	// kinds are by Kind; only the receiving goroutine uses them.
	kinds [1 << 8]unreadableKind
}

// unreadableKind is when the next line on a kind may be written, and how many messages had none since
// the last one.
type unreadableKind struct {
	logAt   time.Time
	omitted int
}

// note counts a message, and writes a line unless one on its kind was written a short time ago.
func (u *unreadable) note(logger logr.Logger, now time.Time, kind Kind, from netip.AddrPort, cause error) {
	u.total.Add(1)
	known := &u.kinds[kind]
	if now.Before(known.logAt) {
		known.omitted++
		return
	}
	logger.Info(event.MessageUnreadable, "kind", int(kind), "from", from.String(), "error", cause.Error(), "omitted", known.omitted)
	*known = unreadableKind{logAt: now.Add(unreadableLogPause)}
}
