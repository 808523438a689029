package routing

import "time"

// placement assigns a request to one engine, or to two that are rated together.
type placement struct {
	serving *candidate
	// prefill is nil unless an engine other than serving prefills the prompt.
	prefill    *candidate
	firstToken time.Duration
	// score is totalScore, which is between 0 and 1, less 1 or more for a
	// placement that ranks below all others: it lacks capacity or delays answers.
	score float64
}

// singleEngine returns the placement on one engine that both prefills and
// decodes, nil if c is nil.
func (r *Router) singleEngine(request *Request, c *candidate) *placement {
	if c == nil {
		return nil
	}
	if c.selfInterference {
		c.interference += ownInterference
		c.score = totalScore(r.scorers, request, c)
	}
	rated := &placement{serving: c, firstToken: c.firstToken, score: c.score}
	if c.kvFull || c.interference > 0 || r.decodeSaturated(request, c) {
		rated.score--
	}
	return rated
}

// decodeSaturated reports whether one more sequence at an engine would wait for
// a batch slot or get late tokens. Such a placement ranks below those that have
// capacity and delay no other answers, because a saturated choice would leave
// that capacity unused. Capacity that could only be used by delaying other
// answers doesn't count: those placements rank low, too, and the scores decide
// among all that do.
func (r *Router) decodeSaturated(request *Request, serving *candidate) bool {
	return serving.waitsForBatch || r.exceedsDecodeLimit(request, serving)
}

// ownInterference is the interference added for the request's own answer, which
// later prompts on the same engine would delay repeatedly.
const ownInterference = 4

// decodeOnly returns the placement on an engine that imports an exported KV
// cache, nil if c is nil.
func decodeOnly(c *candidate) *placement {
	if c == nil {
		return nil
	}
	return &placement{serving: c, firstToken: c.firstToken, score: c.score}
}

// prefillDecodePair rates a prefill and a decode engine as one placement: the
// first token waits for the prefill, the transfer of the KV cache and one
// decode step. It returns nil unless there are two different engines.
func (r *Router) prefillDecodePair(request *Request, prefill, decode *candidate) *placement {
	if prefill == nil || decode == nil || prefill.state == decode.state {
		return nil
	}
	joint := candidate{
		state:         prefill.state,
		load:          load{requests: (prefill.load.requests + decode.load.requests) / 2},
		cachedTokens:  prefill.cachedTokens,
		firstToken:    prefill.firstToken + decode.firstToken,
		betweenTokens: decode.betweenTokens,
		interference:  prefill.interference + decode.interference,
	}
	rated := &placement{serving: decode, prefill: prefill, firstToken: joint.firstToken}
	rated.score = totalScore(r.scorers, request, &joint)
	if prefill.kvFull || decode.kvFull || joint.interference > 0 || r.decodeSaturated(request, decode) {
		rated.score--
	}
	return rated
}

// highestScoring returns the placement with the highest score, the first one on
// a tie. It skips nil placements.
func highestScoring(placements []*placement) *placement {
	var best *placement
	for _, p := range placements {
		if p != nil && (best == nil || p.score > best.score) {
			best = p
		}
	}
	return best
}

func (r *Router) newChoice(request *Request, chosen *placement) Choice {
	prefill := chosen.serving
	choice := Choice{
		Serving:       chosen.serving.state.engine,
		FirstToken:    chosen.firstToken,
		BetweenTokens: chosen.serving.betweenTokens,
		Saturated:     chosen.serving.kvFull || r.decodeSaturated(request, chosen.serving),
	}
	if chosen.prefill != nil {
		prefill = chosen.prefill
		engine := chosen.prefill.state.engine
		choice.Prefill = &engine
		choice.Saturated = choice.Saturated || chosen.prefill.kvFull
	}
	choice.CachedTokens = int(prefill.cachedTokens)
	choice.NewTokens = int(prefill.newTokens)
	choice.Saturated = choice.Saturated || r.backlogged(request, prefill, chosen.firstToken)
	return choice
}

// backlogged reports whether the prefill work queued ahead of the request uses
// up too much of the first-token objective.
func (r *Router) backlogged(request *Request, prefill *candidate, firstToken time.Duration) bool {
	if prefill.load.prefillTokens <= 0 {
		return false
	}
	objective := request.Objectives.FirstToken
	queueTime := r.latencyEstimator(prefill.state.engine).predictFirstToken(prefill.load.prefillTokens)
	if float64(queueTime) > r.options.BacklogShare*float64(objective) {
		return true
	}
	remaining := r.options.FirstTokenShare * float64(objective-request.Waited)
	if float64(r.uncontendedFirstToken(request, prefill)) > remaining {
		return false
	}
	return float64(firstToken) > remaining
}

// uncontendedFirstToken predicts the first-token time if the prefill engine had
// no other work. A request that would be late even then gains nothing by
// waiting longer.
func (r *Router) uncontendedFirstToken(request *Request, prefill *candidate) time.Duration {
	return r.latencyEstimator(prefill.state.engine).predictFirstToken(prefill.newTokens)
}

// exceedsDecodeLimit reports whether one more sequence would raise the
// inter-token latency above DecodeShare of its objective. An engine that decodes
// nothing takes any request.
func (r *Router) exceedsDecodeLimit(request *Request, c *candidate) bool {
	limit := r.options.DecodeShare * float64(request.Objectives.BetweenTokens)
	return c.load.decodeSequences > 0 && float64(c.betweenTokens) > limit
}
