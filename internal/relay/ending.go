package relay

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// recordConnectionLoss records that the connection to a replica broke under the request, unless this
// gateway closed it, the replica's machine stopped acknowledging data, a deadline passed, or the replica was
// known to be leaving: these are no sign that the request has crashed the replica.
func (r *callState) recordConnectionLoss(ctx context.Context, lease *Lease, cause error) {
	if ctx.Err() != nil || upstream.Silent(cause) || errors.Is(cause, context.DeadlineExceeded) || lease.expectedToLeave() {
		return
	}
	r.connectionLost = true
	events := 0
	if r.stream != nil {
		events = r.stream.events - r.earlierEvents
	}
	loss := poison.ConnectionLoss{Request: r.call.ID, Digest: r.call.Digest(), Elapsed: lease.age(), Events: events}
	r.crashDetector.ConnectionLost(lease.Replica.name, lease.Replica.Address, loss)
}

// expectedToLeave reports whether the replica was known to take no new work until its process ends.
func (l *Lease) expectedToLeave() bool {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.isLeavingForGood()
}

// age returns how long ago the lease began.
func (l *Lease) age() time.Duration { return l.directory.clock() - l.startedAt }
