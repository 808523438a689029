package admission

import (
	"slices"
	"time"
)

// ShareOptions are the settings of a ShareCalculator.
type ShareOptions struct {
	// Valid is how long a share may be used without renewal. It is more than two
	// of the intervals at which gateways report a tenant's usage.
	Valid time.Duration
	// Floor is the fraction of a tenant's budget that is divided evenly among the
	// gateways whatever their demand, so that a first request isn't refused.
	Floor float64
	// Smoothing is the weight of a new usage report in the moving average of a
	// gateway's demand.
	Smoothing float64
}

// DefaultShareOptions returns the default settings.
func DefaultShareOptions() ShareOptions {
	return ShareOptions{Valid: 65 * time.Second, Floor: 0.2, Smoothing: 0.5}
}

// ShareCalculator divides tenant budgets among gateways at the leader of the zone
// group: it leases parts of each tenant's budget to the gateways, by their demand.
// The sum of the valid leases never exceeds the budget: the part by which a share
// shrinks is leased to others only after the old lease has expired.
type ShareCalculator struct {
	options ShareOptions
	// equalSharesUntil is the end of the time in which shares granted by an earlier
	// leader may still be valid and in which the demand is not known. Until then
	// all gateways get equal shares, whose sum does not exceed the budget.
	equalSharesUntil time.Duration
	tenants          map[string]*tenantShares
}

// tenantShares is the state of one tenant.
type tenantShares struct {
	demand map[string]float64
	leases map[string]lease
}

// lease holds the grants to a gateway that may still be in use, the newest last.
// Replies may be lost, so the gateway may be using any of them. Each grant has a
// higher rate than those after it: a grant makes earlier, lower ones irrelevant.
type lease struct {
	grants []grant
}

// grant is the rate that a gateway may use up to the time until, and of which it
// may use staleShareFactor afterwards.
type grant struct {
	rate  float64
	until time.Duration
}

// Share is the part of a budget that is granted to a gateway.
type Share struct {
	TokensPerSecond float64
	BurstTokens     float64
	Valid           time.Duration
}

// NewShareCalculator returns the calculator of a leader whose term starts now. It
// knows of no leases.
func NewShareCalculator(now time.Duration, options ShareOptions) *ShareCalculator {
	return &ShareCalculator{options: options, equalSharesUntil: now + options.Valid, tenants: make(map[string]*tenantShares)}
}

func (c *ShareCalculator) tenant(name string) *tenantShares {
	shares, found := c.tenants[name]
	if !found {
		shares = &tenantShares{demand: make(map[string]float64), leases: make(map[string]lease)}
		c.tenants[name] = shares
	}
	return shares
}

// RecordUsage records the rate that a gateway's callers requested, in tokens a second.
func (c *ShareCalculator) RecordUsage(gatewayID, tenant string, tokensPerSecond float64) {
	shares := c.tenant(tenant)
	smoothed := shares.demand[gatewayID]
	shares.demand[gatewayID] = smoothed + c.options.Smoothing*(tokensPerSecond-smoothed)
}

// RemoveGateway deletes a gateway's demand and leases. It must be called only after
// the gateway's session has ended for good.
func (c *ShareCalculator) RemoveGateway(gatewayID string) {
	for _, shares := range c.tenants {
		delete(shares.demand, gatewayID)
		delete(shares.leases, gatewayID)
	}
}

// Renew grants a gateway its share of a tenant's budget. gateways lists all
// gateways with open sessions, including this one.
func (c *ShareCalculator) Renew(now time.Duration, gatewayID, tenant string, budget, burst float64, gateways []string) Share {
	shares := c.tenant(tenant)
	target := budget / float64(max(len(gateways), 1))
	if now >= c.equalSharesUntil {
		target = c.target(shares, gatewayID, budget, gateways)
	}
	committed := shares.committedToOthers(now, gatewayID)
	granted := max(0, min(target, budget-committed))
	shares.addGrant(now, gatewayID, granted, c.options.Valid)
	fraction := 0.0
	if budget > 0 {
		fraction = granted / budget
	}
	return Share{TokensPerSecond: granted, BurstTokens: burst * fraction, Valid: c.options.Valid}
}

// target returns the gateway's fair share: an equal part of the floor, and a part
// of the rest in proportion to its demand.
func (c *ShareCalculator) target(shares *tenantShares, gatewayID string, budget float64, gateways []string) float64 {
	count := float64(max(len(gateways), 1))
	total := 0.0
	for _, id := range gateways {
		total += shares.demand[id]
	}
	if total <= 0 {
		return budget / count
	}
	byDemand := budget * (1 - c.options.Floor) * shares.demand[gatewayID] / total
	return budget*c.options.Floor/count + byDemand
}

// committedToOthers returns the highest rate that the other gateways may use
// together from now on, until they renew.
func (s *tenantShares) committedToOthers(now time.Duration, gatewayID string) float64 {
	ids := make([]string, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	total := 0.0
	for _, id := range ids {
		if id != gatewayID {
			total += s.leases[id].maximumRate(now)
		}
	}
	return total
}

// addGrant adds a grant to a gateway's lease. It drops earlier grants that are not
// higher, and those that expired at least valid ago.
func (s *tenantShares) addGrant(now time.Duration, gatewayID string, rate float64, valid time.Duration) {
	var retained []grant
	for _, old := range s.leases[gatewayID].grants {
		if old.rate > rate && now < old.until+valid {
			retained = append(retained, old)
		}
	}
	s.leases[gatewayID] = lease{grants: append(retained, grant{rate: rate, until: now + valid})}
}

// maximumRate returns the highest rate that the gateway may be using.
func (l lease) maximumRate(now time.Duration) float64 {
	maximum := 0.0
	for _, each := range l.grants {
		rate := each.rate
		if now >= each.until {
			rate *= staleShareFactor
		}
		maximum = max(maximum, rate)
	}
	return maximum
}
