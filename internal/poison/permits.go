package poison

import "time"

// Permits let one gateway at a time send a request on probation. Without them, a caller that repeats it
// through several gateways at once crashes a replica at each before the evidence of the first crash has
// arrived: four more replicas after the third crash, where three more are tolerated.
type Permits struct {
	expiry map[Digest]time.Duration
}

// NewPermits returns Permits of which none is taken.
func NewPermits() *Permits { return &Permits{expiry: map[Digest]time.Duration{}} }

// Acquire gives the permit for a request to the first gateway that asks, for contactTime: in it the
// others learn of the outcome. If the permit is taken, wait is the time until it expires.
func (p *Permits) Acquire(now, contactTime time.Duration, digest Digest) (wait time.Duration) {
	if until := p.expiry[digest]; now < until {
		return until - now
	}
	if len(p.expiry) >= maximumPermits {
		p.deleteExpired(now)
	}
	p.expiry[digest] = now + contactTime
	return 0
}

// deleteExpired deletes expired permits.
func (p *Permits) deleteExpired(now time.Duration) {
	for digest, until := range p.expiry {
		if now >= until {
			delete(p.expiry, digest)
		}
	}
}

// maximumPermits is the number of permits from which on expired ones are deleted: that of records,
// since no other requests are on probation.
const maximumPermits = MaximumRecords
