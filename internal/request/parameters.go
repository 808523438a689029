package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// RetryPolicy decides whether another attempt may be made for a request.
type RetryPolicy interface {
	// MayRetry is called before each attempt but the first.
	MayRetry(now time.Duration, attempt RetryAttempt) RetryDecision
}

// RetryAttempt describes the attempt that a RetryPolicy decides on.
type RetryAttempt struct {
	// Number is the number of attempts made so far, at least 1.
	Number int
	// Deadline is the request's deadline, 0 for none.
	Deadline time.Duration
	// Relayed is the number of tokens that the caller already has.
	Relayed int
	// LastKind is the kind of the last failure.
	LastKind failure.Kind
}

// RetryDecision is a RetryPolicy's answer.
type RetryDecision struct {
	Allowed bool
	// Delay is the time to wait before the attempt, if it is allowed.
	Delay time.Duration
	// AskAgain is set if the attempt is not allowed now, but may be after Delay. It
	// applies only if tokens have been relayed, because refusing the request would
	// then waste the work done.
	AskAgain bool
	// RetryAfter is the time after which the caller should retry, if the attempt is
	// not allowed.
	RetryAfter time.Duration
}

// Parameters are the parameters of one request.
type Parameters struct {
	// AttemptPrefix makes attempt ids unique over all requests of all
	// processes; attempt n has the id AttemptPrefix-n.
	AttemptPrefix string
	// MaximumTokens bounds the length of the answer, in tokens; 0 means no bound.
	MaximumTokens int
	// Deadline is when the caller stops waiting, 0 for none.
	Deadline time.Duration
	// AcceptTimeout bounds the wait for an engine to accept an attempt. It does not
	// apply to the prefill stage.
	AcceptTimeout time.Duration
	// FirstTokenTimeout bounds the wait for an accepted attempt's first token, and
	// the duration of a prefill stage.
	FirstTokenTimeout time.Duration
	// StallTimeout bounds the wait for the next piece, or for the end of the answer.
	StallTimeout time.Duration
	Retry        RetryPolicy
}

// LimitedRetry is a RetryPolicy that allows a fixed number of attempts.
type LimitedRetry struct {
	MaximumAttempts int
	Delay           time.Duration
}

// MayRetry allows attempts up to the maximum.
func (r LimitedRetry) MayRetry(_ time.Duration, attempt RetryAttempt) RetryDecision {
	return RetryDecision{Allowed: attempt.Number < r.MaximumAttempts, Delay: r.Delay}
}
