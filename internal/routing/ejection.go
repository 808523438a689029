package routing

import "time"

// EjectionOptions say when an engine that fails is left out, and how it comes
// back.
type EjectionOptions struct {
	// ConsecutiveFailures eject an engine.
	ConsecutiveFailures int
	// SlowRatio ejects an engine whose first tokens take this many times the
	// prediction, on average; 0 never does.
	SlowRatio float64
	// Base is the length of the first ejection; each further one doubles it
	// up to Maximum.
	Base    time.Duration
	Maximum time.Duration
	// Return is the time over which an engine that comes back regains its full
	// share.
	Return time.Duration
	// MaximumShare bounds the part of a model's engines that may be out at the
	// same time.
	MaximumShare float64
}

// DefaultEjectionOptions returns the settings that the experiments use.
func DefaultEjectionOptions() EjectionOptions {
	return EjectionOptions{
		ConsecutiveFailures: 3,
		SlowRatio:           4,
		Base:                2 * time.Second,
		Maximum:             time.Minute,
		Return:              5 * time.Second,
		MaximumShare:        0.5,
	}
}

const (
	// slownessWeight is the weight of a new sample in the mean slowness.
	slownessWeight = 0.2
	// slownessSamples are needed before slowness counts.
	slownessSamples = 5
	// maximumDoublings bounds the shift of the ejection time.
	maximumDoublings = 10
)

// health is the record of an engine's failures.
type health struct {
	consecutive  int
	ejections    int
	ejectedUntil time.Duration
	// slowness is the mean of observed over predicted first-token time.
	slowness        float64
	slownessSamples int
}

func (h *health) succeeded(now time.Duration, options EjectionOptions) {
	h.consecutive = 0
	if h.ejections > 0 && now > h.ejectedUntil+options.Return {
		h.ejections--
	}
}

func (h *health) failed(now time.Duration, options EjectionOptions) {
	h.consecutive++
	if h.consecutive >= options.ConsecutiveFailures {
		h.eject(now, options)
	}
}

// processEnded notes that the engine's process has ended: it is out for the shortest ejection, while
// it starts again, and its failures were no sign of what it is like then. An engine that one request
// had ended a few times was left out for up to a minute.
func (h *health) processEnded(now time.Duration, options EjectionOptions) {
	*h = health{ejections: min(h.ejections, 1), ejectedUntil: now + options.Base}
}

func (h *health) observeSlowness(now time.Duration, ratio float64, options EjectionOptions) {
	if h.slownessSamples == 0 {
		h.slowness = ratio
	}
	h.slownessSamples++
	h.slowness += slownessWeight * (ratio - h.slowness)
	if options.SlowRatio > 0 && h.slownessSamples >= slownessSamples && h.slowness > options.SlowRatio {
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
	h.consecutive = 0
	h.slowness, h.slownessSamples = 0, 0
}

func (h *health) ejected(now time.Duration) bool {
	return now < h.ejectedUntil
}

// share is the part of its work that an engine gets: 0 while ejected, then
// rising to 1 over the return time.
func (h *health) share(now time.Duration, options EjectionOptions) float64 {
	if h.ejected(now) {
		return 0
	}
	if h.ejections == 0 || options.Return <= 0 {
		return 1
	}
	return min(1, float64(now-h.ejectedUntil)/float64(options.Return))
}
