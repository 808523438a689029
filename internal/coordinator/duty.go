package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
)

// duty is a kind of calls to replicas or to the platform that only one coordinator, the leader,
// makes at a time. Before each call it commits a command to the log, whose position is the call's
// fencing token: it increases over all calls and leaders, so that a receiver that checks it does
// not let a delayed call undo a newer one.
type duty string

const (
	dutyStages duty = "stages"
	dutyUsage  duty = "usage"
	dutyFleet  duty = "fleet"
)

var duties = []duty{dutyStages, dutyUsage, dutyFleet}

// lastCall is the time, on this coordinator's own clock, at which it applied the command before the
// last call of a duty. A replica of the log applies a command no earlier than its leader has committed
// it, so the time is never too early. A snapshot may hide a call, so restoring one counts as a call.
type lastCall struct {
	known bool
	at    time.Duration
}

const (
	// maximumSendDelay bounds the time between the proposal of a call and its
	// sending: after that, this coordinator may have lost its leadership. It is
	// measured from the proposal, not the commit, since the process may freeze
	// before it learns of the commit.
	maximumSendDelay = 300 * time.Millisecond
	// leaseMargin is added to the minimum time between calls of two holders. It
	// covers maximumSendDelay and the network latency of the call.
	leaseMargin = maximumSendDelay + 300*time.Millisecond
)

// earliestCallTime returns the time from which a new leader may make a duty's calls: when the
// lease of the coordinator that made the last one has expired. The new leader must have applied
// all that was committed before its term. Safety depends on the fencing tokens, not on this; the
// lease keeps the calls of two holders from alternating.
func earliestCallTime(elected time.Duration, last lastCall, lease time.Duration) time.Duration {
	if !last.known {
		return elected
	}
	return max(elected, last.at+lease+leaseMargin)
}

// errSendDelayExceeded means that a call was not made because this coordinator lost its leadership or the
// commit took longer than maximumSendDelay.
var errSendDelayExceeded = errors.New("the call was not made in time")

// dutyHolder makes the calls of one duty while this coordinator leads.
type dutyHolder struct {
	*Coordinator
	duty duty
	// term is the term whose work was started last, 0 if this coordinator does not lead.
	term uint64
	// callsAllowedAt is the time from which this leader may make calls.
	callsAllowedAt time.Duration
}

// leads reports whether this coordinator leads and has applied all that was committed before
// its term; begun is set on the first such call of a term.
func (h *dutyHolder) leads(ctx context.Context) (begun, leads bool) {
	status := h.group.Runner.Status()
	if !h.group.Leads() {
		h.term = 0
		return false, false
	}
	if h.term == status.Term {
		return false, true
	}
	if !h.startTerm(ctx, status.Term) {
		return false, false
	}
	return true, true
}

// startTerm starts a term's work once the commands that precede the calls of all earlier terms are
// applied here, and reports whether they are. It also sets the time from which calls may be made.
func (h *dutyHolder) startTerm(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	if err := h.group.ReadBarrier(ctx); err != nil {
		return false
	}
	now := h.now()
	last := h.machine.lastCall(h.duty)
	h.term = term
	h.callsAllowedAt = earliestCallTime(now, last, h.settings.Lease)
	h.logger.Info(event.OrdersBegin, "duty", string(h.duty), "term", term, "in_ms", (h.callsAllowedAt - now).Milliseconds(),
		"call_known", last.known, "call_age_ms", (now - last.at).Milliseconds())
	return true
}

// mayCall reports whether the lease of the previous holder has expired.
func (h *dutyHolder) mayCall() bool { return h.now() >= h.callsAllowedAt }

// commitCall commits the command before a call, and returns the call's fencing token. The call must be
// made at once, and not at all if there is an error. The token is also returned if the command was
// committed but the call may no longer be made.
func (h *dutyHolder) commitCall(ctx context.Context, command *region.Command) (fence uint64, err error) {
	proposed := h.now()
	fence, err = h.commit(ctx, command)
	if err != nil {
		return 0, err
	}
	if !h.group.Leads() || h.now()-proposed > maximumSendDelay {
		return fence, errSendDelayExceeded
	}
	return fence, nil
}
