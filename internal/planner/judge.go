package planner

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// splitEvaluator compares splits of a model's engines under one forecast.
type splitEvaluator struct {
	speed Speed
	// load is the present demand, longTermLoad the long-term demand.
	load         Workload
	longTermLoad Workload
	objectives   Objectives
	// price is the price of one change, in requests of goodput.
	price float64
	// horizon is the time, in seconds, over which a change must be worthwhile, and
	// longTermShare the part of it for which the long-term demand is expected.
	horizon       float64
	longTermShare float64
	// changeSeconds is the expected time for which a change keeps an engine away.
	changeSeconds float64
	// maximumConcurrent is the maximum number of engines that change at the same time.
	maximumConcurrent float64
}

// evaluation compares a split with the present one.
type evaluation struct {
	split   Split
	goodput float64
	// gain is the expected gain in goodput over the horizon, in requests, compared
	// with keeping the present split, less the goodput lost during the changes.
	gain float64
	// cost is the price of the changes plus the goodput lost during them.
	cost float64
	// netGain is gain less the price of the changes.
	netGain float64
}

// goodput returns a split's mean goodput over the horizon.
func (e splitEvaluator) goodput(split Split) float64 {
	now := e.goodputNow(split)
	if e.longTermShare <= 0 {
		return now
	}
	return (1-e.longTermShare)*now + e.longTermShare*Goodput(e.speed, split, e.longTermLoad, e.objectives)
}

// goodputNow returns a split's goodput under the present demand.
func (e splitEvaluator) goodputNow(split Split) float64 {
	return Goodput(e.speed, split, e.load, e.objectives)
}

// best returns the split with the highest net gain, which is 0 for the present one.
func (e splitEvaluator) best(present Split) evaluation {
	presentGoodput := e.goodput(present)
	best := evaluation{split: present, goodput: presentGoodput}
	for _, split := range Splits(present.Engines()) {
		if split == present {
			continue
		}
		if result := e.evaluate(present, presentGoodput, split); result.netGain > best.netGain {
			best = result
		}
	}
	return best
}

// evaluate compares a split with the present one, whose goodput is presentGoodput.
func (e splitEvaluator) evaluate(present Split, presentGoodput float64, split Split) evaluation {
	result := evaluation{split: split, goodput: e.goodput(split)}
	changes := float64(present.changesTo(split))
	duration := changes / max(1, min(e.maximumConcurrent, changes)) * e.changeSeconds
	after := max(0, e.horizon-duration)
	// During the changes, goodput is on average half-way between the two splits,
	// less the share of the engines that are away.
	missing := min(e.maximumConcurrent, changes) / max(float64(present.Engines()), 1)
	lost := min(duration, e.horizon) * min(presentGoodput, result.goodput) * missing
	result.gain = (result.goodput-presentGoodput)*(after+duration/2) - lost
	result.cost = changes*e.price + lost
	result.netGain = result.gain - changes*e.price
	return result
}

// nextChange returns the single change of role towards the wanted split that gives
// the highest goodput.
func (e splitEvaluator) nextChange(present, wanted Split) (from, to engineapi.Role, found bool) {
	highest := -1.0
	for _, source := range roles {
		if present.count(source) <= wanted.count(source) {
			continue
		}
		for _, target := range roles {
			if present.count(target) >= wanted.count(target) {
				continue
			}
			goodput := e.goodput(present.with(source, -1).with(target, 1))
			if goodput > highest {
				from, to, highest, found = source, target, goodput, true
			}
		}
	}
	return from, to, found
}
