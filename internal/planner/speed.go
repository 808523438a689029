package planner

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Speed describes how fast an engine computes a batch step, in seconds:
//
//	StepBase + PerSequence*sequences + PerPromptToken*(prompt tokens in the step)
//
// the linear form of DistServe (Zhong et al., OSDI 2024, section 2.2).
type Speed struct {
	StepBase       float64
	PerSequence    float64
	PerPromptToken float64
	// ChunkTokens is the number of prompt tokens that a mixed engine processes in
	// one step (chunked prefill).
	ChunkTokens float64
	// MaximumSequences is the maximum number of sequences in a batch.
	MaximumSequences float64
	// KVCapacity is the capacity of the KV cache, in tokens.
	KVCapacity float64
}

// Workload is the demand for one model in one zone.
type Workload struct {
	// Requests is the number of requests a second.
	Requests float64
	// PromptTokens and OutputTokens are means per request. Cached prompt tokens
	// aren't counted.
	PromptTokens float64
	OutputTokens float64
}

// Objectives are a model's latency objectives, in seconds. A request meets them if its
// first token arrives within FirstToken, and at most maximumLateTokenShare of its
// later tokens arrive more than BetweenTokens after the previous one.
type Objectives struct {
	FirstToken    float64
	BetweenTokens float64
}

// maximumLateTokenShare is the share of a request's tokens that may be late: the
// objective is on the 95th percentile.
const maximumLateTokenShare = 0.05

// Split is the number of engines in each role.
type Split struct {
	Prefill, Decode, Mixed int
}

// Engines returns the number of engines in the split.
func (s Split) Engines() int { return s.Prefill + s.Decode + s.Mixed }

// changesTo returns the number of engines that must change their role to reach
// another split.
func (s Split) changesTo(other Split) int {
	return max(0, other.Prefill-s.Prefill) + max(0, other.Decode-s.Decode) + max(0, other.Mixed-s.Mixed)
}

// prefillSeconds returns the time to prefill one prompt on a prefill engine.
func (s Speed) prefillSeconds(load Workload) float64 {
	return s.StepBase + s.PerPromptToken*max(load.PromptTokens, 1)
}

// mixedPrefillSeconds returns the time to prefill one prompt on a mixed engine,
// chunk by chunk, with a batch of decode sequences in each step.
func (s Speed) mixedPrefillSeconds(load Workload, sequences float64) float64 {
	chunks := max(1, load.PromptTokens/max(s.ChunkTokens, 1))
	perStep := s.StepBase + s.PerSequence*sequences
	return chunks*perStep + s.PerPromptToken*load.PromptTokens
}

// mixedRate returns the number of requests a second that a mixed engine prefills
// and decodes with a batch of so many sequences. The sequences share OutputTokens
// decode steps, and the prefill of each prompt delays all of them.
func (s Speed) mixedRate(load Workload, sequences float64) float64 {
	steps := max(load.OutputTokens, 1) * (s.StepBase + s.PerSequence*sequences)
	prefill := sequences * s.PerPromptToken * load.PromptTokens
	return sequences / (steps + prefill)
}

// maximumBatch returns the largest number of sequences with which a decode step
// meets the objective between tokens and the batch fits in the KV cache and in
// MaximumSequences.
func (s Speed) maximumBatch(load Workload, objectives Objectives) float64 {
	byTime := (objectives.BetweenTokens*decodeMargin - s.StepBase) / max(s.PerSequence, 1e-9)
	context := load.PromptTokens + load.OutputTokens/2
	byMemory := s.KVCapacity * memoryMargin / max(context, 1)
	return max(0, min(byTime, byMemory, s.MaximumSequences))
}

// decodeRate returns the number of requests a second that a decode engine sustains.
func (s Speed) decodeRate(load Workload, objectives Objectives) float64 {
	batch := s.maximumBatch(load, objectives)
	step := s.StepBase + s.PerSequence*batch
	return batch / step / max(load.OutputTokens, 1)
}

const (
	// decodeMargin and memoryMargin leave headroom below the objective and below
	// the KV cache's capacity.
	decodeMargin = 0.95
	memoryMargin = 0.9
)

// chunkStepSeconds returns the duration of a mixed step with a full prompt chunk, or
// with the whole prompt if that is shorter.
func (s Speed) chunkStepSeconds(load Workload, sequences float64) float64 {
	return s.StepBase + s.PerSequence*sequences + s.PerPromptToken*min(s.ChunkTokens, load.PromptTokens)
}

// betweenTokensAttainment returns the share of answers that meet the objective
// between tokens on a mixed engine, where chunkShare of the steps carry prompt
// chunks. If such steps exceed the objective, it is the binomial probability that at
// most maximumLateTokenShare of an answer's steps carry one.
func (s Speed) betweenTokensAttainment(load Workload, objectives Objectives, sequences, chunkShare float64) float64 {
	if s.chunkStepSeconds(load, sequences) <= objectives.BetweenTokens || chunkShare <= 0 {
		return 1
	}
	if chunkShare >= 1 {
		return 0
	}
	gaps := max(0, math.Round(load.OutputTokens)-1)
	if gaps == 0 {
		return 1
	}
	return distuv.Binomial{N: gaps, P: chunkShare}.CDF(math.Floor(maximumLateTokenShare * gaps))
}

// lateShare returns the share of first tokens that miss the deadline, for a number
// of servers with a given service time and utilisation. The deadline includes the
// service time. The waiting time in an M/D/c queue is approximated by an exponential
// tail (Tijms, A First Course in Stochastic Models, section 9.5). The exponent is
// steeper than there because routing sends each request where it waits least; it is
// fitted to simulated splits.
func lateShare(utilisation, servers, service, deadline float64) float64 {
	if deadline <= service {
		return 1
	}
	if utilisation >= 1 {
		return 1
	}
	exponent := 3 * servers * (1 - utilisation) * (deadline - service) / service
	return utilisation * math.Exp(-exponent)
}
