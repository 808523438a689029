package routing

import "time"

// EjectionOptions configure outlier ejection: when a failing or slow engine is
// excluded from selection, and how it is readmitted.
type EjectionOptions struct {
	// ConsecutiveFailures is the number of failures in a row that ejects an
	// engine.
	ConsecutiveFailures int
	// SlowRatio is the mean ratio of observed to predicted first-token time
	// above which an engine is ejected; 0 disables this check.
	SlowRatio float64
	// Base is the duration of the first ejection; each further one doubles it,
	// up to Maximum.
	Base    time.Duration
	Maximum time.Duration
	// SlowStart is the time over which a readmitted engine regains its full
	// share of traffic.
	SlowStart time.Duration
	// MaximumEjectedShare is the share of a model's engines up to which the
	// filter removes ejected ones. If more are ejected, it keeps all.
	MaximumEjectedShare float64
}

// DefaultEjectionOptions returns the default settings, which the experiments
// use.
func DefaultEjectionOptions() EjectionOptions {
	return EjectionOptions{
		ConsecutiveFailures: 3,
		SlowRatio:           4,
		Base:                2 * time.Second,
		Maximum:             time.Minute,
		SlowStart:           5 * time.Second,
		MaximumEjectedShare: 0.5,
	}
}

const (
	// slownessWeight is the weight of a new sample in the moving average of the
	// slowness.
	slownessWeight = 0.2
	// minimumSlownessSamples is the number of samples required before slowness
	// can eject an engine.
	minimumSlownessSamples = 5
	// maximumDoublings bounds the number of times that the ejection time is
	// doubled.
	maximumDoublings = 10
)

// health tracks the failures and ejections of an engine.
type health struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
	// slowness is the moving average of observed over predicted first-token
	// time.
	slowness        float64
	slownessSamples int
}

func (h *health) succeeded(now time.Duration, options EjectionOptions) {
	h.consecutiveFailures = 0
	if h.ejections > 0 && now > h.ejectedUntil+options.SlowStart {
		h.ejections--
	}
}

func (h *health) failed(now time.Duration, options EjectionOptions) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= options.ConsecutiveFailures {
		h.eject(now, options)
	}
}

// processEnded records that the engine's process has ended. The engine is
// ejected for Base only, while it restarts. Its failure counts are reset and
// its ejections capped at 1, because they say nothing about the new process:
// otherwise an engine that a single request had crashed a few times stayed
// ejected for up to a minute.
func (h *health) processEnded(now time.Duration, options EjectionOptions) {
	*h = health{ejections: min(h.ejections, 1), ejectedUntil: now + options.Base}
}

func (h *health) observeSlowness(now time.Duration, ratio float64, options EjectionOptions) {
	if h.slownessSamples == 0 {
		h.slowness = ratio
	}
	h.slownessSamples++
	h.slowness += slownessWeight * (ratio - h.slowness)
	if options.SlowRatio > 0 && h.slownessSamples >= minimumSlownessSamples && h.slowness > options.SlowRatio {
		h.eject(now, options)
	}
}

func (h *health) eject(now time.Duration, options EjectionOptions) {
	if now < h.ejectedUntil {
		return
	}
	length := options.Base << min(h.ejections, maximumDoublings)
	h.ejectedUntil = now + min(length, options.Maximum)
	h.ejections++
	h.consecutiveFailures = 0
	h.slowness, h.slownessSamples = 0, 0
}

func (h *health) ejected(now time.Duration) bool {
	return now < h.ejectedUntil
}

// trafficShare is the share of its usual traffic that an engine receives: 0
// while ejected, then rising to 1 over the slow-start time.
func (h *health) trafficShare(now time.Duration, options EjectionOptions) float64 {
	if h.ejected(now) {
		return 0
	}
	if h.ejections == 0 || options.SlowStart <= 0 {
		return 1
	}
	return min(1, float64(now-h.ejectedUntil)/float64(options.SlowStart))
}
