package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HedgeOptions are the settings of a Hedger.
type HedgeOptions struct {
	// Quantile is the percentile of the first-token time, 0 to 100, after which
	// a hedge starts; 0 disables hedging.
	Quantile float64
	// MinimumSamples is the number of samples required before hedging starts.
	MinimumSamples int64
	// TailRatio is the minimum ratio of the 99th percentile to the sum of the
	// quantile and the median at which hedging is worthwhile, so that the
	// second attempt is likely to finish first.
	TailRatio float64
	// Window is the number of samples after which a new histogram is started.
	// Decisions use the last complete one, or the first while it is filled.
	Window int64
}

// DefaultHedgeOptions returns the default settings, which the experiments use.
func DefaultHedgeOptions() HedgeOptions {
	return HedgeOptions{Quantile: 95, MinimumSamples: 200, TailRatio: 1.5, Window: 5000}
}

const (
	hedgeMinimumMicros     = int64(time.Millisecond / time.Microsecond)
	hedgeMaximumMicros     = int64(10 * time.Minute / time.Microsecond)
	hedgeSignificantDigits = 2

	percentileMedian = 50
	percentileTail   = 99
)

// Hedger decides from the distribution of first-token times whether it is
// worthwhile to hedge a slow attempt with a second one (Dean and Barroso, The
// Tail at Scale, CACM 2013).
type Hedger struct {
	options HedgeOptions
	// current is being filled; previous is the last complete window.
	current, previous *hdrhistogram.Histogram
}

// NewHedger returns a hedger without samples.
func NewHedger(options HedgeOptions) *Hedger {
	return &Hedger{options: options, current: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(hedgeMinimumMicros, hedgeMaximumMicros, hedgeSignificantDigits)
}

// Observe records the first-token time of an attempt that wasn't hedged.
func (h *Hedger) Observe(took time.Duration) {
	value := min(max(took.Microseconds(), hedgeMinimumMicros), hedgeMaximumMicros)
	_ = h.current.RecordValue(value)
	if h.current.TotalCount() >= h.options.Window {
		h.previous, h.current = h.current, newHistogram()
	}
}

// After returns the delay before a hedge; ok is false if hedging isn't
// worthwhile.
func (h *Hedger) After() (after time.Duration, ok bool) {
	histogram := h.current
	if h.previous != nil {
		histogram = h.previous
	}
	if h.options.Quantile <= 0 || histogram.TotalCount() < h.options.MinimumSamples {
		return 0, false
	}
	quantile := histogram.ValueAtQuantile(h.options.Quantile)
	median := histogram.ValueAtQuantile(percentileMedian)
	tail := histogram.ValueAtQuantile(percentileTail)
	if float64(tail) < h.options.TailRatio*float64(quantile+median) {
		return 0, false
	}
	return time.Duration(quantile) * time.Microsecond, true
}
