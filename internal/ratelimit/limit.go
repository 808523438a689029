package ratelimit

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/quota"
)

const (
	// Window is the time window over which a replica's limit is enforced.
	Window = 4 * time.Second
	// maximumBurst is how many requests a replica may receive at once after an idle time: enough to keep it
	// busy while gateways with little traffic find out that it has capacity again.
	maximumBurst = 3
	// burstPerRate lowers the burst at low rates, where little overrun is tolerated: it is the number of
	// requests that the burst grows by for each request a second.
	burstPerRate = 2 * maximumBurst
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
// a rate near zero is sent one request per contact time, if callers make any: only its response shows that the
// limit has been lifted. contact is the time within which information reaches all connected processes.
func PoolLimit(rate float64, contact time.Duration) quota.Limit {
	return quota.Limit{
		Rate:  max(rate, 1/contact.Seconds()),
		Burst: min(1+burstPerRate*rate, maximumBurst),
	}
}

// Unlimited is the limit that a pool enforces once a replica declares none any more: gateways that have not
// learned this yet still ask.
func Unlimited() quota.Limit { return quota.Limit{Rate: unlimited, Burst: unlimited} }

// unlimited is a rate and a burst beyond what any replica accepts, in requests.
const unlimited = 1e9
