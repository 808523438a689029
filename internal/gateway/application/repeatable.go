package application

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/applicationclient"
)

// maximumRepeatableAttempts bounds the attempts at one repeatable call.
const maximumRepeatableAttempts = 3

// RunRepeatable runs a call that may be repeated. It goes on to another back end
// only if the one before provably did not run it; otherwise the caller decides.
func (r *Runner) RunRepeatable(ctx context.Context, call Call) Answer {
	var tried []string
	last := refused(failure.NoBackEnd, failure.RanNo, "no back end of the application takes new work")
	for range maximumRepeatableAttempts {
		if r.isHeld(&call) {
			return refusedAsHeld()
		}
		answer, notRun, backEndID := r.tryRepeatable(ctx, &call, tried)
		if backEndID == "" {
			return last
		}
		if !notRun {
			return answer
		}
		last = answer
		tried = append(tried, backEndID)
	}
	return last
}

func (r *Runner) tryRepeatable(ctx context.Context, call *Call, tried []string) (answer Answer, notRun bool, backEndID string) {
	able := r.fleet.Snapshot().BackEndsOf(call.Application)
	chosen, found := r.chosen.take(r.clock(), able, tried)
	if !found {
		return Answer{}, true, ""
	}
	defer r.chosen.give(chosen.ID)
	attemptID := uuid.NewString()
	r.begin(attemptID, call)
	defer r.end(attemptID)
	left := max(time.Millisecond, call.Deadline-r.clock())
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	result := r.client.Do(ctx, applicationclient.Run{
		Address: chosen.Address,
		Request: call.wire(attemptID),
		Permit:  func() (func(), bool) { return r.fleet.PermitBackEnd(chosen.ID) },
	})
	r.judge(ctx, call, chosen.ID, chosen.Address, result)
	answer, notRun = repeatableAnswer(ctx, attemptID, result)
	if result.Err != nil {
		r.chosen.failed(r.clock(), chosen.ID)
	}
	return answer, notRun, chosen.ID
}

func repeatableAnswer(ctx context.Context, attemptID string, result applicationclient.Result) (answer Answer, notRun bool) {
	switch {
	case result.Reply != nil && result.Reply.AttemptID == attemptID:
		return Answer{Status: result.Reply.Status, Body: result.Reply.Body}, false
	case result.Refusal != nil && result.Refusal.AttemptID == attemptID:
		return refused(failure.BackEndRefused, failure.RanNo, result.Refusal.Reason), true
	case result.Err != nil && !result.HandedOver:
		return refused(failure.NoBackEnd, failure.RanNo, result.Err.Error()), true
	case ctx.Err() != nil:
		return refused(failure.DeadlineExceeded, failure.RanUnknown, "the deadline passed"), false
	case result.Err != nil:
		return refused(failure.AttemptsExhausted, failure.RanUnknown, result.Err.Error()), false
	default:
		return refused(failure.AttemptsExhausted, failure.RanUnknown, "the answer was of another attempt"), false
	}
}
