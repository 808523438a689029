package relay

import (
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/retry"
)

// BudgetTerms bound the repeated sends of all gateways together.
type BudgetTerms struct {
	// Ratio of repeated sends to requests, over Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of repeated sends allowed beyond the ratio in each
	// Window, over all gateways.
	Slack float64
}

// Budgets bound this gateway's repeated sends to each service, without a message
// to the others: each gateway takes an equal share of the slack. They may be used
// concurrently.
type Budgets struct {
	mutex    sync.Mutex
	clock    func() time.Duration
	terms    BudgetTerms
	gateways int
	services map[string]*retry.Budget
}

const (
	// caution is the part of the allowance that is used: gateways come and go,
	// and a window begins anywhere.
	caution = 0.9
	// savedShare of a gateway's slack can be saved up; the rest flows in evenly
	// over a window.
	savedShare = 0.5
	// initialShare of what can be saved up is there from the start. It is granted
	// again at each start, so a gateway that restarts often must not get much.
	initialShare = 0.5
)

// NewBudgets returns budgets for a number of gateways.
func NewBudgets(clock func() time.Duration, terms BudgetTerms, gateways int) *Budgets {
	return &Budgets{clock: clock, terms: terms, gateways: max(gateways, 1), services: map[string]*retry.Budget{}}
}

// SetGateways says how many gateways share the slack; 0 leaves it as it is.
func (b *Budgets) SetGateways(gateways int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if gateways == 0 || gateways == b.gateways {
		return
	}
	b.gateways = gateways
	for _, budget := range b.services {
		budget.SetOptions(b.options())
	}
}

// Request counts a request for a service.
func (b *Budgets) Request(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(service).Request(b.clock())
}

// Withdraw takes one repeated send out of a service's budget, or reports that
// none is left.
func (b *Budgets) Withdraw(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.of(service).Withdraw(b.clock())
}

func (b *Budgets) of(service string) *retry.Budget {
	budget, found := b.services[service]
	if !found {
		budget = retry.NewBudget(b.options())
		b.services[service] = budget
	}
	return budget
}

// options are those of each service's budget.
func (b *Budgets) options() retry.BudgetOptions {
	share := caution * b.terms.Slack / float64(b.gateways)
	return retry.BudgetOptions{
		Ratio:            caution * b.terms.Ratio,
		MinimumPerSecond: (1 - savedShare) * share / b.terms.Window.Seconds(),
		Maximum:          max(savedShare*share, 1),
		Initial:          initialShare * savedShare * share,
		Memory:           b.terms.Window,
	}
}
