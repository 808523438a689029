package retry

import (
	"math/rand/v2"
	"time"
)

// Options are the settings of a Retrier.
type Options struct {
	Budget BudgetOptions
	// MaximumAttempts bounds the attempts per request, including the first.
	MaximumAttempts int
	// BaseBackoff and MaximumBackoff bound the delay before a retry: it is
	// drawn uniformly between 0 and BaseBackoff, which doubles with each
	// attempt up to MaximumBackoff ("full jitter", Brooker, AWS Architecture
	// Blog 2015).
	BaseBackoff    time.Duration
	MaximumBackoff time.Duration
	Hedge          HedgeOptions
}

// DefaultOptions returns the default settings, which the experiments use.
func DefaultOptions() Options {
	return Options{
		Budget:          DefaultBudgetOptions(),
		MaximumAttempts: 4,
		BaseBackoff:     20 * time.Millisecond,
		MaximumBackoff:  time.Second,
		Hedge:           DefaultHedgeOptions(),
	}
}

// Failure describes a failed attempt.
type Failure struct {
	// Attempts is the number of attempts made so far, this one included.
	Attempts int
	// NotRun is true if the back end provably did not run the attempt.
	NotRun bool
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Deadline is the time by which the answer is due, 0 for none.
	Deadline time.Duration
	// Expected is the predicted duration of a further attempt.
	Expected time.Duration
	// Resumes is true if the caller has already received a part of the answer,
	// so that giving up would waste the work done.
	Resumes bool
}

// Verdict is the decision after a failure.
type Verdict int

// Verdicts.
const (
	// Retry means to retry after the returned delay.
	Retry Verdict = iota
	// GiveUpNotRepeatable means that the attempt may have run and must not run
	// again.
	GiveUpNotRepeatable
	// GiveUpAttempts means that the limit of attempts was reached.
	GiveUpAttempts
	// GiveUpDeadline means that a further attempt would end after the deadline.
	GiveUpDeadline
	// GiveUpBudget means that the budget is exhausted: too many requests are
	// already being retried.
	GiveUpBudget
)

// Retrier decides on retries and hedges for all requests of one gateway.
type Retrier struct {
	options Options
	random  *rand.Rand
	budget  *Budget
	hedger  *Hedger
}

// New returns a retrier.
func New(options Options, random *rand.Rand) *Retrier {
	return &Retrier{
		options: options,
		random:  random,
		budget:  NewBudget(options.Budget),
		hedger:  NewHedger(options.Hedge),
	}
}

// Request counts a new request. It must be called once per request.
func (r *Retrier) Request(now time.Duration) { r.budget.Request(now) }

// Budget returns the budget, for status reports.
func (r *Retrier) Budget() *Budget { return r.budget }

// Decide decides what to do after a failed attempt, and returns the delay
// before a retry. If the verdict is Retry, the retry has been withdrawn from
// the budget.
func (r *Retrier) Decide(now time.Duration, failed Failure) (Verdict, time.Duration) {
	if !failed.NotRun && !failed.Repeatable {
		return GiveUpNotRepeatable, 0
	}
	if failed.Attempts >= r.options.MaximumAttempts {
		return GiveUpAttempts, 0
	}
	wait := r.backoff(failed)
	if failed.Deadline > 0 && now+wait+failed.Expected >= failed.Deadline {
		return GiveUpDeadline, 0
	}
	if !r.budget.Withdraw(now) {
		return GiveUpBudget, 0
	}
	return Retry, wait
}

// backoff returns the delay before the next attempt. A broken stream resumes
// without delay, because its caller is in the middle of an answer and another
// engine serves it.
func (r *Retrier) backoff(failed Failure) time.Duration {
	if failed.Resumes {
		return 0
	}
	shift := min(max(failed.Attempts-1, 0), 10)
	limit := min(r.options.BaseBackoff<<shift, r.options.MaximumBackoff)
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}

// ObserveFirstToken records a first-token time for hedging.
func (r *Retrier) ObserveFirstToken(took time.Duration) { r.hedger.Observe(took) }

// HedgeAfter returns how long to wait for the first token before a second
// attempt is worth starting; ok is false if hedging isn't worthwhile at
// present.
func (r *Retrier) HedgeAfter() (after time.Duration, ok bool) { return r.hedger.After() }

// Hedge reports whether the second attempt may start now, and if so withdraws
// it from the budget. The request must be repeatable, the limit of attempts not
// reached, the deadline must allow it and the budget must have a retry left.
func (r *Retrier) Hedge(now time.Duration, failed Failure) bool {
	if !failed.Repeatable || failed.Attempts >= r.options.MaximumAttempts {
		return false
	}
	if failed.Deadline > 0 && now+failed.Expected >= failed.Deadline {
		return false
	}
	return r.budget.Withdraw(now)
}
