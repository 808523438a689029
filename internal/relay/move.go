package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

const (
	// moveRetryInterval is the time between two attempts to move a stream.
	moveRetryInterval = 200 * time.Millisecond
	// moveTimeout bounds one request of a move.
	moveTimeout = time.Second
	// maximumMoveOccupancy is the occupancy up to which a replica accepts streams moved from others.
	maximumMoveOccupancy = 0.9
)

// movedStream is a stream that was stopped at one replica and continues at another.
type movedStream struct {
	lease  *Lease
	handle *promptHandle
}

// awaitContinuation waits for some time if the call is a stream that this gateway has stopped and that lacks a
// replica to continue it. It reports whether the next one should be looked for: replicas that have rejected the
// stream may accept it by then.
func (r *callState) awaitContinuation(ctx context.Context, err error) bool {
	if !r.stopped || r.attemptsUsedUp() {
		return false
	}
	switch failure.KindOf(err) {
	case failure.RequestHeld, failure.OutcomeUnknown, failure.DeadlineExceeded, failure.StreamNotResumed:
		return false
	}
	return r.pauseStopped(ctx)
}

// pauseStopped pauses a stream that was stopped, and has it offered to all replicas again. It reports false once the
// caller may have given up.
func (r *callState) pauseStopped(ctx context.Context) bool {
	if time.Since(r.stream.lastAt) >= minimumCallerPatience {
		return false
	}
	r.tried = nil
	return sleepUnlessDone(ctx, moveRetryInterval)
}

// offerElsewhere offers a stream that was stopped for a move to other replicas after one has rejected it, and reports
// whether one was found. It is for streams whose prompt may not be prefilled again.
func (r *callState) offerElsewhere(ctx context.Context, handle *promptHandle) bool {
	if r.call.Route.Repeatable() && !r.attemptsUsedUp() {
		return false
	}
	for !r.isHeld() {
		if target := r.placeMove(ctx, handle.replica, r.payWithDebt); target != nil {
			r.moved = &movedStream{lease: target, handle: handle}
			return true
		}
		if !r.pauseStopped(ctx) {
			return false
		}
	}
	return false
}

// placeMove leases a replica to which a stream may be moved, and pays for the move. It returns nil if there is none.
func (r *callState) placeMove(ctx context.Context, from *Replica, pay func(reason retryReason) bool) *Lease {
	target := r.placer.PlaceWithCapacity(ctx, from, r.prefillRequest())
	if target == nil {
		return nil
	}
	if !r.permits(ctx, target) || !pay(retryMove) {
		target.Release()
		return nil
	}
	return target
}

// streamMover moves a stream away from a replica that is leaving or changing its stage. Otherwise the
// stream would delay the replica until it ends, or be cut off.
type streamMover struct {
	state *callState
	lease *Lease
	// cancel ends the wait for the replica to leave; done is closed once the mover's goroutine has
	// ended.
	cancel context.CancelFunc
	done   chan struct{}
	moved  *movedStream
	// stopped is set if the replica was told to stop the stream and has not refused.
	stopped bool
}

// startMover starts a mover for a stream that has begun.
func (r *callState) startMover(ctx context.Context, lease *Lease) *streamMover {
	ctx, cancel := context.WithCancel(ctx)
	m := &streamMover{state: r, lease: lease, cancel: cancel, done: make(chan struct{})}
	go m.watch(ctx)
	return m
}

// stop ends the mover. It waits for a move in progress, and returns where the stream continues, nil if it was
// not moved. It is called once the stream has ended or broken off at its first replica, or the caller has
// disconnected.
func (m *streamMover) stop() *movedStream {
	m.cancel()
	<-m.done
	return m.moved
}

// stopUnless ends the mover, and releases the target of the move unless the stream continues there. It
// does nothing on a nil mover.
func (m *streamMover) stopUnless(continues bool) {
	if m == nil {
		return
	}
	if moved := m.stop(); moved != nil && !continues {
		moved.lease.Release()
		moved.handle.freeUnlessConsumed(m.state.Runner)
	}
}

func (m *streamMover) watch(ctx context.Context) {
	defer close(m.done)
	select {
	case <-m.lease.leaving:
	case <-ctx.Done():
		return
	}
	// The first attempt waits for one inter-token gap: a stream that is about to end is not worth a move.
	pause := m.state.call.Route.TargetGap
	for sleepUnlessDone(ctx, pause) {
		if m.tryMove(ctx) {
			return
		}
		pause = moveRetryInterval
	}
}

func sleepUnlessDone(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryMove tries to move the stream, and reports whether no further try should be made.
func (m *streamMover) tryMove(ctx context.Context) bool {
	r := m.state
	if r.isHeld() {
		// A held request crashes the replicas that run it. It must not be sent to one that it has not
		// crashed yet, so its stream is not moved.
		return true
	}
	if m.lease.BackoffLeft() > 0 {
		return false
	}
	target := r.placeMove(ctx, m.lease.Replica, r.pay)
	if target == nil {
		return false
	}
	// The memory is copied while the stream runs, which keeps the interruption short.
	copied, status := r.requestMove(ctx, m.lease.Replica, target.Replica, false)
	if copied == nil {
		target.Release()
		return status == http.StatusNotFound
	}
	// A move that has begun is completed: the stream may already have been stopped.
	stopped, status := r.requestMove(context.WithoutCancel(ctx), m.lease.Replica, target.Replica, true)
	r.logger.V(1).Info(event.StreamMoved, "request", r.call.ID, "replica", m.lease.Replica.ID, "to", target.Replica.ID,
		"status", status, "moved", stopped != nil)
	m.stopped = stopped != nil || status == 0
	if stopped == nil {
		target.Release()
		go r.freeHandle(copied)
		return true
	}
	r.metrics.countTransfer(transferStream, r.directory.distance(m.lease.Replica, target.Replica))
	m.lease.moveStreamTo(target)
	m.moved = &movedStream{lease: target, handle: stopped}
	return true
}

// requestMove has a replica copy a stream's memory to another one and, with last set, stop the stream.
// It returns the handle under which the first replica keeps the memory, nil if it has given none, and the
// response status, 0 if no response came.
func (r *callState) requestMove(ctx context.Context, from, to *Replica, last bool) (*promptHandle, int) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	r.countWithoutPermit(from)
	method, path, body := r.dialect.Move(r.call.ID, to.Address, last)
	response, err := r.client.Do(ctx, &upstream.Request{
		Address:  from.Address,
		Instance: from.name,
		Method:   method,
		Target:   path,
		Host:     from.Address,
		Header:   r.dialect.MoveFields(from.ID),
		Body:     body,
	})
	if err != nil {
		r.logger.Info(event.MoveFailed, "request", r.call.ID, "replica", from.ID, "to", to.ID, "last", last, "error", failure.Text(err))
		return nil, 0
	}
	defer response.Close()
	content, err := response.ReadAtMost(maximumHandleBytes)
	if err != nil || response.Status != http.StatusOK {
		r.logger.Info(event.MoveFailed, "request", r.call.ID, "replica", from.ID, "to", to.ID, "last", last, "status", response.Status)
		return nil, response.Status
	}
	id, err := r.dialect.ReadHandle(content)
	if err != nil {
		return nil, response.Status
	}
	return &promptHandle{id: id, replica: from}, response.Status
}
