package relay

import (
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/retry"
)

// RetryBudgetOptions bound the retries of all gateways together.
type RetryBudgetOptions struct {
	// Ratio is the number of retries per request, over Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries that all gateways together may make beyond the ratio in each
	// Window.
	Slack float64
}

// RetryBudgets bound this gateway's retries to each service without communication between gateways: each
// gateway gets an equal share of the slack. They are safe for concurrent use.
type RetryBudgets struct {
	mutex    sync.Mutex
	clock    func() time.Duration
	options  RetryBudgetOptions
	gateways int
	services map[string]*retry.Budget
}

const (
	// allowanceMargin is the part of the allowance that is used: the number of gateways changes, and the
	// bound holds for a window that begins at any time.
	allowanceMargin = 0.9
	// burstShare is the part of a gateway's slack that can be saved up. The rest is added evenly over a
	// window.
	burstShare = 0.5
	// initialShare is the part of the burst that is available from the start. It is granted at each
	// start, so it must be small: a gateway that restarts often must not get much.
	initialShare = 0.5
)

// NewRetryBudgets returns budgets for a given number of gateways.
func NewRetryBudgets(clock func() time.Duration, options RetryBudgetOptions, gateways int) *RetryBudgets {
	return &RetryBudgets{clock: clock, options: options, gateways: max(gateways, 1), services: map[string]*retry.Budget{}}
}

// SetGateways sets the number of gateways that share the slack; 0 leaves it unchanged.
func (b *RetryBudgets) SetGateways(gateways int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if gateways == 0 || gateways == b.gateways {
		return
	}
	b.gateways = gateways
	for _, budget := range b.services {
		budget.SetOptions(b.budgetOptions())
	}
}

// Request counts a request for a service, which adds to its retry budget.
func (b *RetryBudgets) Request(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.serviceBudget(service).Request(b.clock())
}

// Withdraw takes one retry out of a service's budget. It reports false if none is left.
func (b *RetryBudgets) Withdraw(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.serviceBudget(service).Withdraw(b.clock())
}

// Overdraw takes one retry out of a service's budget that has to be made even if none is left. It reports false
// if the budget is overdrawn by too much.
func (b *RetryBudgets) Overdraw(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.serviceBudget(service).Overdraw(b.clock())
}

// Return gives a retry back to a service's budget that was taken out and not made.
func (b *RetryBudgets) Return(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.serviceBudget(service).Return(b.clock())
}

func (b *RetryBudgets) serviceBudget(service string) *retry.Budget {
	budget, found := b.services[service]
	if !found {
		budget = retry.NewBudget(b.budgetOptions())
		b.services[service] = budget
	}
	return budget
}

// budgetOptions returns the options of each service's budget.
func (b *RetryBudgets) budgetOptions() retry.BudgetOptions {
	share := allowanceMargin * b.options.Slack / float64(b.gateways)
	return retry.BudgetOptions{
		Ratio:            allowanceMargin * b.options.Ratio,
		MinimumPerSecond: (1 - burstShare) * share / b.options.Window.Seconds(),
		Maximum:          max(burstShare*share, 1),
		Initial:          initialShare * burstShare * share,
		DecayTime:        b.options.Window,
	}
}
