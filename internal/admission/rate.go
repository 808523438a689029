package admission

import (
	"math"
	"time"
)

// drainRate measures the cost a second that is served from a queue while it is
// not empty: the cost served divided by the busy time, both decayed exponentially
// over busy time. Because engines batch, items are served in bursts with gaps
// between them; the quotient of the two sums covers both bursts and gaps.
type drainRate struct {
	timeConstant time.Duration
	initialRate  float64
	// cost and busyTime are the two decayed sums; busyTime is in seconds.
	cost     float64
	busyTime float64
	busy     bool
	// updatedAt is the time up to which busy time has been counted.
	updatedAt time.Duration
}

// minimumBusyTime is the busy time needed before the measured rate is used.
const minimumBusyTime = 250 * time.Millisecond

func newDrainRate(options Options) drainRate {
	return drainRate{timeConstant: options.RateTimeConstant, initialRate: options.InitialRate}
}

// setBusy records whether items are waiting; only that time is measured.
func (d *drainRate) setBusy(now time.Duration, busy bool) {
	d.advance(now)
	d.busy = busy
}

func (d *drainRate) recordServed(now time.Duration, cost float64) {
	if !d.busy {
		return
	}
	d.advance(now)
	d.cost += cost
}

// advance counts busy time up to now and decays both sums accordingly.
func (d *drainRate) advance(now time.Duration) {
	span := now - d.updatedAt
	d.updatedAt = now
	if !d.busy || span <= 0 {
		return
	}
	decay := math.Exp(-span.Seconds() / d.timeConstant.Seconds())
	d.cost *= decay
	// Adding the integral of the decay over the span gives the exact rate of a
	// steady service from the start.
	d.busyTime = d.busyTime*decay + d.timeConstant.Seconds()*(1-decay)
}

// perSecond returns the rate; known is false if there is neither a measured nor an
// initial rate.
func (d *drainRate) perSecond() (rate float64, known bool) {
	if d.busyTime < minimumBusyTime.Seconds() {
		return d.initialRate, d.initialRate > 0
	}
	return d.cost / d.busyTime, true
}

// drainTime returns the time to serve a cost; known is false if the rate is not
// known, or if both the rate and the cost are 0.
func (d *drainRate) drainTime(cost float64) (wait time.Duration, known bool) {
	rate, known := d.perSecond()
	if !known {
		return 0, false
	}
	if rate <= 0 {
		return math.MaxInt64 / 4, cost > 0
	}
	return time.Duration(min(cost/rate*float64(time.Second), math.MaxInt64/4)), true
}
