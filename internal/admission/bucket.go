package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// TenantLimit enforces a gateway's share of a tenant's token budget. When the
// lease of the share expires without renewal by the zone group, the limit falls
// back to a fraction of the last share, so that an unreachable leader neither
// blocks a tenant nor leaves it unlimited.
type TenantLimit struct {
	limiter *rate.Limiter
	// unlimited is set for tenants without a budget.
	unlimited bool
	// validUntil is when the lease of the share expires, 0 once the rate has been
	// lowered because it has expired.
	validUntil time.Duration
	// lastShare is in tokens a second.
	lastShare float64
	burst     float64
	// requested and granted count tokens since the last usage report, which was
	// at usageSince with the rate reportedRate.
	requested, granted float64
	usageSince         time.Duration
	reportedRate       float64
	reported           bool
}

// staleShareFactor is the fraction of an expired share that may still be used.
const staleShareFactor = 0.5

// limiterEpoch is the time.Time that stands for monotonic time 0 in x/time/rate.
var limiterEpoch = time.Unix(0, 0)

func limiterTime(now time.Duration) time.Time { return limiterEpoch.Add(now) }

// NewTenantLimit returns a limit with an initial share of the budget; a rate of 0
// means no limit. The initial share has no lease, so that only staleShareFactor of
// its rate may be used until SetShare is called.
func NewTenantLimit(now time.Duration, tokensPerSecond, burst float64) *TenantLimit {
	limit := &TenantLimit{unlimited: tokensPerSecond <= 0, usageSince: now, burst: max(burst, 1)}
	limit.limiter = rate.NewLimiter(rate.Limit(tokensPerSecond), int(math.Ceil(limit.burst)))
	limit.lastShare = tokensPerSecond
	limit.validUntil = now
	return limit
}

// SetShare applies a leased share, which is valid for the given time.
func (t *TenantLimit) SetShare(now time.Duration, tokensPerSecond, burst float64, valid time.Duration) {
	t.lastShare = tokensPerSecond
	t.validUntil = now + valid
	t.burst = max(burst, 1)
	t.limiter.SetLimitAt(limiterTime(now), rate.Limit(tokensPerSecond))
	t.limiter.SetBurstAt(limiterTime(now), int(math.Ceil(t.burst)))
}

// Allow takes tokens from the bucket, or returns how long it takes until they are
// available. A request larger than the burst is charged the size of the burst.
func (t *TenantLimit) Allow(now time.Duration, tokens float64) (ok bool, retryAfter time.Duration) {
	t.requested += tokens
	if t.unlimited {
		t.granted += tokens
		return true, 0
	}
	t.expireShare(now)
	charge := int(math.Ceil(min(tokens, t.burst)))
	reservation := t.limiter.ReserveN(limiterTime(now), charge)
	if !reservation.OK() {
		return false, time.Second
	}
	if delay := reservation.DelayFrom(limiterTime(now)); delay > 0 {
		reservation.CancelAt(limiterTime(now))
		return false, delay
	}
	t.granted += tokens
	return true, 0
}

// expireShare lowers the rate once the lease has expired.
func (t *TenantLimit) expireShare(now time.Duration) {
	if t.validUntil == 0 || now < t.validUntil {
		return
	}
	t.limiter.SetLimitAt(limiterTime(now), rate.Limit(t.lastShare*staleShareFactor))
	t.validUntil = 0
}

const (
	// usageReportInterval is the interval between usage reports of a tenant. The
	// target of 460 tenants at each of 480 gateways is too large to report all of
	// them every second.
	usageReportInterval = 30 * time.Second
	// earlyReportInterval is the minimum time between two reports when requests
	// were refused or the usage has grown by earlyReportGrowth.
	earlyReportInterval = 3 * time.Second
	// earlyReportGrowth is the factor of growth since the last report above which
	// the next one is sent early.
	earlyReportGrowth = 2
)

// DueUsage returns the tokens a second that were requested since the last usage
// report, if the next report is due: at the tenant's first use, at regular
// intervals while it sends requests and once after, and earlier when requests
// were refused or the usage has more than doubled. No report is ever due for a
// tenant without a budget.
func (t *TenantLimit) DueUsage(now time.Duration) (requestRate float64, due bool) {
	span := now - t.usageSince
	if t.unlimited || span <= 0 || (t.requested == 0 && t.reportedRate == 0) {
		return 0, false
	}
	requestRate = t.requested / span.Seconds()
	demandIncreased := t.requested > t.granted || requestRate > earlyReportGrowth*t.reportedRate
	switch {
	case !t.reported && t.requested > 0, span >= usageReportInterval:
	case span >= earlyReportInterval && demandIncreased:
	default:
		return 0, false
	}
	t.requested, t.granted, t.usageSince = 0, 0, now
	t.reportedRate, t.reported = requestRate, true
	return requestRate, true
}

// BurstUtilization returns the fraction of the burst that is currently used up,
// from 0 to 1; it is 0 for a tenant without a budget.
func (t *TenantLimit) BurstUtilization(now time.Duration) float64 {
	if t.unlimited {
		return 0
	}
	remaining := t.limiter.TokensAt(limiterTime(now)) / float64(t.limiter.Burst())
	return min(max(1-remaining, 0), 1)
}
