package planner

import (
	"math"
	"time"
)

// forecast estimates the demand for one model. Rates are smoothed exponentially to
// suppress the noise of single arrivals. Prompt tokens reported by gateways are
// corrected by the share that engines had to compute.
type forecast struct {
	timeConstant time.Duration
	initialized  bool
	updatedAt    time.Duration
	requestRate  float64
	promptRate   float64
	outputRate   float64
	// uncachedShare is the share of requested prompt tokens that engines computed;
	// the rest was cached.
	uncachedShare float64
}

const (
	initialUncachedShare = 0.9
	minimumUncachedShare = 0.2
	uncachedShareWeight  = 0.05
	minimumRequestRate   = 0.2
)

func newForecast(timeConstant time.Duration) *forecast {
	return &forecast{timeConstant: timeConstant, uncachedShare: initialUncachedShare}
}

// observe updates the smoothed rates from a demand report.
func (f *forecast) observe(now time.Duration, demand Demand) {
	if !f.initialized {
		f.requestRate, f.promptRate, f.outputRate = demand.Requests, demand.PromptTokens, demand.OutputTokens
		f.initialized, f.updatedAt = true, now
		return
	}
	weight := 1 - math.Exp(-float64(now-f.updatedAt)/float64(f.timeConstant))
	f.requestRate += weight * (demand.Requests - f.requestRate)
	f.promptRate += weight * (demand.PromptTokens - f.promptRate)
	f.outputRate += weight * (demand.OutputTokens - f.outputRate)
	f.updatedAt = now
}

// observeComputedPrompts updates uncachedShare from the rate of prompt tokens that
// engines computed. It does so only while at most 2% of requests miss their
// objectives: overloaded engines compute less than is requested, which must not be
// mistaken for cache hits.
func (f *forecast) observeComputedPrompts(demand Demand, computedRate float64) {
	if demand.Missed > 0.02*demand.Requests || f.requestRate < minimumRequestRate {
		return
	}
	f.uncachedShare = updateUncachedShare(f.uncachedShare, computedRate, f.promptRate)
}

func updateUncachedShare(share, computed, requested float64) float64 {
	if requested <= 0 || computed <= 0 {
		return share
	}
	sample := min(max(computed/requested, minimumUncachedShare), 1)
	return share + uncachedShareWeight*(sample-share)
}

// workload returns the forecast, or a zero Workload if demand is negligible.
func (f *forecast) workload() Workload {
	if f.requestRate < minimumRequestRate {
		return Workload{}
	}
	return Workload{
		Requests:     f.requestRate,
		PromptTokens: f.promptRate / f.requestRate * f.uncachedShare,
		OutputTokens: max(1, f.outputRate/f.requestRate),
	}
}
