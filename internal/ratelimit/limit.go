package ratelimit

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/quota"
)

const (
	// Window is the time over which a replica's limit is judged.
	Window = 4 * time.Second
	// burst in requests is what a replica may get at once after a quiet time: as many as keep it busy
	// while gateways with little to send find out that it has room again.
	burst = 3
	// burstPerRate lowers the burst where the rate is low, in requests for each request a second:
	// what is tolerated beyond such a limit is little.
	burstPerRate = 2 * burst
	// tolerated and toleratedSlack are by how much all pools together may overrun a limit: a share
	// of what it allows within the window, and requests. A window may hold half as much again as the
	// limit allows and 5 requests: the rest is for requests that were allowed up to PermitTime before,
	// and for gateways that reach no pool.
	tolerated      = 0.125
	toleratedSlack = 1.625
	// PermitTime is for how long a request that was allowed may be kept back before it is sent.
	PermitTime = time.Second
)

// Terms are those of the pools that count what replicas get.
func Terms() quota.Terms {
	return quota.Terms{Window: Window, Over: tolerated, Slack: toleratedSlack, Strict: true}
}

// PoolLimit is what a pool counts against for a replica that names a rate. A replica that names
// next to nothing gets one request in a contact time all the same, if there is any: only its
// answer shows that the limit has gone.
func PoolLimit(rate float64, contact time.Duration) quota.Limit {
	return quota.Limit{
		Rate:  max(rate, 1/contact.Seconds()),
		Burst: min(1+burstPerRate*rate, burst),
	}
}

// Unlimited is what a pool counts against once a replica names no limit any more: gateways that have not
// heard so yet still ask.
func Unlimited() quota.Limit { return quota.Limit{Rate: unlimited, Burst: unlimited} }

// unlimited is above what any replica takes, in requests.
const unlimited = 1e9
