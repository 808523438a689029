package experiment

import (
	"github.com/pierhaven/pierhaven/internal/planner"
)

// trueSpeed is the engines' speed as their parameters state it, for a workload;
// only the clairvoyant planner and the traces' calibration know it.
func trueSpeed(deployment Deployment, load planner.Workload) planner.Speed {
	cost := deployment.Parameters.Cost
	context := load.PromptTokens + load.OutputTokens/2
	const nanosecond = 1e-9
	return planner.Speed{
		StepBase:         cost.WeightRead.Seconds(),
		PerSequence:      cost.DecodePerSequence.Seconds() + cost.KVReadPerToken*nanosecond*context,
		PerPromptToken:   cost.PrefillPerToken.Seconds() + cost.AttentionPerPair*nanosecond*load.PromptTokens/2,
		ChunkTokens:      float64(deployment.Parameters.Batch.TokenBudget),
		MaximumSequences: float64(deployment.Parameters.Batch.MaxSequences),
		KVCapacity:       float64(deployment.Parameters.Memory.CapacityTokens),
	}
}

func (d Deployment) goals() planner.Objectives {
	return planner.Objectives{
		FirstToken:    (d.Objectives.FirstToken - 2*d.ClientLatency).Seconds(),
		BetweenTokens: d.Objectives.BetweenTokens.Seconds(),
	}
}

// workload is the mean request at a share of prompt-heavy ones, at a rate.
func (d Deployment) workload(mix, requests float64) planner.Workload {
	prompts := d.PromptHeavy.freshPromptTokens()*mix + d.OutputHeavy.freshPromptTokens()*(1-mix)
	outputs := (d.PromptHeavy.OutputTokens*mix + d.OutputHeavy.OutputTokens*(1-mix)) * answeredShare
	return planner.Workload{Requests: requests, PromptTokens: prompts, OutputTokens: outputs}
}

// answeredShare is the mean length of answers over their limits: one in four
// stops early, at 3/4 of its limit on average.
const answeredShare = 1 - 0.25*0.25

// freshPromptTokens is the part of a prompt that no cache holds, on average.
func (c Class) freshPromptTokens() float64 {
	return c.PromptTokens - float64(c.PrefixTokens)*sharedHitRate
}

// sharedHitRate is the assumed share of shared prefixes found in a cache.
const sharedHitRate = 0.8

// capacityTable holds what the fleet sustains for each mix, in requests a second.
type capacityTable struct {
	rates []float64
}

const capacitySteps = 20

func newCapacityTable(deployment Deployment) capacityTable {
	table := capacityTable{}
	for step := 0; step <= capacitySteps; step++ {
		mix := float64(step) / capacitySteps
		table.rates = append(table.rates, capacityAt(deployment, mix))
	}
	return table
}

// sustainable is the part of the engines' computing capacity at which nearly all
// latencies are kept.
const sustainable = 0.78

// capacityAt is what the best split into prefill and decode engines sustains, in
// requests a second. It rests on the engines' cost alone, and on nothing that the
// product computes, so that a change of the product leaves the traces as they are.
func capacityAt(deployment Deployment, mix float64) float64 {
	load := deployment.workload(mix, 0)
	speed := trueSpeed(deployment, load)
	read := 1 / (speed.StepBase + speed.PerPromptToken*load.PromptTokens)
	batch := min((deployment.goals().BetweenTokens-speed.StepBase)/speed.PerSequence, speed.MaximumSequences)
	written := batch / (speed.StepBase + speed.PerSequence*batch) / load.OutputTokens
	best := 0.0
	for prefill := 1; prefill < deployment.Engines; prefill++ {
		best = max(best, min(float64(prefill)*read, float64(deployment.Engines-prefill)*written))
	}
	return sustainable * best * float64(deployment.Zones)
}

// at interpolates.
func (t capacityTable) at(mix float64) float64 {
	position := mix * capacitySteps
	index := min(int(position), capacitySteps-1)
	part := position - float64(index)
	return t.rates[index]*(1-part) + t.rates[index+1]*part
}
