package planner

import (
	"math"
	"time"
)

// Options are the settings of a Planner.
type Options struct {
	// Horizon is the time for which the present demand is expected to last. A
	// change must be worthwhile over the horizon plus the minimum dwell, during
	// which the long-term demand is expected.
	Horizon time.Duration
	// LongTermTimeConstant is the smoothing time constant of the long-term demand.
	LongTermTimeConstant time.Duration
	// DemandTimeConstant is the smoothing time constant of the present demand.
	DemandTimeConstant time.Duration
	// RegretShare is the part of a change's total cost that must already have
	// been lost by not making the change before it is made. It keeps the planner
	// from following swings of demand that end before a change is worthwhile.
	RegretShare float64
	// RegretTimeConstant is the decay time constant of the lost goodput.
	RegretTimeConstant time.Duration
	// MinimumGain is the smallest gain in goodput, as a share of the requested
	// rate, for which roles are changed.
	MinimumGain float64
	// MaximumInputAge is the age above which demand, or the load reports of most
	// engines, stop all changes.
	MaximumInputAge time.Duration
	// MinimumReportingShare is the share of gateways that must report demand.
	MinimumReportingShare float64
	// PlacementDelay is how long a model must have been below its minimum number
	// of engines before one is moved to it.
	PlacementDelay time.Duration
	// WarmUp is the time from the first step during which nothing is changed.
	WarmUp time.Duration
	// Prior is the initial value of each model's speed estimate.
	Prior Speed
}

// DefaultOptions returns the settings that the experiments use.
func DefaultOptions() Options {
	return Options{
		Horizon:               60 * time.Second,
		LongTermTimeConstant:  2 * time.Minute,
		DemandTimeConstant:    3 * time.Second,
		RegretShare:           0.3,
		RegretTimeConstant:    15 * time.Second,
		MinimumGain:           0.08,
		MaximumInputAge:       20 * time.Second,
		MinimumReportingShare: 0.7,
		PlacementDelay:        10 * time.Second,
		WarmUp:                5 * time.Second,
		Prior: Speed{
			StepBase:         0.015,
			PerSequence:      0.00015,
			PerPromptToken:   0.0001,
			ChunkTokens:      512,
			MaximumSequences: 64,
			KVCapacity:       100_000,
		},
	}
}

// Planner is the planner of one zone.
type Planner struct {
	options    Options
	fleet      *fleet
	models     map[string]*modelState
	started    bool
	startedAt  time.Duration
	lastStepAt time.Duration
}

// modelState is the planner's state for one model.
type modelState struct {
	forecast *forecast
	longTerm *forecast
	speed    *speedEstimator
	regret   regret
	// belowMinimum is set while the model has fewer engines than its minimum;
	// belowMinimumSince is when that began.
	belowMinimum      bool
	belowMinimumSince time.Duration
	// computedPromptRate is the smoothed rate at which the engines computed prompt
	// tokens, in tokens a second.
	computedPromptRate float64
}

// New returns a planner without any observations.
func New(options Options) *Planner {
	return &Planner{options: options, fleet: newFleet(), models: make(map[string]*modelState)}
}

func (p *Planner) model(name string) *modelState {
	state, found := p.models[name]
	if !found {
		state = &modelState{
			forecast: newForecast(p.options.DemandTimeConstant),
			longTerm: newForecast(p.options.LongTermTimeConstant),
			speed:    newSpeedEstimator(p.options.Prior),
		}
		p.models[name] = state
	}
	return state
}

// Step records the input and decides which changes to make now. Callers run it
// about once a second.
func (p *Planner) Step(now time.Duration, input Input) Output {
	if !p.started {
		p.started, p.startedAt, p.lastStepAt = true, now, now
	}
	elapsed := now - p.lastStepAt
	p.lastStepAt = now
	stale := p.isStale(input)
	if !stale {
		p.observe(now, input)
	}
	return p.decide(now, elapsed, input, stale)
}

// observe updates the estimates from demand and load reports.
func (p *Planner) observe(now time.Duration, input Input) {
	computed := make(map[string]float64)
	p.fleet.observe(now, input.Engines, func(status EngineStatus, measured interval) {
		name := status.Observed.Model
		state := p.model(name)
		state.speed.observe(measured)
		if status.Load.KVCapacityTokens > 0 {
			state.speed.kvCapacity = float64(status.Load.KVCapacityTokens)
		}
		computed[name] += measured.promptTokens / measured.seconds
	})
	for _, demand := range input.Demand {
		state := p.model(demand.Model)
		state.forecast.observe(now, demand)
		state.longTerm.observe(now, demand)
		if promptRate, measured := computed[demand.Model]; measured {
			state.computedPromptRate += promptRateWeight * (promptRate - state.computedPromptRate)
			state.forecast.observeComputedPrompts(demand, state.computedPromptRate)
			state.longTerm.uncachedShare = state.forecast.uncachedShare
		}
	}
}

// promptRateWeight is the smoothing weight of the computed prompt rate in each
// step. At a step a second its time constant is about that of the demand.
const promptRateWeight = 0.3

// isStale reports whether the input is too incomplete or too old to change
// anything. Input without any demand isn't stale: roles are left as they are, but
// placement goes on.
func (p *Planner) isStale(input Input) bool {
	if input.GatewaysExpected == 0 {
		return true
	}
	reporting := float64(input.GatewaysReporting) / float64(input.GatewaysExpected)
	if reporting < p.options.MinimumReportingShare {
		return true
	}
	for _, demand := range input.Demand {
		if demand.Age > p.options.MaximumInputAge {
			return true
		}
	}
	return p.mostReportsStale(input)
}

// mostReportsStale reports whether the load reports of more than half of the
// reachable engines are too old.
func (p *Planner) mostReportsStale(input Input) bool {
	reachable, stale := 0, 0
	for _, status := range input.Engines {
		if !status.Reachable {
			continue
		}
		reachable++
		if status.LoadAge > p.options.MaximumInputAge {
			stale++
		}
	}
	return 2*stale > reachable
}

// regret accumulates the goodput lost by not having changed towards the target
// split, less the goodput gained by staying while demand swung back. The sum
// decays exponentially.
type regret struct {
	target      Split
	lostGoodput float64
}

// update adds the loss of the time elapsed since the last step. gain returns the
// goodput rate by which a split exceeds the present one under the present demand;
// from is the present split and wanted the best one.
func (r *regret) update(elapsed, timeConstant time.Duration, gain func(Split) float64, from, wanted Split) {
	if r.target.Engines() != from.Engines() {
		r.target, r.lostGoodput = wanted, 0
	}
	if !oppositeDirections(from, r.target, wanted) && wanted != from {
		r.target = wanted
	}
	r.lostGoodput *= math.Exp(-float64(elapsed) / float64(timeConstant))
	r.lostGoodput += gain(r.target) * elapsed.Seconds()
	if r.lostGoodput <= 0 {
		r.target, r.lostGoodput = wanted, 0
	}
}

// oppositeDirections reports whether two wanted splits change the number of
// prefill or of decode engines in opposite directions from the present split.
func oppositeDirections(from, before, after Split) bool {
	prefills := (before.Prefill - from.Prefill) * (after.Prefill - from.Prefill)
	decodes := (before.Decode - from.Decode) * (after.Decode - from.Decode)
	return prefills < 0 || decodes < 0
}
