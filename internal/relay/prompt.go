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

// promptHandle identifies a prompt that a replica has prefilled, or the memory of a stream that it ran, which it
// keeps until another replica has fetched it. It is freed if none does.
type promptHandle struct {
	id       string
	replica  *Replica
	consumed bool
}

func (h *promptHandle) source() string { return h.replica.Address + "/" + h.id }

// placeModelCall leases a decode replica and, if that is better, has another replica prefill the prompt first.
// A prompt is prefilled separately at most once, not counting prefill requests that reached no replica, and not
// if a stream is continued. The lease is nil if no decode replica was found. An error, for instance that no
// replica has capacity or that the retry budget is used up, ends the call: no further send is made.
func (r *callState) placeModelCall(ctx context.Context) (*Lease, *promptHandle, error) {
	service := r.call.Service.Name
	if r.prefills > 0 || r.stream != nil {
		lease, err := r.permittedDirect(ctx)
		return lease, nil, err
	}
	lease, err := r.permitted(ctx, func() (*Lease, error) { return r.placer.PlacePrefill(ctx, service, r.prefillRequest()) })
	if err != nil {
		return nil, nil, err
	}
	if lease.Stage != region.StagePrefill {
		return lease, nil, nil
	}
	return r.placeSeparatePrefill(ctx, lease)
}

// placeSeparatePrefill has a replica prefill the prompt, and leases a decode replica.
func (r *callState) placeSeparatePrefill(ctx context.Context, prefillLease *Lease) (*Lease, *promptHandle, error) {
	reserved, err := r.reserveDecodeReplica(ctx, prefillLease)
	if err != nil {
		prefillLease.Release()
		return nil, nil, err
	}
	handle, err := r.runPrefill(ctx, prefillLease)
	if handle != nil && !r.pay(retrySend) {
		handle.freeUnlessConsumed(r.Runner)
		handle, err = nil, errRetryBudget
	}
	if handle != nil {
		lease, err := r.useReserved(ctx, reserved, handle.replica.Zone)
		return lease, handle, err
	}
	reserved.releaseIfAny()
	if errors.Is(err, errPrefillUnsent) {
		return r.retryPlacement(ctx, prefillLease)
	}
	if err != nil {
		return nil, nil, err
	}
	if r.mayForward() {
		return nil, nil, errForward
	}
	if !r.pay(retryPrompt) {
		return nil, nil, failure.New(failure.BackEndRefused, "no replica is known to have read the prompt, and the retry budget is used up")
	}
	lease, err := r.permittedDirect(ctx)
	return lease, nil, err
}

// retryPlacement places the call again after its prefill request has reached no replica.
func (r *callState) retryPlacement(ctx context.Context, lease *Lease) (*Lease, *promptHandle, error) {
	r.tried = append(r.tried, lease.Replica)
	r.unsentPrefills++
	if r.mayForward() {
		return nil, nil, errForward
	}
	if r.tooManyUnsent() {
		return nil, nil, failure.New(failure.AttemptsExhausted, "no replica takes a connection")
	}
	return r.placeModelCall(ctx)
}

// prefillRequest describes the prompt and the time that is left to prefill it.
func (r *callState) prefillRequest() PrefillRequest {
	objective := r.call.objective()
	return PrefillRequest{
		Prompt:         r.call.Prompt,
		Objective:      objective,
		TargetTokenGap: r.call.Route.TargetGap,
		ObjectiveLeft:  time.Until(r.call.Arrived.Add(objective)),
		Left:           r.timeLeft(),
		Rank:           r.rank(),
		Tenant:         tenantHash(r.call.Tenant),
		Zone:           r.directory.zone,
		Excluded:       r.excluded(),
		Unlimited:      r.onlyUnlimitedReplicas(),
		Software:       r.call.Software,
		BeginsStream:   r.call.beginsStream(),
	}
}

// rank returns the scheduling rank of the request: the first one for a stream that goes on, which few replicas can serve.
func (r *callState) rank() int {
	if r.call.Software.IsSet() {
		return 0
	}
	return rankOf(r.call.Route.Priority)
}

// excluded returns the replicas that the request was sent to and those without capacity for it.
func (r *callState) excluded() []*Replica {
	if len(r.denied) == 0 {
		return r.tried
	}
	return slices.Concat(r.tried, r.denied)
}

// onlyUnlimitedReplicas reports whether so many replicas had no capacity that no further replica with
// a limit is considered.
func (r *callState) onlyUnlimitedReplicas() bool { return len(r.denied) >= maximumDenials }

// runPrefill has the prompt prefilled, and releases the lease. It returns a nil handle if that failed, and
// errPrefillUnsent if the request reached no replica. A slow prefill is abandoned only if the retry budget allows
// the send after it, which is then paid for.
func (r *callState) runPrefill(ctx context.Context, lease *Lease) (*promptHandle, error) {
	r.prefills++
	service := r.call.Service.Name
	defer lease.Release()
	startedAt := time.Now()
	placedPrompt := *lease.prefill
	backoffBefore, leavingBefore := lease.BackoffLeft(), lease.declaresLeaving()
	prefillCtx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	defer context.AfterFunc(r.directory.linksContext(service), func() { abandon(errLinksSilent) })()
	var budgetTaken atomic.Bool
	idle := func() time.Duration { return r.placer.idleTime(prefillCtx, lease) }
	stall := newStallWatch(idle, r.stallTimeout(&placedPrompt), func() {
		if r.charge(r.budgets.Withdraw, retrySlowPrompt) {
			budgetTaken.Store(true)
			abandon(errSlowPrefill)
		}
	})
	handle, outcome, err := r.sendPrefill(prefillCtx, lease)
	stall.stop()
	r.ledger.record(sendPrompt, outcome)
	if budgetTaken.Load() {
		r.ledger.paid++
	}
	r.logger.V(1).Info(event.PromptRead, "request", r.call.ID, "replica", lease.Replica.ID,
		"distance", r.directory.distanceTo(lease.Replica).String(), "tokens", r.call.Prompt.Tokens, "missing", placedPrompt.missing, "prefix", r.call.Prompt.sharedPart(),
		"fetch", lease.FetchFrom(), "late", placedPrompt.urgency == Late, "wait_ms", placedPrompt.wait.Milliseconds(),
		"busy_ms", placedPrompt.busy.Milliseconds(), "took_ms", time.Since(startedAt).Milliseconds(),
		"pace", int(r.directory.prefillRate(service)), "after_ms", time.Since(r.call.Arrived).Milliseconds(), "limit", lease.Limit(),
		"rest_ms", backoffBefore.Milliseconds(), "leaving", leavingBefore, "error", failure.Text(err),
		"handed_over", err == nil || upstream.HandedOver(err))
	if err == nil {
		r.metrics.recordPrefill(prefillDone, time.Since(startedAt))
		return handle, nil
	}
	r.metrics.recordPrefill(prefillFailed, time.Since(startedAt))
	if outcome == outcomeUnsent && ctx.Err() == nil {
		r.prefills--
		if !upstream.HeldBack(err) {
			r.unconnected++
		}
		return nil, errPrefillUnsent
	}
	if !budgetTaken.Load() && (outcome == outcomeUnknown || outcome == outcomeTakenUp) {
		// The response was lost, perhaps not the prompt: the decode replica may fetch it there.
		lease.PromptCached(r.call.Prompt)
	}
	return nil, nil
}

// errPrefillUnsent means that the prefill request reached no replica. Another one may be asked, which
// costs only time.
var errPrefillUnsent = errors.New("the prefill request reached no replica")

// stallTimeout returns how long a replica may be known to have prefilled nothing before the prompt is
// withdrawn from it. A prompt that is already late stays where it is.
func (r *callState) stallTimeout(placedPrompt *placedPrefill) time.Duration {
	if placedPrompt.urgency == Late {
		return r.timeLeft()
	}
	return r.call.objective() + slowPrefillFactor*placedPrompt.whole
}

// slowPrefillFactor is the factor by which a prefill may take longer than expected.
const slowPrefillFactor = 2

var errSlowPrefill = failure.New(failure.DeadlineExceeded, "the prompt was not read in time")

// sendPrefill sends a prompt to be prefilled, and returns its handle or why there is none.
func (r *callState) sendPrefill(ctx context.Context, lease *Lease) (*promptHandle, sendOutcome, error) {
	fetch := lease.FetchFrom()
	r.metrics.countTransfer(transferPrefill, r.directory.distanceTo(lease.Replica))
	r.countFetch(lease)
	r.logLeavingSend(lease)
	response, err := r.client.Do(ctx, r.request(lease.Replica, Send{PrefillOnly: true, Fetch: fetch, Ranked: true, Rank: lease.Rank(r.call.Route)}))
	if err == nil || upstream.HandedOver(err) {
		lease.permitUsed()
	}
	if err != nil {
		r.logLostAnswer(lease, err)
		if !upstream.HeldBack(err) && (ctx.Err() == nil || context.Cause(ctx) == errSlowPrefill || context.Cause(ctx) == errLinksSilent) {
			lease.Unreachable(upstream.HandedOver(err) && !lostWithLinks(err))
			if upstream.HandedOver(err) {
				r.recordConnectionLoss(ctx, lease, err)
			}
		}
		if !upstream.HandedOver(err) {
			return nil, outcomeUnsent, err
		}
		return nil, outcomeUnknown, err
	}
	defer response.Close()
	metadata := r.dialect.ReadResponseMetadata(response.Header)
	recordLimit(lease, response.Status, metadata)
	outcome := outcomeTakenUp
	if response.Status != http.StatusOK {
		outcome = outcomeRejected
	}
	body, err := response.ReadAtMost(maximumHandleBytes)
	if err != nil {
		r.logLostAnswer(lease, err)
		lease.Unreachable(true)
		r.recordConnectionLoss(ctx, lease, err)
		return nil, outcome, err
	}
	if outcome == outcomeRejected {
		r.recordPrefillRejection(lease, response)
		return nil, outcome, failure.New(failure.BackEndRefused, http.StatusText(response.Status))
	}
	id, err := r.dialect.ReadHandle(body)
	if err != nil {
		lease.Answered(true, nil)
		return nil, outcome, err
	}
	recordNoLimit(lease, response.Status, metadata)
	lease.Answered(false, nil)
	lease.PrefillDone()
	lease.PromptCached(r.call.Prompt)
	return &promptHandle{id: id, replica: lease.Replica}, outcome, nil
}

func (r *callState) recordPrefillRejection(lease *Lease, response *upstream.Exchange) {
	switch {
	case response.Status == http.StatusMisdirectedRequest && lease.stageUnchanged():
		lease.Misdirected()
	default:
		lease.Refused(lease.BackoffLeft())
	}
}

// maximumHandleBytes bounds the answer that names the handle of a prompt or a stream.
const maximumHandleBytes = 64 << 10

// freeUnlessConsumed frees the memory of a prompt that no replica has fetched.
func (h *promptHandle) freeUnlessConsumed(r *Runner) {
	if h == nil || h.consumed {
		return
	}
	go r.freeHandle(h)
}

func (r *Runner) freeHandle(handle *promptHandle) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	method, path := r.dialect.FreeHandle(handle.id)
	r.countWithoutPermit(handle.replica)
	response, err := r.client.Do(ctx, &upstream.Request{
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
	_ = response.Discard()
	response.Close()
}
