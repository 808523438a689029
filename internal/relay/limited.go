package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
)

// EnforceLimits enables the enforcement of the limits that replicas declare. It must be called before first use.
func (r *Runner) EnforceLimits(limits *ReplicaLimits) {
	if !r.directory.disabled[mechanism.ReplicaLimits] {
		r.limits = limits
	}
}

// maximumDenials is how many denials a call may get before only replicas without a limit are considered: each
// denial costs a permit request.
const maximumDenials = 8

// permitted calls choose until it leases a replica that may be sent the request: one that declares no limit, or
// has capacity under it. The lease is nil if there is none.
func (r *callState) permitted(ctx context.Context, choose func() (*Lease, error)) (*Lease, error) {
	for {
		lease, err := choose()
		if lease == nil || err != nil || r.permits(ctx, lease) {
			return lease, err
		}
		lease.Release()
		r.denied = append(r.denied, lease.Replica)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
}

// permits reports whether a lease's replica may be sent the request under the limit that it declares, if any.
// It asks for a permit, which it adds to the lease; a denial is noted for later calls.
func (r *callState) permits(ctx context.Context, lease *Lease) bool {
	rate := lease.Limit()
	if r.limits == nil || rate < 0 {
		return true
	}
	rank := r.rank()
	permit := r.limits.Ask(ctx, PermitRequest{Request: r.call.ID, Life: lease.Replica.name, Rate: rate, Rank: rank})
	if permit.Granted {
		lease.permit = &permit
		lease.permitEnds = time.Now().Add(ratelimit.PermitTime)
		lease.restartTiming()
		return true
	}
	if ctx.Err() == nil {
		r.directory.NoteDenial(lease.Replica.name, rank, permit.Wait)
	}
	r.logger.V(1).Info(event.LimitDenied, "request", r.call.ID, "replica", lease.Replica.ID, "rate", rate, "rank", rank,
		"wait_ms", permit.Wait.Milliseconds(), "decided_by", permit.By)
	return false
}

// reserveDecodeReplica leases the decode replica before the prompt is read, if every candidate declares a
// limit: if none had capacity, the work of the prefill replica would be wasted. The lease is nil without an
// error if some candidate declares no limit, if there are no candidates, or if limits are not enforced.
func (r *callState) reserveDecodeReplica(ctx context.Context, prefillLease *Lease) (*Lease, error) {
	if r.limits == nil || !r.directory.decodeReplicasLimited(r.call.Service.Name) {
		return nil, nil
	}
	reserved, err := r.permittedDecodeReplica(ctx, prefillLease.Replica.Zone)
	if reserved == nil && err == nil {
		err = errNoReplica
	}
	return reserved, err
}

// permittedDecodeReplica leases a decode replica near a zone, for a prompt that was read elsewhere.
func (r *callState) permittedDecodeReplica(ctx context.Context, zone string) (*Lease, error) {
	return r.permitted(ctx, func() (*Lease, error) {
		return r.placer.PlaceDecode(ctx, r.call.Service.Name, r.prefillRequest(), zone), nil
	})
}

// permittedDirect leases a decode replica that is to read the prompt itself.
func (r *callState) permittedDirect(ctx context.Context) (*Lease, error) {
	return r.permitted(ctx, func() (*Lease, error) {
		return r.placer.PlaceDirect(ctx, r.call.Service.Name, r.prefillRequest()), nil
	})
}

// useReserved returns the lease that was reserved before the prompt was read, if there is one whose permit has not
// expired and whose replica has not begun to leave, and otherwise a new one: after that time the request would arrive in a
// later window than it was counted in.
func (r *callState) useReserved(ctx context.Context, reserved *Lease, zone string) (*Lease, error) {
	if reserved != nil && time.Now().Before(reserved.permitEnds) && !reserved.beganToLeave() {
		return reserved, nil
	}
	reserved.releaseIfAny()
	return r.permittedDecodeReplica(ctx, zone)
}

// countWithoutPermit counts a message to a replica that is not a request, if the replica declares a limit. Such messages
// need no permit, and are not delayed.
func (r *Runner) countWithoutPermit(replica *Replica) {
	if r.limits != nil && r.directory.declaresLimit(replica) {
		r.limits.Count(replica.name)
	}
}

// noReplicaError returns the error that says why no replica is available for the request.
func (r *callState) noReplicaError() error {
	if r.call.Software.IsSet() && !r.directory.runs(r.call.Service.Name, r.call.Software) {
		return errSoftwareGone
	}
	if wait := r.directory.backoffRetryAfter(r.call.Service.Name, r.rank()); wait > 0 {
		return &backoffError{wait: wait}
	}
	if r.limits == nil {
		return errNoReplica
	}
	wait := r.directory.limitRetryAfter(r.call.Service.Name, r.rank())
	if wait <= 0 {
		return errNoReplica
	}
	limited := &limitedError{wait: wait}
	if len(r.denied) > 0 {
		limited.replica = r.denied[len(r.denied)-1].ID
	}
	return limited
}

// backoffError rejects a request because all replicas are in a requested backoff, or as full as one was when it
// requested one; wait is the time until one accepts the request.
type backoffError struct{ wait time.Duration }

// Error implements error.
func (*backoffError) Error() string {
	return "all replicas have asked for rest, or are as full as one was that has"
}

// limitedError rejects a request because no replica has capacity under the limit that it declares. wait is the
// expected time until one has; replica is the last one that denied a permit, empty if none did.
type limitedError struct {
	wait    time.Duration
	replica string
}

// Error implements error.
func (e *limitedError) Error() string {
	if e.replica == "" {
		return "no replica has room under the limit that it names"
	}
	return fmt.Sprintf("no replica has room under the limit that it names, the last one asked about was %s", e.replica)
}

// explainNoReplica replaces errNoReplica by a more specific error, if backoffs or limits are the cause.
func (r *callState) explainNoReplica(err error) error {
	if errors.Is(err, errNoReplica) {
		return r.noReplicaError()
	}
	return err
}

// restartTiming resets the start time of the lease: the time waited for the permit is not the replica's latency.
func (l *Lease) restartTiming() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.startedAt = l.directory.clock()
}

// permitUsed notes that the request was sent, or may have been: the permit is not returned.
func (l *Lease) permitUsed() { l.permit = nil }

// returnPermit returns the permit, unless the request was sent.
func (l *Lease) returnPermit() {
	if l.permit != nil {
		l.permit.Return()
		l.permit = nil
	}
}

// releaseIfAny releases a lease that may be nil.
func (l *Lease) releaseIfAny() {
	if l != nil {
		l.Release()
	}
}
