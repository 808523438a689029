package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
)

// duty is a kind of calls to replicas or to the platform that one coordinator makes at a time:
// the leader. Before each call it commits a command to the log, whose position is the call's
// fence: it grows over all calls and leaders, so that where fences are looked at a call which
// is carried out late can't undo a newer one.
type duty string

// Duties.
const (
	dutyStages duty = "stages"
	dutyUsage  duty = "usage"
	dutyFleet  duty = "fleet"
)

var duties = []duty{dutyStages, dutyUsage, dutyFleet}

// callMark is when this coordinator applied the command before the last call of a duty, on its
// own clock. A replica of the log applies a command no earlier than its leader has committed it,
// so the mark is never too early. A snapshot may hide a call: its restore counts as one.
type callMark struct {
	known bool
	at    time.Duration
}

const (
	// proposalToSend bounds the time between the proposal of a call and its
	// sending: later, this coordinator may have lost its leadership. The proposal,
	// not the commit, is where it begins: the process may freeze before it learns
	// of the commit.
	proposalToSend = 300 * time.Millisecond
	// leaseMargin is added to the time that calls of two holders must lie apart.
	// It covers proposalToSend and the way to whoever is called.
	leaseMargin = proposalToSend + 300*time.Millisecond
)

// earliestCall is from when on a new leader may make a duty's calls: once the lease of
// whoever made the last one has run out. The new leader must have applied all
// that was committed before its term. Safety does not rest on this but on the
// fences; the lease keeps two holders from taking turns.
func earliestCall(elected time.Duration, last callMark, lease time.Duration) time.Duration {
	if !last.known {
		return elected
	}
	return max(elected, last.at+lease+leaseMargin)
}

// errCallLate says that a call was not made, since its commit took too long.
var errCallLate = errors.New("the call was not made in time")

// dutyHolder makes the calls of one duty while this coordinator leads.
type dutyHolder struct {
	*Coordinator
	duty duty
	term uint64
	// callsFrom is from when on this leader may make calls.
	callsFrom time.Duration
}

// leads reports whether this coordinator leads, and has applied all that was committed before
// its term; begun says that it has just begun to.
func (h *dutyHolder) leads(ctx context.Context) (begun, leads bool) {
	status := h.group.Runner.Status()
	if !h.group.Leads() {
		h.term = 0
		return false, false
	}
	if h.term == status.Term {
		return false, true
	}
	if !h.begin(ctx, status.Term) {
		return false, false
	}
	return true, true
}

// begin takes a term's work up once all earlier calls are applied here, and reports whether
// they are.
func (h *dutyHolder) begin(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	if err := h.group.ReadBarrier(ctx); err != nil {
		return false
	}
	now := h.now()
	last := h.machine.lastCall(h.duty)
	h.term = term
	h.callsFrom = earliestCall(now, last, h.settings.Lease)
	h.logger.Info(event.OrdersBegin, "duty", string(h.duty), "term", term, "in_ms", (h.callsFrom - now).Milliseconds(),
		"call_known", last.known, "call_age_ms", (now - last.at).Milliseconds())
	return true
}

// mayCall reports whether the lease of the holder before has run out.
func (h *dutyHolder) mayCall() bool { return h.now() >= h.callsFrom }

// commitCall commits the command before a call, and returns the call's fence. The call must be
// made at once, and not at all if there is an error.
func (h *dutyHolder) commitCall(ctx context.Context, command *region.Command) (fence uint64, err error) {
	proposed := h.now()
	fence, err = h.commit(ctx, command)
	if err != nil {
		return 0, err
	}
	if !h.group.Leads() || h.now()-proposed > proposalToSend {
		return fence, errCallLate
	}
	return fence, nil
}
