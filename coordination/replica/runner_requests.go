package replica

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// request is a request to the runner's goroutine. Exactly one of its fields
// besides completion is set.
type request struct {
	completion       chan Completion
	proposal         *Proposal
	isReadBarrier    bool
	membershipChange *consensus.MembershipChange
	isTransfer       bool
	promise          *promiseRequest
	founding         *Founding
}

// promiseRequest is a FoundingRequest with the promise that the goroutine returns.
type promiseRequest struct {
	request FoundingRequest
	promise FoundingPromise
}

// processRequests passes requests to the node, all proposals as one batch after
// the other requests.
func (r *Runner) processRequests(now time.Duration, requests []request) {
	var proposals []Proposal
	for _, request := range requests {
		r.nextID++
		id := r.nextID
		r.waiters[id] = request.completion
		if request.proposal != nil {
			proposals = append(proposals, Proposal{RequestID: id, Command: request.proposal.Command})
			continue
		}
		r.processRequest(now, id, request)
	}
	if len(proposals) > 0 {
		r.node.propose(now, proposals)
	}
}

func (r *Runner) processRequest(now time.Duration, id uint64, request request) {
	switch {
	case request.isReadBarrier:
		r.node.readBarrier(now, id)
	case request.membershipChange != nil:
		r.node.changeMembership(now, id, *request.membershipChange)
	case request.isTransfer:
		r.node.complete(Completion{RequestID: id, Err: r.node.transfer(now, 0)})
	case request.promise != nil:
		promise, err := r.node.PromiseFounding(request.promise.request)
		request.promise.promise = promise
		r.node.complete(Completion{RequestID: id, Err: err})
	case request.founding != nil:
		err := r.node.installFounding(now, *request.founding)
		r.node.complete(Completion{RequestID: id, Err: err})
	}
}

// Propose commits a command and returns its index and the state machine's
// result. The caller must not modify the command afterwards. After
// ErrOutcomeUnknown the command may or may not take effect; after ErrNotLeader,
// ErrDropped, ErrOverloaded, ErrTooLarge, ErrNotWritable, ErrStopped or
// ErrReplicaQuarantined it will not.
func (r *Runner) Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	completion := r.call(ctx, request{proposal: &Proposal{Command: command}})
	return completion.Index, completion.Result, completion.Err
}

// ReadBarrier returns nil once the local state machine reflects every change
// that was complete before the call. It succeeds only on the leader.
func (r *Runner) ReadBarrier(ctx context.Context) error {
	return r.call(ctx, request{isReadBarrier: true}).Err
}

// PromiseFounding durably promises to take part in one founding.
func (r *Runner) PromiseFounding(ctx context.Context, wanted FoundingRequest) (FoundingPromise, error) {
	pending := &promiseRequest{request: wanted}
	if err := r.call(ctx, request{promise: pending}).Err; err != nil {
		return FoundingPromise{}, err
	}
	return pending.promise, nil
}

// Found installs the initial configuration; it may be repeated.
func (r *Runner) Found(ctx context.Context, founding Founding) error {
	return r.call(ctx, request{founding: &founding}).Err
}

// Transfer transfers leadership to another voter and returns when this replica
// is no longer the leader. If there is no other active voter, it returns
// consensus.ErrUnknownMember.
func (r *Runner) Transfer(ctx context.Context) error {
	for {
		err := r.call(ctx, request{isTransfer: true}).Err
		if errors.Is(err, ErrNotLeader) && r.Status().Role != consensus.RoleLeader {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.waitUntil(ctx, r.config.ElectionTimeout, r.isNotLeader); err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// AwaitLeader returns when this replica knows the leader of its group, which may
// be this replica.
func (r *Runner) AwaitLeader(ctx context.Context) error {
	if r.quarantined != nil {
		return r.quarantined
	}
	for {
		err := r.waitUntil(ctx, r.config.ElectionTimeout, func() bool { return r.Status().Leader != 0 })
		if !errors.Is(err, errWaitTimeout) {
			return err
		}
	}
}

func (r *Runner) isNotLeader() bool { return r.Status().Role != consensus.RoleLeader }

// errWaitTimeout is returned by waitUntil after its timeout; callers may wait again.
var errWaitTimeout = errors.New("replica: condition did not come about in time")

// waitUntil polls a condition every TickInterval until it holds, and returns
// errWaitTimeout after the timeout.
func (r *Runner) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.done:
			return ErrStopped
		case <-deadline.C:
			return errWaitTimeout
		case <-ticker.C:
		}
	}
	return nil
}
