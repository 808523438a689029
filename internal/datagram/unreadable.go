package datagram

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

// unreadableLogInterval is the minimum time between two log lines about messages of one kind: a
// process of another version may send many of them a second.
const unreadableLogInterval = time.Second

// unreadable counts and logs the messages that could not be read.
type unreadable struct {
	total atomic.Uint64
	// kinds is indexed by Kind; only the receiving goroutine uses it.
	kinds [1 << 8]unreadableKind
}

// unreadableKind holds the earliest time of the next log line about a kind, and the number of
// messages omitted since the last one.
type unreadableKind struct {
	nextLogAt time.Time
	omitted   int
}

// record counts a message, and logs it unless one of its kind was logged a short time ago.
func (u *unreadable) record(logger logr.Logger, now time.Time, kind Kind, from netip.AddrPort, cause error) {
	u.total.Add(1)
	known := &u.kinds[kind]
	if now.Before(known.nextLogAt) {
		known.omitted++
		return
	}
	logger.Info(event.MessageUnreadable, "kind", int(kind), "from", from.String(), "error", cause.Error(), "omitted", known.omitted)
	*known = unreadableKind{nextLogAt: now.Add(unreadableLogInterval)}
}
