package relay

import (
	"math"
	"time"
)

// streamMeter estimates how many streams of one route run concurrently if they keep arriving as
// recently: arrival rate times duration (Little, 1961). Both decay exponentially.
type streamMeter struct {
	// rate is in streams per second.
	rate float64
	// running counts the streams that have not ended, runSeconds sums the seconds for which streams
	// have run, and completed counts those that have ended. The ratio of the last two is the duration.
	// Streams that still run count towards it, so that it is not underestimated while only short
	// ones have ended.
	running    int
	runSeconds float64
	completed  float64
	// updatedAt is the time up to which all values are current, lastBegunAt when the last stream began.
	updatedAt   time.Duration
	lastBegunAt time.Duration
}

const (
	// rateTimeConstant is the time constant of the rate, durationTimeConstant that of the duration.
	rateTimeConstant     = 2500 * time.Millisecond
	durationTimeConstant = 10 * time.Second
	// routeExpiry is the time without streams after which a route is forgotten.
	routeExpiry = time.Minute
	// minimumCompleted is the number of completed streams from which a duration is estimated.
	minimumCompleted = 2
)

func (m *streamMeter) begin(now time.Duration) {
	m.advance(now)
	m.rate += 1 / rateTimeConstant.Seconds()
	m.running++
	m.lastBegunAt = now
}

func (m *streamMeter) end(now time.Duration) {
	m.advance(now)
	m.running--
	m.completed++
}

// advance brings all values up to the given time.
func (m *streamMeter) advance(now time.Duration) {
	elapsed := (now - m.updatedAt).Seconds()
	m.rate *= math.Exp(-elapsed / rateTimeConstant.Seconds())
	decay := math.Exp(-elapsed / durationTimeConstant.Seconds())
	m.runSeconds = m.runSeconds*decay + float64(m.running)*elapsed
	m.completed *= decay
	m.updatedAt = now
}

// forecast returns the expected number of running streams after the given horizon if they keep arriving
// as recently, or the number running now while no duration is known.
func (m *streamMeter) forecast(now, horizon time.Duration) float64 {
	m.advance(now)
	if m.completed < minimumCompleted {
		return float64(m.running)
	}
	duration := m.runSeconds / m.completed
	steadyState := m.rate * duration
	return steadyState + (float64(m.running)-steadyState)*math.Exp(-horizon.Seconds()/max(duration, minimumDurationSeconds))
}

// minimumDurationSeconds is the shortest duration of a stream used in a forecast, to keep it finite.
const minimumDurationSeconds = 1e-3

// streamMeters holds the meters of a service by route.
type streamMeters map[string]*streamMeter

func (m streamMeters) of(route string) *streamMeter {
	meter, found := m[route]
	if !found {
		meter = &streamMeter{}
		m[route] = meter
	}
	return meter
}

// forecast returns the sum over all routes, and removes those without recent streams.
func (m streamMeters) forecast(now, horizon time.Duration) float64 {
	sum := 0.0
	for route, meter := range m {
		if meter.running == 0 && now-meter.lastBegunAt > routeExpiry {
			delete(m, route)
			continue
		}
		sum += meter.forecast(now, horizon)
	}
	return sum
}
