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
	// movePause is the time between two attempts at moving a stream.
	movePause = 200 * time.Millisecond
	// moveTimeout bounds one call for a move.
	moveTimeout = time.Second
	// moveLimit is the occupancy up to which a replica takes streams of others in.
	moveLimit = 0.9
)

// movedStream is a stream that has been stopped where it ran and goes on elsewhere.
type movedStream struct {
	lease  *Lease
	handle *promptHandle
}

// mover moves a stream away from a replica that is leaving or changing its stage, which
// it would hold up until its end, or be cut off by.
type mover struct {
	run   *run
	lease *Lease
	// cancel ends the wait for the replica's leaving, done says that all has ended.
	cancel context.CancelFunc
	done   chan struct{}
	moved  *movedStream
}

// watchStream returns a mover of a stream that has begun.
func (r *run) watchStream(ctx context.Context, lease *Lease) *mover {
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{run: r, lease: lease, cancel: cancel, done: make(chan struct{})}
	go m.watch(ctx)
	return m
}

// end waits for what is under way, and returns where the stream goes on; nil if it was
// not moved. It is called once the stream has ended here.
func (m *mover) end() *movedStream {
	m.cancel()
	<-m.done
	return m.moved
}

// abandonUnless ends the mover, and gives up where the stream would have gone on unless it
// does. A nil mover has nothing to end.
func (m *mover) abandonUnless(goesOn bool) {
	if m == nil {
		return
	}
	if moved := m.end(); moved != nil && !goesOn {
		moved.lease.Release()
		moved.handle.freeUnlessTaken(m.run.Runner)
	}
}

func (m *mover) watch(ctx context.Context) {
	defer close(m.done)
	select {
	case <-m.lease.leaving:
	case <-ctx.Done():
		return
	}
	// Short streams end before they could be moved.
	pause := m.run.call.Route.TargetGap
	for sleepUnlessDone(ctx, pause) {
		if m.try(ctx) {
			return
		}
		pause = movePause
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

// try moves the stream, and reports whether no other attempt should be made.
func (m *mover) try(ctx context.Context) bool {
	r := m.run
	if r.isHeld() {
		// It stays where it is: a replica that has not ended under it yet should not be its next.
		return true
	}
	if m.lease.RestLeft() > 0 {
		return false
	}
	target := r.placer.Room(ctx, m.lease, r.readRequest())
	if target == nil {
		return false
	}
	if !r.takes(ctx, target) {
		target.Release()
		return false
	}
	if !r.budgets.Withdraw(r.call.Service.Name) {
		target.Release()
		return false
	}
	// The memory is copied while the stream runs, so that its stop is short.
	copied, status := r.callMove(ctx, m.lease.Replica, target.Replica, false)
	if copied == nil {
		target.Release()
		return status == http.StatusNotFound
	}
	// What has begun is carried through: the stream may have been stopped.
	stopped, status := r.callMove(context.WithoutCancel(ctx), m.lease.Replica, target.Replica, true)
	r.logger.V(1).Info(event.StreamMoved, "request", r.call.ID, "replica", m.lease.Replica.ID, "to", target.Replica.ID,
		"status", status, "moved", stopped != nil)
	if stopped == nil {
		target.Release()
		go r.free(copied)
		return true
	}
	r.metrics.hasMoved(movedGoingOn, r.directory.distance(m.lease.Replica, target.Replica))
	m.lease.handStreamTo(target)
	m.moved = &movedStream{lease: target, handle: stopped}
	return true
}

// callMove has a replica copy a stream's memory to another one, and stop the stream if it
// is the last call. It returns the handle of the copy, nil if there is none.
func (r *run) callMove(ctx context.Context, from, to *Replica, last bool) (*promptHandle, int) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	r.countUnasked(from)
	method, path, body := r.dialect.Move(r.call.ID, to.Address, last)
	answer, err := r.client.Do(ctx, &upstream.Request{
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
	defer answer.Close()
	content, err := answer.ReadAll()
	if err != nil || answer.Status != http.StatusOK {
		r.logger.Info(event.MoveFailed, "request", r.call.ID, "replica", from.ID, "to", to.ID, "last", last, "status", answer.Status)
		return nil, answer.Status
	}
	id, err := r.dialect.ReadHandle(content)
	if err != nil {
		return nil, answer.Status
	}
	return &promptHandle{id: id, replica: from}, answer.Status
}
