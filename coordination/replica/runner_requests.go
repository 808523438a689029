package replica

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// request is one call for the runner's goroutine. Exactly one of its parts is set.
type request struct {
	completion chan Completion
	proposal   *Proposal
	isRead     bool
	change     *consensus.MembershipChange
	transfer   bool
	promise    *promiseRequest
	founding   *Founding
}

// promiseRequest is a FoundingRequest with room for its answer.
type promiseRequest struct {
	request FoundingRequest
	promise FoundingPromise
}

// takeRequests hands requests to the core, the proposals as one batch.
func (r *Runner) takeRequests(now time.Duration, requests []request) {
	var proposals []Proposal
	for _, request := range requests {
		r.nextID++
		id := r.nextID
		r.waiters[id] = request.completion
		if request.proposal != nil {
			proposals = append(proposals, Proposal{RequestID: id, Command: request.proposal.Command})
			continue
		}
		r.takeRequest(now, id, request)
	}
	if len(proposals) > 0 {
		r.node.propose(now, proposals)
	}
}

func (r *Runner) takeRequest(now time.Duration, id uint64, request request) {
	switch {
	case request.isRead:
		r.node.readBarrier(now, id)
	case request.change != nil:
		r.node.changeMembership(now, id, *request.change)
	case request.transfer:
		r.node.complete(Completion{RequestID: id, Err: r.node.transfer(now, 0)})
	case request.promise != nil:
		promise, err := r.node.PromiseFounding(request.promise.request)
		request.promise.promise = promise
		r.node.complete(Completion{RequestID: id, Err: err})
	case request.founding != nil:
		err := r.node.found(now, *request.founding)
		r.node.complete(Completion{RequestID: id, Err: err})
	}
}

// Propose commits a command and returns its index and the state machine's
// result. The command must not be changed afterwards. After ErrOutcomeUnknown
// the command may or may not take effect; after ErrNotLeader, ErrDropped,
// ErrOverloaded, ErrTooLarge, ErrStopped or ErrReplicaQuarantined it will not.
func (r *Runner) Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	completion := r.call(ctx, request{proposal: &Proposal{Command: command}})
	return completion.Index, completion.Result, completion.Err
}

// ReadBarrier returns nil when the local state machine shows every change that
// was complete before the call. Only the leader can do it.
func (r *Runner) ReadBarrier(ctx context.Context) error {
	return r.call(ctx, request{isRead: true}).Err
}

// PromiseFounding durably promises to take part in one founding.
func (r *Runner) PromiseFounding(ctx context.Context, wanted FoundingRequest) (FoundingPromise, error) {
	asked := &promiseRequest{request: wanted}
	if err := r.call(ctx, request{promise: asked}).Err; err != nil {
		return FoundingPromise{}, err
	}
	return asked.promise, nil
}

// Found installs the initial configuration; it may be repeated.
func (r *Runner) Found(ctx context.Context, founding Founding) error {
	return r.call(ctx, request{founding: &founding}).Err
}

// Transfer hands leadership to another voter and returns when this replica no
// longer leads. Without another active voter it returns
// consensus.ErrUnknownMember.
func (r *Runner) Transfer(ctx context.Context) error {
	for {
		err := r.call(ctx, request{transfer: true}).Err
		if errors.Is(err, ErrNotLeader) && r.Status().Role != consensus.RoleLeader {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.wait(ctx, r.config.ElectionTimeout, r.isNotLeader); err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// AwaitLeader returns when this replica knows a leader of its group, which may
// be itself.
func (r *Runner) AwaitLeader(ctx context.Context) error {
	if r.quarantined != nil {
		return r.quarantined
	}
	for {
		err := r.wait(ctx, r.config.ElectionTimeout, func() bool { return r.Status().Leader != 0 })
		if !errors.Is(err, errWaitedLong) {
			return err
		}
	}
}

func (r *Runner) isNotLeader() bool { return r.Status().Role != consensus.RoleLeader }

// errWaitedLong ends a wait that may be started again.
var errWaitedLong = errors.New("replica: condition did not come about in time")

// wait polls a condition of the status.
func (r *Runner) wait(ctx context.Context, limit time.Duration, condition func() bool) error {
	deadline := time.NewTimer(limit)
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
			return errWaitedLong
		case <-ticker.C:
		}
	}
	return nil
}
