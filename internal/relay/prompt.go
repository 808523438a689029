package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

const freeTimeout = 500 * time.Millisecond

// promptHandle is a prompt that a replica has read and keeps for another.
type promptHandle struct {
	id      string
	replica *Replica
	taken   bool
}

func (h *promptHandle) source() string { return h.replica.Address + "/" + h.id }

// placeModelCall leases the replica that generates, and has the prompt read by another one
// before if that is better; a prompt is read apart once, and what continues a stream
// is not. An error says that the request may go to no other replica.
func (r *run) placeModelCall(ctx context.Context) (*Lease, *promptHandle, error) {
	service := r.call.Service.Name
	if r.reads > 0 || r.stream != nil {
		lease, err := r.permittedDirect(ctx)
		return lease, nil, err
	}
	lease, err := r.permitted(ctx, func() (*Lease, error) { return r.placer.Reading(ctx, service, r.readRequest()) })
	if err != nil {
		return nil, nil, err
	}
	if lease.Replica.Stage != region.StagePrefill {
		return lease, nil, nil
	}
	return r.placeReadApart(ctx, lease)
}

// placeReadApart has a replica read the prompt, and leases the one that generates.
func (r *run) placeReadApart(ctx context.Context, reader *Lease) (*Lease, *promptHandle, error) {
	reserved, err := r.reserveGenerator(ctx, reader)
	if err != nil {
		reader.Release()
		return nil, nil, err
	}
	handle, err := r.readPrompt(ctx, reader)
	if handle != nil {
		lease, err := r.useReserved(ctx, reserved, handle.replica.Zone)
		return lease, handle, err
	}
	reserved.releaseIfAny()
	if errors.Is(err, errNotConnected) {
		return r.placeAgain(ctx, reader)
	}
	if err != nil {
		return nil, nil, err
	}
	lease, err := r.permittedDirect(ctx)
	return lease, nil, err
}

// placeAgain places the call anew after a reader has taken no connection.
func (r *run) placeAgain(ctx context.Context, lease *Lease) (*Lease, *promptHandle, error) {
	r.tried = append(r.tried, lease.Replica)
	r.unread++
	if r.isUnconnected() {
		return nil, nil, failure.New(failure.AttemptsExhausted, "no replica takes a connection")
	}
	return r.placeModelCall(ctx)
}

// readRequest describes the prompt with the time that is left for it.
func (r *run) readRequest() ReadRequest {
	objective := r.call.objective()
	return ReadRequest{
		Prompt:    r.call.Prompt,
		Objective: objective,
		TargetGap: r.call.Route.TargetGap,
		AimLeft:   time.Until(r.call.Arrived.Add(objective)),
		Left:      r.left(),
		Rank:      rankOf(r.call.Route.Priority),
		Tenant:    tenantOf(r.call.Tenant),
		Zone:      r.directory.zone,
		Excluded:  r.excluded(),
		Unlimited: r.onlyUnlimited(),
	}
}

// excluded are the replicas that the request has been sent to, and those that had no room for it.
func (r *run) excluded() []*Replica {
	if len(r.denied) == 0 {
		return r.tried
	}
	return slices.Concat(r.tried, r.denied)
}

// onlyUnlimited reports whether so many replicas had no room that no other one with a limit is looked
// at.
func (r *run) onlyUnlimited() bool { return len(r.denied) >= maximumDenials }

// readPrompt has the prompt read, and returns nil if it could not be, or errNotConnected. A reader that
// took the request and did not read it makes the next send a repeated one, which
// the retry budget has to allow: a reader that is slow is given up only then.
func (r *run) readPrompt(ctx context.Context, lease *Lease) (*promptHandle, error) {
	r.reads++
	service := r.call.Service.Name
	defer lease.Release()
	begun := time.Now()
	placed := *lease.reading
	restBefore, leavingBefore := lease.RestLeft(), lease.saysLeaving()
	bounded, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	var paid atomic.Bool
	idle := func() time.Duration { return r.placer.idleTime(bounded, lease) }
	stall := newStallWatch(idle, r.stallBound(&placed), func() {
		if r.budgets.Withdraw(service) {
			paid.Store(true)
			giveUp(errSlowReading)
		}
	})
	handle, err := r.exchangePrompt(bounded, lease)
	stall.stop()
	r.logger.V(1).Info(event.PromptRead, "request", r.call.ID, "replica", lease.Replica.ID,
		"distance", r.directory.distanceTo(lease.Replica).String(), "tokens", r.call.Prompt.Tokens, "missing", placed.missing, "prefix", r.call.Prompt.sharedPart(),
		"fetch", lease.FetchFrom(), "late", placed.urgency == Late, "wait_ms", placed.wait.Milliseconds(),
		"busy_ms", placed.busy.Milliseconds(), "took_ms", time.Since(begun).Milliseconds(),
		"pace", int(r.directory.pace(service)), "after_ms", time.Since(r.call.Arrived).Milliseconds(), "limit", lease.Limit(),
		"rest_ms", restBefore.Milliseconds(), "leaving", leavingBefore, "error", failure.Text(err))
	if err == nil {
		r.metrics.promptRead(readDone, time.Since(begun))
		return handle, nil
	}
	r.metrics.promptRead(readFailed, time.Since(begun))
	if !upstream.HandedOver(err) && !isRefusal(err) && ctx.Err() == nil {
		r.reads--
		return nil, errNotConnected
	}
	if upstream.HandedOver(err) && !paid.Load() && !isRefusal(err) {
		// The answer was lost, not the prompt: the generator may fetch it there. A
		// prompt that was taken up costs nothing, whatever became of its answer.
		lease.PromptKept(r.call.Prompt)
		return nil, nil
	}
	if isRefusal(err) && !r.budgets.Withdraw(service) {
		return nil, failure.New(failure.BackEndRefused, "the prompt was not read, and the retry budget is used up")
	}
	return nil, nil
}

// errNotConnected says that a reader took no connection: another one may be asked, which costs
// nothing but the time.
var errNotConnected = errors.New("the reader takes no connection")

// isRefusal reports whether a reader has said that it did not read.
func isRefusal(err error) bool { return failure.KindOf(err) == failure.BackEndRefused }

// stallBound is how long a reader may read nothing, as far as is known, before the
// prompt is taken from it. What is late already is left where it is.
func (r *run) stallBound(placed *placedReading) time.Duration {
	if placed.urgency == Late {
		return r.left()
	}
	return r.call.objective() + slowReading*placed.whole
}

// slowReading is the factor by which a reader may take longer for a prompt than
// expected.
const slowReading = 2

var errSlowReading = failure.New(failure.DeadlineExceeded, "the prompt was not read in time")

func (r *run) exchangePrompt(ctx context.Context, lease *Lease) (*promptHandle, error) {
	fetch := lease.FetchFrom()
	r.metrics.hasMoved(movedRead, r.directory.distanceTo(lease.Replica))
	r.noteFetch(lease)
	answer, err := r.client.Do(ctx, r.request(lease.Replica, Send{ReadOnly: true, Fetch: fetch, Ranked: true, Rank: lease.Rank(r.call.Route)}))
	if err == nil || upstream.HandedOver(err) {
		lease.permitUsed()
	}
	if err != nil {
		if !upstream.Held(err) && (ctx.Err() == nil || context.Cause(ctx) == errSlowReading) {
			lease.Unreachable(upstream.HandedOver(err) && !upstream.Silent(err))
			if upstream.HandedOver(err) {
				r.replicaLost(ctx, lease, err)
			}
		}
		return nil, err
	}
	defer answer.Close()
	noteLimit(lease, answer.Status, r.dialect.ReadMarks(answer.Header))
	body, err := answer.ReadAll()
	if err != nil {
		lease.Unreachable(true)
		r.replicaLost(ctx, lease, err)
		return nil, err
	}
	if answer.Status != http.StatusOK {
		r.noteRefusalOfReading(lease, answer)
		return nil, failure.New(failure.BackEndRefused, http.StatusText(answer.Status))
	}
	id, err := r.dialect.ReadHandle(body)
	if err != nil {
		lease.Answered(true, nil)
		return nil, err
	}
	lease.Answered(false, nil)
	lease.PromptRead()
	lease.PromptKept(r.call.Prompt)
	return &promptHandle{id: id, replica: lease.Replica}, nil
}

func (r *run) noteRefusalOfReading(lease *Lease, answer *upstream.Exchange) {
	switch {
	case answer.Status == http.StatusMisdirectedRequest && lease.Replica.Stage == region.StagePrefill:
		lease.Misdirected()
	default:
		lease.Refused(lease.RestLeft())
	}
}

// freeUnlessTaken frees the memory of a prompt that no replica has fetched.
func (h *promptHandle) freeUnlessTaken(r *Runner) {
	if h == nil || h.taken {
		return
	}
	go r.free(h)
}

func (r *Runner) free(handle *promptHandle) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	method, path := r.dialect.FreeHandle(handle.id)
	r.countUnasked(handle.replica)
	answer, err := r.client.Do(ctx, &upstream.Request{
		Address:  handle.replica.Address,
		Instance: handle.replica.name,
		Method:   method,
		Target:   path,
		Host:     handle.replica.Address,

		MaximumIdle: 1,
	})
	if err != nil {
		r.logger.V(1).Info(event.HandleNotFreed, "replica", handle.replica.ID, "error", err.Error())
		return
	}
	_, _ = answer.ReadAll()
	answer.Close()
}
