package retry

import (
	"math"
	"time"
)

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// MinimumPerSecond is the number of retries allowed per second regardless
	// of requests, so that a gateway with little traffic can retry at all.
	MinimumPerSecond float64
	// Maximum bounds the balance, in retries.
	Maximum float64
	// Initial is the balance of a new budget, bounded by Maximum.
	Initial float64
	// DecayTime is the time constant with which the balance decays; 0 disables the
	// decay. Without it, many gateways would accumulate retries in quiet times
	// and spend them at the same time.
	DecayTime time.Duration
}

// DefaultBudgetOptions returns the default settings, which the experiments use.
// The ratio keeps total attempts below 1.1 times the requests.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Ratio: 0.08, MinimumPerSecond: 0.1, Maximum: 50}
}

// Budget bounds retries and hedges over all requests of a gateway to a ratio of
// its requests, so that retries don't overload a failing zone. It is the token
// bucket of Finagle's RetryBudget.
type Budget struct {
	options     BudgetOptions
	balance     float64
	lastAdvance time.Duration
	refused     uint64
}

// NewBudget returns a budget with the initial balance of the options.
func NewBudget(options BudgetOptions) *Budget {
	return &Budget{options: options, balance: min(options.Initial, options.Maximum)}
}

// SetOptions changes the settings. The balance is kept, up to the new Maximum.
func (b *Budget) SetOptions(options BudgetOptions) {
	b.options = options
	b.balance = min(b.balance, options.Maximum)
}

// Request counts a request, not an attempt, and adds Ratio to the balance.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.add(b.options.Ratio)
}

// Withdraw takes one retry out of the budget. It returns false if none is left.
func (b *Budget) Withdraw(now time.Duration) bool { return b.take(now, 0) }

// Overdraw takes one retry out of the budget that has to be made even if none is left. The debt delays later
// retries. It returns false if the debt would exceed the maximum balance.
func (b *Budget) Overdraw(now time.Duration) bool { return b.take(now, -b.options.Maximum) }

// Return gives a retry back that was taken out and not made.
func (b *Budget) Return(now time.Duration) {
	b.advance(now)
	b.add(1)
}

// take takes one retry out of the budget unless the balance would fall below least.
func (b *Budget) take(now time.Duration, least float64) bool {
	b.advance(now)
	if b.balance-1 < least {
		b.refused++
		return false
	}
	b.balance--
	return true
}

// Refused returns the number of withdrawals that were refused.
func (b *Budget) Refused() uint64 { return b.refused }

// Balance returns the number of retries left, negative if they are overdrawn.
func (b *Budget) Balance() float64 { return b.balance }

func (b *Budget) advance(now time.Duration) {
	if now <= b.lastAdvance {
		return
	}
	elapsed := now - b.lastAdvance
	if b.options.DecayTime > 0 && b.balance > 0 {
		b.balance *= math.Exp(-elapsed.Seconds() / b.options.DecayTime.Seconds())
	}
	b.add(elapsed.Seconds() * b.options.MinimumPerSecond)
	b.lastAdvance = now
}

func (b *Budget) add(earned float64) {
	b.balance = min(b.options.Maximum, b.balance+earned)
}
