package routing

import "time"

// candidate is an engine that could take a request, with the predictions for
// it.
type candidate struct {
	state *engineState
	load  load
	// cachedTokens is the number of prompt tokens that the engine probably has
	// cached.
	cachedTokens float64
	// newTokens is the number of prompt tokens that the engine would have to
	// prefill.
	newTokens float64
	// firstToken and betweenTokens are the latencies predicted for the request.
	firstToken    time.Duration
	betweenTokens time.Duration
	// interference estimates how many answers would get late tokens because the
	// engine prefills and decodes in the same steps. For a mixed engine that
	// imports the KV cache it is 1, for the request's own answer, plus the
	// number of prefill chunks queued there, if any answer would be late.
	interference float64
	// selfInterference is set if the request's own answer would be delayed by
	// other prompts, should the engine that prefills its prompt also decode it.
	selfInterference bool
	// kvFull is set if the KV cache memory can't hold the request.
	kvFull bool
	// waitsForBatch is set if the request would wait for a slot in the batch.
	waitsForBatch bool
	score         float64
}

// scorer rates a candidate. Every score lies between 0 and 1; higher is better.
type scorer interface {
	score(request *Request, c *candidate) float64
}

// queueScorer rates by the number of requests at the engine: 1 for an idle
// engine, 0.5 at queueMidpoint, falling towards 0 as the queue grows.
type queueScorer struct{}

// queueMidpoint is the number of requests at which queueScorer returns 0.5.
const queueMidpoint = 16

func (queueScorer) score(_ *Request, c *candidate) float64 {
	return queueMidpoint / (queueMidpoint + c.load.requests)
}

// prefixScorer rates by the share of the prompt that is cached: 0 for none, 1
// for the whole prompt.
type prefixScorer struct{}

func (prefixScorer) score(request *Request, c *candidate) float64 {
	if request.PromptTokens <= 0 {
		return 0
	}
	return min(1, c.cachedTokens/float64(request.PromptTokens))
}

// latencyScorer rates by the predicted latency that is closer to missing its
// objective: 1 for an instant answer, 0.5 exactly at the objective, falling
// towards 0 beyond it.
type latencyScorer struct{}

func (latencyScorer) score(request *Request, c *candidate) float64 {
	firstToken := float64(c.firstToken) / float64(request.Objectives.FirstToken)
	betweenTokens := float64(c.betweenTokens) / float64(request.Objectives.BetweenTokens)
	return 1 / (1 + max(firstToken, betweenTokens))
}

// localityScorer rates by the share of the KV cache that needn't be
// transferred: 1 if the engine prefills the prompt itself, 0 if the whole
// prompt's cache must be fetched.
type localityScorer struct{}

func (localityScorer) score(request *Request, c *candidate) float64 {
	if request.PromptTokens <= 0 || !request.Prefilled {
		return 1
	}
	return min(1, c.cachedTokens/float64(request.PromptTokens))
}

// interferenceScorer rates by the number of answers that prefill chunks in the
// same steps would delay: 1 for none, 0.5 at interferenceMidpoint, falling
// towards 0 for many. It makes each mixed engine either prefill or decode, not
// both, as long as there is a choice.
type interferenceScorer struct{}

// interferenceMidpoint is the number of answers at which interferenceScorer
// returns 0.5.
const interferenceMidpoint = 2

func (interferenceScorer) score(_ *Request, c *candidate) float64 {
	return interferenceMidpoint / (interferenceMidpoint + c.interference)
}

// weightedScorer is a scorer with its weight.
type weightedScorer struct {
	scorer scorer
	weight float64
}

func scorersFor(weights Weights) []weightedScorer {
	return []weightedScorer{
		{queueScorer{}, weights.Queue},
		{prefixScorer{}, weights.Prefix},
		{latencyScorer{}, weights.Latency},
		{localityScorer{}, weights.Locality},
		{interferenceScorer{}, weights.Interference},
	}
}

// totalScore is the weighted mean of the scores, between 0 and 1.
func totalScore(scorers []weightedScorer, request *Request, c *candidate) float64 {
	total, weights := 0.0, 0.0
	for _, weighted := range scorers {
		if weighted.weight <= 0 {
			continue
		}
		total += weighted.weight * weighted.scorer.score(request, c)
		weights += weighted.weight
	}
	if weights == 0 {
		return 0
	}
	return total / weights
}
