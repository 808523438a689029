package relay

import (
	"math"
	"time"
)

// timeMeter smooths a time. It is guarded by the Directory's mutex.
type timeMeter struct {
	smoothed time.Duration
	observed bool
}

func (m *timeMeter) observe(took time.Duration) {
	if !m.observed {
		m.smoothed, m.observed = took, true
		return
	}
	m.smoothed += time.Duration(smoothing * float64(took-m.smoothed))
}

// typical returns the time observed of late, 0 if there is none.
func (m *timeMeter) typical() time.Duration {
	if m == nil {
		return 0
	}
	return m.smoothed
}

// timeMeters are those of several services.
type timeMeters map[string]*timeMeter

func (m timeMeters) observe(service string, took time.Duration) {
	meter, found := m[service]
	if !found {
		meter = &timeMeter{}
		m[service] = meter
	}
	meter.observe(took)
}

// peakMeter remembers the longest time of late. It is guarded by the Directory's mutex.
type peakMeter struct {
	peak time.Duration
	at   time.Duration
}

// peakFade is the time in which a peak fades to a third.
const peakFade = time.Second

func (m *peakMeter) observe(now, took time.Duration) {
	m.peak = max(m.longest(now), took)
	m.at = now
}

// longest returns the peak as far as it has not faded.
func (m *peakMeter) longest(now time.Duration) time.Duration {
	return time.Duration(float64(m.peak) * math.Exp(-(now-m.at).Seconds()/peakFade.Seconds()))
}
