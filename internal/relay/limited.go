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

// KeepLimits has the limits kept that replicas name. It is called before any use.
func (r *Runner) KeepLimits(limits *ReplicaLimits) {
	if !r.directory.off[mechanism.ReplicaLimits] {
		r.limits = limits
	}
}

// maximumDenials is how many replicas without room a call may meet before only those that name no
// limit are looked at: each costs a question.
const maximumDenials = 8

// permitted leases what choose chooses, until a replica takes the request: one that names no limit, or
// has room under it. The lease is nil if there is none.
func (r *run) permitted(ctx context.Context, choose func() (*Lease, error)) (*Lease, error) {
	for {
		lease, err := choose()
		if lease == nil || err != nil || r.takes(ctx, lease) {
			return lease, err
		}
		lease.Release()
		r.denied = append(r.denied, lease.Replica)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
}

// takes reports whether a lease's replica takes the request, as far as the limit goes that it names.
func (r *run) takes(ctx context.Context, lease *Lease) bool {
	rate := lease.Limit()
	if r.limits == nil || rate < 0 {
		return true
	}
	rank := rankOf(r.call.Route.Priority)
	permit := r.limits.Ask(ctx, LimitQuestion{Request: r.call.ID, Life: lease.Replica.name, Rate: rate, Rank: rank})
	if permit.Granted {
		lease.permit = &permit
		lease.permitEnds = time.Now().Add(ratelimit.PermitTime)
		lease.beginNow()
		return true
	}
	if ctx.Err() == nil {
		r.directory.Denied(lease.Replica.name, rank, permit.Wait)
	}
	r.logger.V(1).Info(event.LimitDenied, "request", r.call.ID, "replica", lease.Replica.ID, "rate", rate, "rank", rank,
		"wait_ms", permit.Wait.Milliseconds(), "decided_by", permit.By)
	return false
}

// reserveGenerator leases the replica that is to generate before the prompt is read, if each that could
// names a limit: a prompt for which none has room would be read in vain. The lease is nil if some
// replica names none.
func (r *run) reserveGenerator(ctx context.Context, reader *Lease) (*Lease, error) {
	if r.limits == nil || !r.directory.generatorsLimited(r.call.Service.Name) {
		return nil, nil
	}
	reserved, err := r.permittedGenerator(ctx, reader.Replica.Zone)
	if reserved == nil && err == nil {
		err = errNoReplica
	}
	return reserved, err
}

// permittedGenerator leases a replica near a zone to generate for a prompt that was read.
func (r *run) permittedGenerator(ctx context.Context, zone string) (*Lease, error) {
	return r.permitted(ctx, func() (*Lease, error) {
		return r.placer.Generator(ctx, r.call.Service.Name, r.readRequest(), zone), nil
	})
}

// permittedDirect leases a generating replica that is to read the prompt itself.
func (r *run) permittedDirect(ctx context.Context) (*Lease, error) {
	return r.permitted(ctx, func() (*Lease, error) {
		return r.placer.Direct(ctx, r.call.Service.Name, r.readRequest()), nil
	})
}

// useReserved returns a lease that was made before the prompt was read, or another one if it has been
// kept back for so long that its request would come in another window than it was counted in.
func (r *run) useReserved(ctx context.Context, reserved *Lease, zone string) (*Lease, error) {
	if reserved != nil && time.Now().Before(reserved.permitEnds) {
		return reserved, nil
	}
	reserved.releaseIfAny()
	return r.permittedGenerator(ctx, zone)
}

// countUnasked counts what is sent to a replica beside requests: it holds nothing up, and is not held up.
func (r *Runner) countUnasked(replica *Replica) {
	if r.limits != nil && r.directory.namesLimit(replica) {
		r.limits.Count(replica.name)
	}
}

// noReplica is why no replica is left for the request.
func (r *run) noReplica() error {
	if wait := r.directory.restsReturn(r.call.Service.Name, rankOf(r.call.Route.Priority)); wait > 0 {
		return &restingError{wait: wait}
	}
	if r.limits == nil {
		return errNoReplica
	}
	wait := r.directory.returnAfter(r.call.Service.Name, rankOf(r.call.Route.Priority))
	if wait <= 0 {
		return errNoReplica
	}
	limited := &limitedError{wait: wait}
	if len(r.denied) > 0 {
		limited.replica = r.denied[len(r.denied)-1].ID
	}
	return limited
}

// restingError is the refusal of a request since all replicas want to be left alone, or would soon if they
// got more; wait is in how long one takes it.
type restingError struct{ wait time.Duration }

// Error implements error.
func (*restingError) Error() string {
	return "all replicas have asked for rest, or are as full as one was that has"
}

// limitedError is the refusal of a request since no replica has room under the limit that it names.
// wait is in how long one should, and replica one that was asked about, empty if none had to be.
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

// limitedOrNone tells limits apart from a lack of replicas.
func (r *run) limitedOrNone(err error) error {
	if errors.Is(err, errNoReplica) {
		return r.noReplica()
	}
	return err
}

// beginNow has the lease begin anew: what was waited for before is not the replica's time.
func (l *Lease) beginNow() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.begun = l.directory.clock()
}

// permitUsed notes that the request was sent, or may have been: it stays counted.
func (l *Lease) permitUsed() { l.permit = nil }

// returnPermit has the request not counted, unless it was sent.
func (l *Lease) returnPermit() {
	if l.permit != nil {
		l.permit.GiveBack()
		l.permit = nil
	}
}

// releaseIfAny releases a lease that may be nil.
func (l *Lease) releaseIfAny() {
	if l != nil {
		l.Release()
	}
}
