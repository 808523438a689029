package retry

import (
	"math"
	"time"
)

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// MinimumPerSecond lets a quiet gateway retry at all.
	MinimumPerSecond float64
	// Maximum bounds the retries that can be saved up.
	Maximum float64
	// Initial is what a new budget holds.
	Initial float64
	// Memory is the time constant by which what was saved up is lost: many gateways that save up in quiet
	// times would else spend it together. 0 loses nothing.
	Memory time.Duration
}

// DefaultBudgetOptions returns the settings that the experiments use. The ratio
// keeps total attempts below 1.1 times the requests.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Ratio: 0.08, MinimumPerSecond: 0.1, Maximum: 50}
}

// Budget bounds retries and hedges over all requests of a gateway to a ratio of
// its requests, so that a failing zone isn't buried under retries. It is the
// token bucket of Finagle's RetryBudget.
type Budget struct {
	options BudgetOptions
	balance float64
	last    time.Duration
	refused uint64
}

// NewBudget returns a budget that holds what the options say.
func NewBudget(options BudgetOptions) *Budget {
	return &Budget{options: options, balance: min(options.Initial, options.Maximum)}
}

// SetOptions changes the settings; what was saved up is kept as far as it may be.
func (b *Budget) SetOptions(options BudgetOptions) {
	b.options = options
	b.balance = min(b.balance, options.Maximum)
}

// Request counts a request, not an attempt, and earns its part of a retry.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.add(b.options.Ratio)
}

// Withdraw takes one retry out of the budget, or reports that none is left.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.advance(now)
	if b.balance < 1 {
		b.refused++
		return false
	}
	b.balance--
	return true
}

// Refused returns the number of withdrawals that were refused.
func (b *Budget) Refused() uint64 { return b.refused }

// Balance returns the retries that are left.
func (b *Budget) Balance() float64 { return b.balance }

func (b *Budget) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	passed := now - b.last
	if b.options.Memory > 0 {
		b.balance *= math.Exp(-passed.Seconds() / b.options.Memory.Seconds())
	}
	b.add(passed.Seconds() * b.options.MinimumPerSecond)
	b.last = now
}

func (b *Budget) add(earned float64) {
	b.balance = min(b.options.Maximum, b.balance+earned)
}
