package relay

import (
	"math"
	"math/bits"
	"time"
)

// sizeMeter counts how many prompts of one rank arrived and how many were prefilled, by size. Large prompts
// need longer to find capacity and are late sooner, so that under load nearly all refused prompts are
// large. The meter finds the sizes that are served far less often than others.
type sizeMeter struct {
	arrivals, prefilled [sizeClasses]float64
	at                  time.Duration
}

const (
	// sizeClasses are four per doubling of a prompt's tokens, up to a million.
	sizeClasses        = 4 * 20
	classesPerDoubling = 4
	// sizeDecay is the time constant of a sizeMeter: in that time, some of the largest tenth of the prompts
	// arrive at a rate of one prompt per second.
	sizeDecay = 20 * time.Second
	// minimumServedShare is the lowest rate at which the largest prompts of a rank should be prefilled,
	// relative to the rate of all: their callers wait no less urgently. A higher share would refuse many
	// small prompts for a few large ones.
	minimumServedShare = 0.55
	// minimumArrivals is the number of prompts below which no conclusion is drawn.
	minimumArrivals = 3.0
)

// sizeClass returns the class of a number of tokens.
func sizeClass(tokens int) int {
	if tokens < 1 {
		return 0
	}
	doublings := bits.Len(uint(tokens)) - 1
	part := float64(tokens)/math.Exp2(float64(doublings)) - 1
	return min(classesPerDoubling*doublings+int(classesPerDoubling*part), sizeClasses-1)
}

func (m *sizeMeter) decay(now time.Duration) {
	left := math.Exp(-(now - m.at).Seconds() / sizeDecay.Seconds())
	m.at = now
	for class := range m.arrivals {
		m.arrivals[class] *= left
		m.prefilled[class] *= left
	}
}

// isUnderserved reports whether prompts with at least a number of tokens are prefilled far less often than
// all.
func (m *sizeMeter) isUnderserved(tokens int) bool {
	var arrived, prefilled, largeArrived, largePrefilled float64
	from := sizeClass(tokens)
	for class := range m.arrivals {
		arrived += m.arrivals[class]
		prefilled += m.prefilled[class]
		if class >= from {
			largeArrived += m.arrivals[class]
			largePrefilled += m.prefilled[class]
		}
	}
	return largeArrived >= minimumArrivals && largePrefilled/largeArrived < minimumServedShare*prefilled/arrived
}

// sizesOf returns the meter of a service and rank. The caller must hold d.mutex.
func (d *Directory) sizesOf(service string, rank int) *sizeMeter {
	meter := d.rankMeterOf(service)
	if meter.sizes[rank] == nil {
		meter.sizes[rank] = &sizeMeter{at: d.clock()}
	}
	return meter.sizes[rank]
}

// recordArrival counts a prompt that is to be prefilled. The caller must hold d.mutex.
func (d *Directory) recordArrival(service string, request PrefillRequest, now time.Duration) {
	sizes := d.sizesOf(service, request.Rank)
	sizes.decay(now)
	sizes.arrivals[sizeClass(request.Prompt.Tokens)]++
}

// promotesLate reports whether a prompt that would be late is queued with those in time: when prompts at least as
// large are prefilled far less often than others, and its prefill will complete before its caller is
// expected to give up. Without this, at 3 times the capacity, the largest tenth was prefilled 0.04 times as
// often as all. The caller must hold d.mutex.
func (d *Directory) promotesLate(service string, request PrefillRequest, best *prefillEstimate) bool {
	return best.total() < request.lateLeft() && d.sizesOf(service, request.Rank).isUnderserved(request.Prompt.Tokens)
}
