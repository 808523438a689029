package relay

import (
	"math"
	"time"
)

// averageTime is an exponential moving average of a duration. It is guarded by the Directory's mutex.
type averageTime struct {
	smoothed time.Duration
	hasValue bool
}

func (m *averageTime) observe(duration time.Duration) {
	if !m.hasValue {
		m.smoothed, m.hasValue = duration, true
		return
	}
	m.smoothed += time.Duration(smoothing * float64(duration-m.smoothed))
}

// average returns the smoothed duration, 0 if none was observed.
func (m *averageTime) average() time.Duration {
	if m == nil {
		return 0
	}
	return m.smoothed
}

// averageTimes holds averageTimes by service, or by service and stage.
type averageTimes map[string]*averageTime

func (m averageTimes) observe(service string, duration time.Duration) {
	meter, found := m[service]
	if !found {
		meter = &averageTime{}
		m[service] = meter
	}
	meter.observe(duration)
}

// decayingPeak holds the longest recent duration, which decays. It is guarded by the Directory's mutex.
type decayingPeak struct {
	peak   time.Duration
	peakAt time.Duration
}

// peakTimeConstant is the time constant of the decay: a peak falls to 1/e, about a third, in this time.
const peakTimeConstant = time.Second

func (m *decayingPeak) observe(now, duration time.Duration) {
	m.peak = max(m.longest(now), duration)
	m.peakAt = now
}

// longest returns the decayed peak.
func (m *decayingPeak) longest(now time.Duration) time.Duration {
	return time.Duration(float64(m.peak) * math.Exp(-(now-m.peakAt).Seconds()/peakTimeConstant.Seconds()))
}
