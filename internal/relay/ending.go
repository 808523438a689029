package relay

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// recordConnectionLoss records that the connection to a replica broke under the request, unless this
// gateway closed it, also because the answer went beyond a bound or was none, the replica's machine stopped acknowledging data, a deadline passed, or the
// replica was known to be leaving: these are no sign that the request has crashed the replica.
func (r *callState) recordConnectionLoss(ctx context.Context, lease *Lease, cause error) {
	if ctx.Err() != nil || upstream.ExceededBound(cause) != "" || answer.FaultOf(cause) != "" || lostWithLinks(cause) || errors.Is(cause, context.DeadlineExceeded) || lease.expectedToLeave() {
		return
	}
	r.connectionLost = true
	events := 0
	if r.stream != nil {
		events = r.stream.events - r.earlierEvents
	}
	loss := poison.ConnectionLoss{Request: r.call.ID, Digest: r.call.Digest(), Parts: r.call.Parts(), Elapsed: lease.age(), Events: events}
	r.crashDetector.ConnectionLost(lease.Replica.name, lease.Replica.Address, loss)
}

// hasEnded reports whether the process at an address has ended: nothing listens there, and this gateway's links work, since
// another replica takes a connection. If there are few others, they may have ended as well, and a closed port is all that
// there is to go by.
func (r *Runner) hasEnded(ctx context.Context, address string) bool {
	if !upstream.Refuses(ctx, address) {
		return false
	}
	witnesses := r.directory.witnesses(address)
	if len(witnesses) < minimumWitnesses {
		return true
	}
	connected := make(chan bool, len(witnesses))
	for _, witness := range witnesses {
		go func() { connected <- r.client.Connect(ctx, witness.Address, witness.name, witnessConnections) == nil }()
	}
	for range witnesses {
		if <-connected {
			return true
		}
	}
	return false
}

// minimumWitnesses is the number of replicas of which one has to take a connection.
// witnessConnections is the number of unused connections to a replica above which one that was made to test this gateway's
// links is not kept.
const (
	minimumWitnesses   = 3
	witnessConnections = 2
)

// expectedToLeave reports whether the replica was known to take no new work until its process ends.
func (l *Lease) expectedToLeave() bool {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.isLeavingForGood()
}

// age returns how long ago the lease began.
func (l *Lease) age() time.Duration { return l.directory.clock() - l.startedAt }
