package relay

import (
	"math"
	"time"
)

// timeMeter is an exponential moving average of a duration. It is guarded by the Directory's mutex.
type timeMeter struct {
	smoothed time.Duration
	hasValue bool
}

func (m *timeMeter) observe(duration time.Duration) {
	if !m.hasValue {
		m.smoothed, m.hasValue = duration, true
		return
	}
	m.smoothed += time.Duration(smoothing * float64(duration-m.smoothed))
}

// typical returns the smoothed duration, 0 if none was observed.
func (m *timeMeter) typical() time.Duration {
	if m == nil {
		return 0
	}
	return m.smoothed
}

// timeMeters holds a timeMeter for each service.
type timeMeters map[string]*timeMeter

func (m timeMeters) observe(service string, duration time.Duration) {
	meter, found := m[service]
	if !found {
		meter = &timeMeter{}
		m[service] = meter
	}
	meter.observe(duration)
}

// peakMeter holds the longest recent duration, which decays. It is guarded by the Directory's mutex.
type peakMeter struct {
	peak   time.Duration
	peakAt time.Duration
}

// peakFade is the time constant of the decay: a peak falls to 1/e, about a third, in this time.
const peakFade = time.Second

func (m *peakMeter) observe(now, duration time.Duration) {
	m.peak = max(m.longest(now), duration)
	m.peakAt = now
}

// longest returns the decayed peak.
func (m *peakMeter) longest(now time.Duration) time.Duration {
	return time.Duration(float64(m.peak) * math.Exp(-(now-m.peakAt).Seconds()/peakFade.Seconds()))
}
