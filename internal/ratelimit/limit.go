package ratelimit

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/quota"
)

const (
	// Window is the time window over which a replica's limit is enforced.
	Window = 4 * time.Second
	// maxBurst is how many requests a replica may receive at once after an idle time: enough to keep it
	// busy while gateways with little traffic find out that it has capacity again.
	maxBurst = 3
	// burstPerRate scales the burst down at low rates, in requests for each request a second: the overrun
	// tolerated beyond such a limit is small.
	burstPerRate = 2 * maxBurst
	// overrunShare and overrunSlack bound by how much all pools together may overrun a limit: a share
	// of what it allows within the window, plus a number of requests. A window may hold 1.5 times what
	// the limit allows and 5 requests: the remainder covers requests that were permitted up to PermitTime
	// earlier, and gateways that reach no pool.
	overrunShare = 0.125
	overrunSlack = 1.625
	// PermitTime is how long after its permission a request may be sent.
	PermitTime = time.Second
)

// PoolEnforcement returns the enforcement of the quota pools that count the requests sent to replicas.
func PoolEnforcement() quota.Enforcement {
	return quota.Enforcement{Window: Window, RelativeTolerance: overrunShare, AbsoluteTolerance: overrunSlack, Strict: true}
}

// PoolLimit is the limit that a pool enforces for a replica that declares a rate. Even a replica that declares
// a rate near zero gets one request per contact time, if there is any: only its response shows that the limit
// has been lifted.
func PoolLimit(rate float64, contact time.Duration) quota.Limit {
	return quota.Limit{
		Rate:  max(rate, 1/contact.Seconds()),
		Burst: min(1+burstPerRate*rate, maxBurst),
	}
}

// Unlimited is the limit that a pool enforces once a replica declares none any more: gateways that have not
// learned this yet still ask.
func Unlimited() quota.Limit { return quota.Limit{Rate: unlimited, Burst: unlimited} }

// unlimited is more than any replica accepts, in requests.
const unlimited = 1e9
