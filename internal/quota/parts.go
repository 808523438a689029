package quota

import (
	"slices"
	"time"
)

// Fractions of the tolerance that may be used up by the pools' debts, by queries that the holder
// does not answer, and by gateways that reach no coordinator. With debts counted twice, since a new
// holder does not know the debts of the previous one, they add up to 1.
const (
	debtFraction          = 0.35
	holderTimeoutFraction = 0.15
	gatewayFraction       = 0.15
)

// Mode returns how the pool decides at a time.
func (p *Pool) Mode(now time.Duration) Mode {
	switch {
	case p.leader == p.options.Address:
		return ModeHolding
	case p.leader != "" && p.holder == p.leader && now < p.leaseEnd:
		return ModeAttached
	default:
		return ModeAlone
	}
}

// shareCount is the number of shares that count in a pool at a time.
type shareCount struct {
	// total counts all shares, and mature those that have counted here for a window.
	total, mature int
	// ageWeighted is total with each share younger than a window counted by its age as a fraction
	// of the window. It limits debts: a pool that could use all of its debt at once would add it to
	// the debts of all pools that held the same shares within the window.
	ageWeighted float64
}

// add counts a share that has counted here since a time.
func (c *shareCount) add(now, since, window time.Duration) {
	c.total++
	age := now - since
	if age >= window {
		c.mature++
	}
	c.ageWeighted += min(age.Seconds()/window.Seconds(), 1)
}

// countShares returns the number of shares that count here at a time, and updates whether and since
// when the own share does.
func (p *Pool) countShares(now time.Duration) shareCount {
	window := p.options.Enforcement.window()
	mode := p.Mode(now)
	countsOwn := mode != ModeAttached && now >= p.leaseEnd && slices.Contains(p.members, p.options.Address)
	if countsOwn && !p.countsOwn {
		p.ownSince = now
	}
	p.countsOwn = countsOwn
	var counted shareCount
	if countsOwn {
		counted.add(now, p.ownSince, window)
	}
	if mode != ModeHolding {
		return counted
	}
	for _, each := range p.attached {
		if now < each.until {
			counted.add(now, each.since, window)
		}
	}
	return counted
}

// updateShares updates the number of shares that count here. The time since the last update is
// refilled with the smaller number: when exactly a share ended in between does not matter.
func (p *Pool) updateShares(now time.Duration) {
	counted := p.countShares(now)
	previous := p.shares
	if counted.total == previous.total && counted.mature == previous.mature {
		p.shares = counted
		return
	}
	p.shares = shareCount{total: min(previous.total, counted.total), mature: min(previous.mature, counted.mature), ageWeighted: min(previous.ageWeighted, counted.ageWeighted)}
	p.refillAll(now)
	p.shares = counted
	p.refillAll(now)
	if counted.total != previous.total {
		p.output.ShareChanges = append(p.output.ShareChanges, ShareChange{Mode: p.Mode(now), Shares: counted.total, Members: len(p.members), Holder: p.holder})
	}
}

// refillAll refills all buckets up to a time, and clamps them to the shares that count here.
func (p *Pool) refillAll(now time.Duration) {
	for tenant, each := range p.buckets {
		each.refill(now, p.allowance(tenant))
	}
}

// allowance returns the part of a tenant's limit that may be used here.
func (p *Pool) allowance(tenant string) allowance {
	members := float64(max(len(p.members), 1))
	fullMaximumDebt := p.options.Enforcement.tolerance(p.limits[tenant]) * debtFraction
	current := allowance{
		fraction:        float64(p.shares.total) / members,
		matureFraction:  float64(p.shares.mature) / members,
		maximumDebt:     fullMaximumDebt * p.shares.ageWeighted / members,
		fullMaximumDebt: fullMaximumDebt,
		window:          p.options.Enforcement.window(),
		strict:          p.options.Enforcement.Strict,
		retryAfter:      p.options.Lease,
	}
	if current.strict {
		current.matureFraction = 0
	}
	return current
}

// holderTimeoutAllowance returns the part of a tenant's limit that may be used while the holder does
// not answer.
func (p *Pool) holderTimeoutAllowance(tenant string) allowance {
	return allowance{
		fullMaximumDebt: p.options.Enforcement.tolerance(p.limits[tenant]) * debtFraction,

		maximumDebt: p.options.Enforcement.tolerance(p.limits[tenant]) * holderTimeoutFraction / float64(max(len(p.members), 1)),
		window:      p.options.Enforcement.window(),
		strict:      p.options.Enforcement.Strict,
		retryAfter:  p.options.Lease,
	}
}
