package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/event"
)

// ListKnowledge is how old what this process knows of the list of replicas is; a negative age is not known.
type ListKnowledge struct {
	// ViewAge is the age of this process's view, and CopyAge that of the coordinator's copy when it last sent one.
	ViewAge, CopyAge time.Duration
	// ListAge is the time since the beginning of the last reading of the platform's whole list, and PageAge that since a
	// page of it was read.
	ListAge, PageAge time.Duration
}

// SetListKnowledge sets a function that returns how old the list of replicas is, for the log. It must be called before the
// Runner is used.
func (r *Runner) SetListKnowledge(known func() ListKnowledge) { r.listKnowledge = known }

// logLeavingSend logs that a request is about to be sent to the replica of a lease, if that is known to be leaving: what this process
// knew of it, and how old what it goes by is.
func (r *callState) logLeavingSend(lease *Lease) {
	leaving, known := lease.leavingTimes()
	if !leaving {
		return
	}
	list := r.listKnowledge()
	r.logger.Info(event.LeavingSent, "request", r.call.ID, "replica", lease.Replica.name, "placed_by", lease.chosenBy(),
		"said_ms", known.Said.Milliseconds(), "told_ms", known.Told.Milliseconds(), "listed_ms", known.Listed.Milliseconds(),
		"view_age_ms", list.ViewAge.Milliseconds(), "copy_age_ms", list.CopyAge.Milliseconds(),
		"list_age_ms", list.ListAge.Milliseconds(), "page_age_ms", list.PageAge.Milliseconds())
}

// leavingTimes reports whether the lease's replica is known to be leaving, and since when.
func (l *Lease) leavingTimes() (leaving bool, known backpressure.LeavingTimes) {
	l.directory.mutex.Lock()
	leaving, state := l.Replica.isLeavingForGood(), l.Replica.peerState
	l.directory.mutex.Unlock()
	if state == nil {
		return leaving, backpressure.UnknownLeavingTimes
	}
	return leaving, state.LeavingTimes(l.directory.gate.Now())
}
