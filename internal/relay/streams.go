package relay

import (
	"math"
	"time"
)

// streamMeter learns how many streams of one route run at the same time once they have
// come for a while as of late: their rate times their duration (Little, 1961). Both fade.
type streamMeter struct {
	// rate is in streams a second.
	rate float64
	// running is the number of streams that have not ended, spent the time in seconds for
	// which streams have run and ended the number of those that have ended. Their ratio is
	// the duration; streams that still run count in it, so that it is not too short
	// while only short ones have ended.
	running int
	spent   float64
	ended   float64
	// at is up to when all this holds, lastAt when the last stream began.
	at     time.Duration
	lastAt time.Duration
}

const (
	// rateMemory is the time constant of the rate, durationMemory that of the duration.
	rateMemory     = 2500 * time.Millisecond
	durationMemory = 10 * time.Second
	// streamMemory is after how long without streams a route is forgotten.
	streamMemory = time.Minute
	// leastEnded streams tell a duration.
	leastEnded = 2
)

func (m *streamMeter) begin(now time.Duration) {
	m.move(now)
	m.rate += 1 / rateMemory.Seconds()
	m.running++
	m.lastAt = now
}

func (m *streamMeter) end(now time.Duration) {
	m.move(now)
	m.running--
	m.ended++
}

// move brings everything up to a time.
func (m *streamMeter) move(now time.Duration) {
	passed := (now - m.at).Seconds()
	m.rate *= math.Exp(-passed / rateMemory.Seconds())
	fade := math.Exp(-passed / durationMemory.Seconds())
	m.spent = m.spent*fade + float64(m.running)*passed
	m.ended *= fade
	m.at = now
}

// forecast is the number of streams that will run after a time if they go on to come as of
// late; that of those that run while no duration is known.
func (m *streamMeter) forecast(now, ahead time.Duration) float64 {
	m.move(now)
	if m.ended < leastEnded {
		return float64(m.running)
	}
	duration := m.spent / m.ended
	steady := m.rate * duration
	return steady + (float64(m.running)-steady)*math.Exp(-ahead.Seconds()/max(duration, minimumDuration))
}

// minimumDuration of streams, in seconds, keeps a forecast finite.
const minimumDuration = 1e-3

// streamMeters are those of a service's routes.
type streamMeters map[string]*streamMeter

func (m streamMeters) of(route string) *streamMeter {
	meter, found := m[route]
	if !found {
		meter = &streamMeter{}
		m[route] = meter
	}
	return meter
}

// forecast adds up the routes, and forgets those that have fallen silent.
func (m streamMeters) forecast(now, ahead time.Duration) float64 {
	sum := 0.0
	for route, meter := range m {
		if meter.running == 0 && now-meter.lastAt > streamMemory {
			delete(m, route)
			continue
		}
		sum += meter.forecast(now, ahead)
	}
	return sum
}
