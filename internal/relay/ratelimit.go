package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
)

// RateLimit is what a replica's answer says of the requests that it takes.
type RateLimit struct {
	// Named says that the answer names a limit, and Unreadable that it names one that can't be read.
	Named, Unreadable bool
	// Rate is the requests a second that the replica takes from all gateways together.
	Rate float64
}

// limitLogPause is the least time between two lines on one replica's limit, which may be another
// one in each answer.
const limitLogPause = time.Second

// namedLimit is the limit that a replica names, as this process knows it. It is guarded by the
// Directory's mutex.
type namedLimit struct {
	named bool
	rate  float64
	// logAt is when the next line may be written, and omitted are the changes since the last one.
	logAt   time.Duration
	omitted int
}

// NoteLimit notes what the replica's answer says of a limit. An answer that has not run the request
// and names none says nothing: a refusal need not come from where limits are named.
func (l *Lease) NoteLimit(told RateLimit, ran bool) {
	if told.Unreadable || !told.Named && !ran {
		return
	}
	d := l.directory
	if !told.Named && d.limited.Load() == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.setLimit(l.Replica, told.Named, told.Rate)
}

// setLimit is called with the mutex held.
func (d *Directory) setLimit(replica *Replica, named bool, rate float64) {
	known := &replica.limit
	if known.named == named && known.rate == rate {
		return
	}
	if known.named != named {
		d.countLimited(named)
	}
	before := known.rate
	known.named, known.rate = named, rate
	now := d.clock()
	if now < known.logAt {
		known.omitted++
		return
	}
	d.logger.Info(event.LimitNamed, "replica", replica.ID, "named", named, "rate", rate, "before", before, "omitted", known.omitted)
	known.logAt, known.omitted = now+limitLogPause, 0
}

// countLimited counts a replica that names a limit, or no more.
func (d *Directory) countLimited(named bool) {
	if named {
		d.limited.Add(1)
		return
	}
	d.limited.Add(-1)
}

// LimitedCount is the number of replicas that name a limit, as this process knows it.
func (d *Directory) LimitedCount() int { return int(d.limited.Load()) }

// Limit is the rate that the lease's replica names, negative if it names none.
func (l *Lease) Limit() float64 {
	if l.directory.limited.Load() == 0 {
		return noLimit
	}
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if !l.Replica.limit.named {
		return noLimit
	}
	return l.Replica.limit.rate
}

// noLimit stands for no limit in log lines.
const noLimit = -1.0
