package quota

import "time"

const (
	// rankSteps is the number of ranks over which the tolerated debt is spread: rank 0 may use all
	// of it and rank rankSteps none, so that a tenant's urgent requests pass while others wait.
	rankSteps = 4
	// smallRequestFraction of the tolerated debt is the maximum size of a small request, such as an
	// application's call beside prompts of a hundred times its size. Small requests may use all of
	// the debt. Without this rule, 215 of 5,116 of them were refused while one tenant sent six
	// times its usual load.
	smallRequestFraction = 1.0 / 64
	// meterSlots is the number of slots into which a window is divided: enough to show what a
	// tenant does, few enough for thousands of tenants.
	meterSlots = 8
)

// bucket counts one account in one pool, in two token buckets: a request passes if one of them has
// enough tokens, and is charged to both. The first has the limit's rate and burst. The second, the
// sustained one, refills at the limit's rate plus the burst spread evenly over the window, and has
// a capacity of 0, so that a tenant which is busy all the time may use rate x window + burst in each
// window too: with the first bucket alone, 208 of 2,400 requests that a tenant sent within its limit
// for 40 s were refused. Together they admit no more than that in any window.
type bucket struct {
	limit Limit
	// level is the number of units left at updatedAt, negative in debt; sustained is that of the
	// second bucket, 0 or less.
	level     float64
	sustained float64
	updatedAt time.Duration
	// unacknowledged is the debt that was sent to the holder and not yet acknowledged, 0 or less.
	unacknowledged float64
	// lastRetryAt is the latest time at which a refused caller was told to retry.
	lastRetryAt time.Duration
	usage       usageMeter
}

// allowance is the part of a limit that a pool may use at a time.
type allowance struct {
	// fraction of the rate and burst is what the pool refills and holds, from 0 to 1. matureFraction
	// is that of the shares that have counted here for a window: how much of the others has been used
	// within the window is unknown.
	fraction       float64
	matureFraction float64
	// unacknowledged is a number of units, 0 or less, that count as used in addition to the level.
	unacknowledged float64
	// maximumDebt is the number of units by which a level may fall below 0, and fullMaximumDebt that of a
	// pool that has held all shares for a window.
	maximumDebt     float64
	fullMaximumDebt float64
	// window is the time over which the use is measured, and the maximum retry delay.
	window time.Duration
	// strict is Enforcement.Strict.
	strict bool
	// retryAfter is the time within which a pool that counts no share counts one again, or is
	// attached to a pool that does.
	retryAfter time.Duration
}

// rate and cap are the first bucket's refill rate in units a second, and its capacity.
func (b *bucket) rate(a allowance) float64 { return b.limit.Rate * a.fraction }
func (b *bucket) cap(a allowance) float64  { return b.limit.Burst * a.fraction }

// sustainedRate is the second bucket's refill rate in units a second.
func (b *bucket) sustainedRate(a allowance) float64 {
	return (b.limit.Rate + b.limit.Burst/a.window.Seconds()) * a.matureFraction
}

// sustainedMaximumDebt is the number of units by which the second bucket may be in debt.
func (a allowance) sustainedMaximumDebt() float64 {
	if a.fraction == 0 {
		return 0
	}
	return a.maximumDebt * a.matureFraction / a.fraction
}

// refill adds to both levels what their rates yield from updatedAt to a time, and clamps them.
func (b *bucket) refill(now time.Duration, a allowance) {
	if now > b.updatedAt {
		elapsed := (now - b.updatedAt).Seconds()
		b.level += b.rate(a) * elapsed
		b.sustained += b.sustainedRate(a) * elapsed
		b.updatedAt = now
	}
	b.clamp(a)
}

// clamp bounds the levels. In a pool with a share, both have the same lower bound: a request that one
// bucket lets pass is charged to the other one too, whose level would otherwise fall without end, and a
// burst has to be possible after a quiet time. The debt of a pool without a share is not bounded: it is
// sent to the holder.
func (b *bucket) clamp(a allowance) {
	b.level = min(b.level, b.cap(a))
	b.sustained = min(b.sustained, 0)
	if a.fraction > 0 {
		b.level = max(b.level, -b.limit.Burst-a.maximumDebt)
		b.sustained = max(b.sustained, -b.limit.Burst-a.maximumDebt)
	}
}

// decide charges a request, or refuses it.
func (b *bucket) decide(now time.Duration, q Query, a allowance) Answer {
	b.refill(now, a)
	answer := Answer{ID: q.ID, Level: b.level, Rate: max(b.rate(a), b.sustainedRate(a))}
	answer.Admitted = b.fits(q, a)
	b.usage.count(now, a.window, q.Units, answer.Admitted)
	if answer.Admitted {
		b.level -= q.Units
		b.sustained -= q.Units
		return answer
	}
	answer.Never = q.Units > b.limit.Burst+a.fullMaximumDebt
	answer.WaitMicros = b.retryAfter(now, q, a).Microseconds()
	return answer
}

// fits reports whether a request may pass now.
func (b *bucket) fits(q Query, a allowance) bool {
	if b.level+a.unacknowledged-q.Units >= -q.usableDebt(a, a.maximumDebt) {
		return true
	}
	if a.matureFraction > 0 && b.sustained-q.Units >= -q.usableDebt(a, a.sustainedMaximumDebt()) {
		return true
	}
	// A request that is larger than the bucket waits until the bucket is full, and may use all of
	// the debt whatever its rank: it could pass at no other time.
	return a.fraction > 0 && b.level >= b.cap(a) && q.Units <= b.cap(a)+a.maximumDebt
}

// usableDebt is the part of a debt that a request may use, by its rank. A small request may use all
// of it: to refuse it would save next to nothing for others. Under strict limits all requests are of
// one size, and only their ranks differ.
func (q *Query) usableDebt(a allowance, maximumDebt float64) float64 {
	if !a.strict && q.Units <= smallRequestFraction*maximumDebt {
		return maximumDebt
	}
	return maximumDebt * float64(rankSteps-min(max(q.Rank, 0), rankSteps)) / rankSteps
}

// retryAfter returns the time after which a refused request should fit. Unless limits are strict, it
// assumes that those refused before it retry first: callers that are told the same time would retry
// together, and be refused together. The time is at most the window, and equal to it for a request that
// exceeds the capacity and the maximum debt, or if the pool has no share; under strict limits, it is
// allowance.retryAfter in a pool without a share.
func (b *bucket) retryAfter(now time.Duration, q Query, a allowance) time.Duration {
	rate, sustainedRate := b.rate(a), b.sustainedRate(a)
	if a.strict && rate <= 0 {
		return a.retryAfter
	}
	if rate <= 0 || q.Units > b.cap(a)+a.maximumDebt {
		return a.window
	}
	needed := min(q.Units-q.usableDebt(a, a.maximumDebt), b.cap(a)) - b.level
	wait := seconds(needed / rate)
	if a.strict {
		return min(wait, a.window)
	}
	if sustainedRate > 0 && q.Units <= q.usableDebt(a, a.sustainedMaximumDebt()) {
		wait = min(wait, seconds((q.Units-q.usableDebt(a, a.sustainedMaximumDebt())-b.sustained)/sustainedRate))
	}
	behind := b.lastRetryAt + seconds(q.Units/max(rate, sustainedRate))
	b.lastRetryAt = min(max(now+wait, behind), now+a.window)
	return b.lastRetryAt - now
}

// seconds returns a number of seconds as a duration between 0 and one day.
func seconds(number float64) time.Duration {
	return time.Duration(min(max(number, 0), (24*time.Hour).Seconds()) * float64(time.Second))
}

// usageMeter counts the units of the last window, by slots.
type usageMeter struct {
	slots [meterSlots]slot
}

// slot is a part of a window; number counts the slots since time 0 of the clock.
type slot struct {
	number            int64
	admitted, refused float64
}

// slotNumber is the number of the slot that contains a time.
func slotNumber(now, window time.Duration) int64 { return int64(now / max(window/meterSlots, 1)) }

func (m *usageMeter) count(now, window time.Duration, units float64, admitted bool) {
	number := slotNumber(now, window)
	current := &m.slots[number%meterSlots]
	if current.number != number {
		*current = slot{number: number}
	}
	if admitted {
		current.admitted += units
		return
	}
	current.refused += units
}

// sum returns what was counted within the window before a time.
func (m *usageMeter) sum(now, window time.Duration) (admitted, refused float64) {
	number := slotNumber(now, window)
	for _, each := range m.slots {
		if number-each.number < meterSlots {
			admitted += each.admitted
			refused += each.refused
		}
	}
	return admitted, refused
}
