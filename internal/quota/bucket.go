package quota

import "time"

const (
	// rankSteps is the number of ranks over which the tolerated debt is spread: rank 0 may use all
	// of it and this rank none, so that a tenant's urgent requests pass while others wait.
	rankSteps = 4
	// smallShare of the debt is what a small request counts at most: an application's calls beside
	// prompts of a hundred times their size. Without it 215 of 5,116 were refused while one tenant
	// sent six times its usual.
	smallShare = 1.0 / 64
	// meterSlots is the number of parts that a window is counted in: enough to see what a tenant
	// does, few enough for thousands of tenants.
	meterSlots = 8
)

// bucket counts one tenant in one pool, in two token buckets: a request passes if one of them has
// room, and is charged to both. One has the limit's rate and burst. The other one has the whole
// burst spread evenly over the window and holds nothing, so that a tenant which is busy all the
// time may use rate x window + burst in each window too: with the first bucket alone, 208 of 2,400
// requests a tenant sent inside its limit for 40 s were refused. Together they let no more than
// that through in any window.
type bucket struct {
	limit Limit
	// level are the units left as of at, negative in debt; even those of the second bucket, 0 or
	// less.
	level float64
	even  float64
	at    time.Duration
	// handed is the debt that was handed to the holder and that it has not acknowledged, 0 or less.
	handed float64
	// returnAt is when the refused caller that was told the latest time should come back.
	returnAt time.Duration
	use      meter
}

// share is the part of a limit that a pool counts at a time.
type share struct {
	// parts of all is what the pool refills and holds, from 0 to 1. evenParts are those of them that
	// have counted here for a window: of the others it is not known how much they have used.
	parts     float64
	evenParts float64
	// owed are units, 0 or less, that count as used beside the level.
	owed float64
	// debt are the units by which a level may fall below 0, and mostDebt those of a pool that has
	// held all parts for a window.
	debt     float64
	mostDebt float64
	// window bounds what callers are told to wait.
	window time.Duration
	// strict is Terms.Strict.
	strict bool
	// turn is by when a pool that counts nothing now counts a part, or has one that does.
	turn time.Duration
}

// rate and cap are what the first bucket refills a second, and the most that it holds.
func (b *bucket) rate(s share) float64 { return b.limit.Rate * s.parts }
func (b *bucket) cap(s share) float64  { return b.limit.Burst * s.parts }

// evenRate is what the second bucket refills a second.
func (b *bucket) evenRate(s share) float64 {
	return (b.limit.Rate + b.limit.Burst/s.window.Seconds()) * s.evenParts
}

// evenDebt is by how much the second bucket may be in debt.
func (s share) evenDebt() float64 {
	if s.parts == 0 {
		return 0
	}
	return s.debt * s.evenParts / s.parts
}

// refill brings the levels up to a time.
func (b *bucket) refill(now time.Duration, s share) {
	if now > b.at {
		passed := (now - b.at).Seconds()
		b.level += b.rate(s) * passed
		b.even += b.evenRate(s) * passed
		b.at = now
	}
	b.cut(s)
}

// cut holds the levels within what the pool may hold. The first one does not fall without end while
// the second one lets requests pass, so that a burst may come after a quiet time. What a pool without
// a part owes stays as it is: it is handed to the holder.
func (b *bucket) cut(s share) {
	b.level = min(b.level, b.cap(s))
	b.even = min(b.even, 0)
	if s.parts > 0 {
		b.level = max(b.level, -b.limit.Burst-s.debt)
		b.even = max(b.even, -b.limit.Burst-s.debt)
	}
}

// decide charges a request, or refuses it.
func (b *bucket) decide(now time.Duration, q Question, s share) Answer {
	b.refill(now, s)
	answer := Answer{ID: q.ID, Level: b.level, Rate: max(b.rate(s), b.evenRate(s))}
	answer.Admitted = b.fits(q, s)
	b.use.count(now, s.window, q.Units, answer.Admitted)
	if answer.Admitted {
		b.level -= q.Units
		b.even -= q.Units
		return answer
	}
	answer.Never = q.Units > b.limit.Burst+s.mostDebt
	answer.WaitMicros = b.wait(now, q, s).Microseconds()
	return answer
}

// fits reports whether a request may pass now.
func (b *bucket) fits(q Question, s share) bool {
	if b.level+s.owed-q.Units >= -q.mayOwe(s, s.debt) {
		return true
	}
	if s.evenParts > 0 && b.even-q.Units >= -q.mayOwe(s, s.evenDebt()) {
		return true
	}
	// A request that is larger than the bucket waits until the bucket is full, and may use all of
	// the debt whatever its rank: it could pass at no other time.
	return s.parts > 0 && b.level >= b.cap(s) && q.Units <= b.cap(s)+s.debt
}

// mayOwe is the part of a debt that a request may use, by its rank. A small request may use all of
// it: to refuse it would leave no room to speak of for others. Under strict limits all requests are
// of one size, and only ranks tell them apart.
func (q *Question) mayOwe(s share, debt float64) float64 {
	if !s.strict && q.Units <= smallShare*debt {
		return debt
	}
	return debt * float64(rankSteps-min(max(q.Rank, 0), rankSteps)) / rankSteps
}

// wait is in how long a refused request should fit, if those who were refused before it come back
// first: callers that are told the same time would return together, and be refused together.
func (b *bucket) wait(now time.Duration, q Question, s share) time.Duration {
	rate, evenRate := b.rate(s), b.evenRate(s)
	if s.strict && rate <= 0 {
		return s.turn
	}
	if rate <= 0 || q.Units > b.cap(s)+s.debt {
		return s.window
	}
	needed := min(q.Units-q.mayOwe(s, s.debt), b.cap(s)) - b.level
	until := seconds(needed / rate)
	if s.strict {
		return min(until, s.window)
	}
	if evenRate > 0 && q.Units <= q.mayOwe(s, s.evenDebt()) {
		until = min(until, seconds((q.Units-q.mayOwe(s, s.evenDebt())-b.even)/evenRate))
	}
	behind := b.returnAt + seconds(q.Units/max(rate, evenRate))
	b.returnAt = min(max(now+until, behind), now+s.window)
	return b.returnAt - now
}

// seconds is a time of a number of seconds, bounded to a day.
func seconds(number float64) time.Duration {
	return time.Duration(min(max(number, 0), (24*time.Hour).Seconds()) * float64(time.Second))
}

// meter counts units in the last window, by slots.
type meter struct {
	slots [meterSlots]slot
}

// slot is a part of a window; number is that of the part since the process began.
type slot struct {
	number            int64
	admitted, refused float64
}

// numberOf is the number of the slot that a time lies in.
func numberOf(now, window time.Duration) int64 { return int64(now / max(window/meterSlots, 1)) }

func (m *meter) count(now, window time.Duration, units float64, admitted bool) {
	number := numberOf(now, window)
	at := &m.slots[number%meterSlots]
	if at.number != number {
		*at = slot{number: number}
	}
	if admitted {
		at.admitted += units
		return
	}
	at.refused += units
}

// sum is what was counted within the window before a time.
func (m *meter) sum(now, window time.Duration) (admitted, refused float64) {
	number := numberOf(now, window)
	for _, each := range m.slots {
		if number-each.number < meterSlots {
			admitted += each.admitted
			refused += each.refused
		}
	}
	return admitted, refused
}
