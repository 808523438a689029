package relay

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// replicaLost notes that the connection to a replica has broken under the request, unless this
// gateway has closed it, the replica has fallen silent or was known to leave.
func (r *run) replicaLost(ctx context.Context, lease *Lease, cause error) {
	if ctx.Err() != nil || upstream.Silent(cause) || errors.Is(cause, context.DeadlineExceeded) || lease.leavesByPlan() {
		return
	}
	r.lost = true
	events := 0
	if r.stream != nil {
		events = r.stream.events - r.eventsBefore
	}
	loss := poison.Loss{Request: r.call.ID, Digest: r.call.Digest(), After: lease.age(), Events: events}
	r.ends.Note(lease.Replica.name, lease.Replica.Address, loss)
}

// leavesByPlan reports whether the replica was known to take no new work.
func (l *Lease) leavesByPlan() bool {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.ends()
}

// age is how long ago the lease began.
func (l *Lease) age() time.Duration { return l.directory.clock() - l.begun }
