package quota

import (
	"slices"
	"time"
)

// Shares of the tolerance: what the pools' debts, questions that the holder does not answer, and
// gateways that reach no coordinator may use up. Together they are 1, with debts counted twice:
// a holder that takes over does not know those of the one before.
const (
	debtShare    = 0.35
	silentShare  = 0.15
	gatewayShare = 0.15
)

// Mode is how the pool decides at a time.
func (p *Pool) Mode(now time.Duration) Mode {
	switch {
	case p.leader == p.options.Address:
		return ModeHolding
	case p.leader != "" && p.holder == p.leader && now < p.freeFrom:
		return ModeAttached
	default:
		return ModeAlone
	}
}

// countedParts are the parts that count in a pool at a time.
type countedParts struct {
	// all is their number, and even that of those which have counted here for a window.
	all, even int
	// aged is all with each part younger than a window counted by its age. Debts are allowed by it:
	// a pool that could use all of its debt at once would add it to those of all that held the same
	// parts within the window.
	aged float64
}

// add counts a part that has been here since a time.
func (c *countedParts) add(now, since, window time.Duration) {
	c.all++
	age := now - since
	if age >= window {
		c.even++
	}
	c.aged += min(age.Seconds()/window.Seconds(), 1)
}

// countParts are the parts that count here at a time.
func (p *Pool) countParts(now time.Duration) countedParts {
	window := p.options.Terms.window()
	mode := p.Mode(now)
	isOwn := mode != ModeAttached && now >= p.freeFrom && slices.Contains(p.members, p.options.Address)
	if isOwn && !p.hasOwn {
		p.ownSince = now
	}
	p.hasOwn = isOwn
	var counted countedParts
	if isOwn {
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

// refresh notes how many parts count here now. For the time since the last refresh the smaller
// number counts: which of them ended when is not worth knowing.
func (p *Pool) refresh(now time.Duration) {
	counted := p.countParts(now)
	before := p.parts
	if counted.all == before.all && counted.even == before.even {
		p.parts = counted
		return
	}
	p.parts = countedParts{all: min(before.all, counted.all), even: min(before.even, counted.even), aged: min(before.aged, counted.aged)}
	p.settle(now)
	p.parts = counted
	p.settle(now)
	if counted.all != before.all {
		p.output.Modes = append(p.output.Modes, ModeChange{Mode: p.Mode(now), Parts: counted.all, Of: len(p.members), Holder: p.holder})
	}
}

// settle refills all buckets up to a time, and cuts them to the parts that count here.
func (p *Pool) settle(now time.Duration) {
	for tenant, each := range p.buckets {
		each.refill(now, p.share(tenant))
	}
}

// share is what of a tenant's limit counts here.
func (p *Pool) share(tenant string) share {
	members := float64(max(len(p.members), 1))
	most := p.options.Terms.tolerance(p.limits[tenant]) * debtShare
	held := share{
		parts:     float64(p.parts.all) / members,
		evenParts: float64(p.parts.even) / members,
		debt:      most * p.parts.aged / members,
		mostDebt:  most,
		window:    p.options.Terms.window(),
		strict:    p.options.Terms.Strict,
		turn:      p.options.Lease,
	}
	if held.strict {
		held.evenParts = 0
	}
	return held
}

// silentShareOf is what of a tenant's limit may be used while the holder does not answer.
func (p *Pool) silentShareOf(tenant string) share {
	return share{
		mostDebt: p.options.Terms.tolerance(p.limits[tenant]) * debtShare,

		debt:   p.options.Terms.tolerance(p.limits[tenant]) * silentShare / float64(max(len(p.members), 1)),
		window: p.options.Terms.window(),
		strict: p.options.Terms.Strict,
		turn:   p.options.Lease,
	}
}
