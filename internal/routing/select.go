package routing

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

var (
	mixedRoles   = []engineapi.Role{engineapi.RoleMixed}
	prefillRoles = []engineapi.Role{engineapi.RolePrefill}
	decodeRoles  = []engineapi.Role{engineapi.RoleDecode}
)

// kvReserveShare is the share of an engine's KV cache memory that is left free
// for answers that turn out longer than expected.
const kvReserveShare = 0.05

// Select chooses the engines for a request: one mixed engine, or a prefill and
// a decode engine together, whichever is predicted to be better.
func (r *Router) Select(now time.Duration, request Request) (Choice, NoEngineReason) {
	request.Objectives = request.Objectives.withDefaults()
	usable, reason := r.usable(now, &request)
	if reason != EngineFound {
		return Choice{}, reason
	}
	if request.Prefilled {
		return r.selectDecode(now, &request, usable)
	}
	return r.selectPrefillAndDecode(now, &request, usable)
}

// NoEngineReason returns the reason why Select would find no engine. It only
// checks eligibility and roles, and rates no engine.
func (r *Router) NoEngineReason(now time.Duration, request Request) NoEngineReason {
	usable, reason := r.usable(now, &request)
	if reason != EngineFound {
		return reason
	}
	if request.Prefilled {
		return missingRole(true, hasRole(usable, engineapi.RoleDecode, engineapi.RoleMixed))
	}
	reason = NoDecodeEngine
	for _, sameVersion := range byVersion(usable) {
		if hasRole(sameVersion, engineapi.RoleMixed) {
			return EngineFound
		}
		prefills := hasRole(sameVersion, engineapi.RolePrefill)
		decodes := hasRole(sameVersion, engineapi.RoleDecode)
		switch missingRole(prefills, decodes) {
		case EngineFound:
			return EngineFound
		case NoPrefillEngine:
			reason = NoPrefillEngine
		}
	}
	return reason
}

// missingRole returns which role the engines of one version lack.
func missingRole(prefills, decodes bool) NoEngineReason {
	switch {
	case !decodes:
		return NoDecodeEngine
	case !prefills:
		return NoPrefillEngine
	default:
		return EngineFound
	}
}

func hasRole(states []*engineState, roles ...engineapi.Role) bool {
	return slices.ContainsFunc(states, func(state *engineState) bool {
		return slices.Contains(roles, state.engine.Role)
	})
}

// usable returns the engines of a model that pass the filters for a request,
// regardless of their role.
func (r *Router) usable(now time.Duration, request *Request) ([]*engineState, NoEngineReason) {
	withModel := filterStates(now, request, r.byModel[request.Model], modelFilter{})
	if len(withModel) == 0 {
		return nil, NoEngineWithModel
	}
	usable := filterStates(now, request, withModel, serviceFilter{})
	usable = withoutEjected(now, usable, r.options.Ejection)
	if len(usable) == 0 {
		return nil, NoEngineDispatchable
	}
	return usable, EngineFound
}

// selectPrefillAndDecode compares the best mixed engine with the best pairs of
// a prefill and a decode engine. While several versions are being served, both
// engines of a pair have the same one, because a KV cache can't be used by
// another version.
func (r *Router) selectPrefillAndDecode(now time.Duration, request *Request, usable []*engineState) (Choice, NoEngineReason) {
	var best *placement
	reason := NoDecodeEngine
	for _, sameVersion := range byVersion(usable) {
		rated, decodes := r.bestPlacement(now, request, sameVersion)
		best = highestScoring([]*placement{best, rated})
		if decodes {
			reason = NoPrefillEngine
		}
	}
	if best == nil {
		return Choice{}, reason
	}
	return r.newChoice(request, best), EngineFound
}

// bestPlacement returns the best placement within one version, nil if there is
// none. decodes reports whether an engine could decode if another prefilled the
// prompt.
func (r *Router) bestPlacement(now time.Duration, request *Request, usable []*engineState) (best *placement, decodes bool) {
	prefill := r.bestPrefill(now, request, usable, prefillRoles)
	mixed := r.bestPrefill(now, request, usable, mixedRoles)
	decode := r.bestDecode(now, request, usable, decodeRoles)
	best = highestScoring([]*placement{
		r.prefillDecodePair(request, prefill, decode),
		r.prefillDecodePair(request, prefill, r.bestDecode(now, request, usable, mixedRoles)),
		r.prefillDecodePair(request, mixed, decode),
		r.prefillDecodePair(request, mixed, r.bestDecode(now, request, excludeEngine(usable, mixed), mixedRoles)),
		r.singleEngine(request, mixed),
	})
	return best, decode != nil
}

// byVersion groups engines by version, in the order of each version's first
// engine.
func byVersion(states []*engineState) [][]*engineState {
	if isOneVersion(states) {
		return [][]*engineState{states}
	}
	var groups [][]*engineState
	indexes := map[string]int{}
	for _, state := range states {
		index, found := indexes[state.engine.Version]
		if !found {
			index = len(groups)
			indexes[state.engine.Version] = index
			groups = append(groups, nil)
		}
		groups[index] = append(groups[index], state)
	}
	return groups
}

func isOneVersion(states []*engineState) bool {
	for _, state := range states {
		if state.engine.Version != states[0].engine.Version {
			return false
		}
	}
	return true
}

// excludeEngine removes a candidate's engine, so that it isn't paired with
// itself.
func excludeEngine(states []*engineState, excluded *candidate) []*engineState {
	if excluded == nil {
		return states
	}
	kept := make([]*engineState, 0, len(states))
	for _, state := range states {
		if state != excluded.state {
			kept = append(kept, state)
		}
	}
	return kept
}

// selectDecode selects the engine that imports an exported KV cache.
func (r *Router) selectDecode(now time.Duration, request *Request, usable []*engineState) (Choice, NoEngineReason) {
	best := highestScoring([]*placement{
		decodeOnly(r.bestDecode(now, request, usable, decodeRoles)),
		decodeOnly(r.bestDecode(now, request, usable, mixedRoles)),
	})
	if best == nil {
		return Choice{}, NoDecodeEngine
	}
	return r.newChoice(request, best), EngineFound
}

// bestPrefill returns the best candidate that prefills the prompt, nil if there
// is none.
func (r *Router) bestPrefill(now time.Duration, request *Request, usable []*engineState, roles []engineapi.Role) *candidate {
	return r.best(now, request, usable, roles, r.predictPrefill)
}

// bestDecode returns the best candidate that imports the prompt's KV cache, nil
// if there is none.
func (r *Router) bestDecode(now time.Duration, request *Request, usable []*engineState, roles []engineapi.Role) *candidate {
	return r.best(now, request, usable, roles, r.predictDecode)
}

type predictor func(now time.Duration, request *Request, c *candidate)

func (r *Router) best(now time.Duration, request *Request, usable []*engineState, roles []engineapi.Role, predict predictor) *candidate {
	states := filterStates(now, request, usable, roleFilter{roles})
	if len(states) == 0 {
		return nil
	}
	states = subset(r.options.GatewayID, states, r.options.SubsetSize)
	mean := r.meanOtherLoad(now, states)
	pick := picker{sampleSize: r.options.SampleSize, random: r.random}
	var candidates []*candidate
	for _, state := range pick.sample(now, states, r.longestPrefixMatch(request, states), r.options.Ejection) {
		c := &candidate{state: state, load: state.estimate(now, r.options.LoadHalfLife, mean)}
		predict(now, request, c)
		c.score = totalScore(r.scorers, request, c)
		if c.kvFull {
			c.score -= 1
		}
		candidates = append(candidates, c)
	}
	return pick.best(candidates)
}

// longestPrefixMatch returns the engine with the longest cached prefix, nil if
// none has any of it cached.
func (r *Router) longestPrefixMatch(request *Request, states []*engineState) *engineState {
	if r.options.Weights.Prefix <= 0 || len(request.Blocks) == 0 {
		return nil
	}
	var match *engineState
	longest := 0.0
	for _, state := range states {
		cached := r.prefix.cachedTokens(state.engine.ID, request.Blocks)
		if cached > longest {
			match, longest = state, cached
		}
	}
	return match
}

// meanOtherLoad returns the mean reported load of other gateways over the
// engines, with each report discounted by its age.
func (r *Router) meanOtherLoad(now time.Duration, states []*engineState) load {
	var sum load
	reports := 0.0
	for _, state := range states {
		if state.hasReport {
			sum = sum.plus(state.otherLoad.times(reportWeight(now-state.reportedAt, r.options.LoadHalfLife)))
			reports++
		}
	}
	if reports == 0 {
		return load{}
	}
	return sum.times(1 / reports)
}

// predictPrefill sets the predictions for an engine that prefills the prompt
// itself.
func (r *Router) predictPrefill(now time.Duration, request *Request, c *candidate) {
	estimator := r.latencyEstimator(c.state.engine)
	c.cachedTokens = r.prefix.cachedTokens(c.state.engine.ID, request.Blocks)
	c.newTokens = max(1, float64(request.PromptTokens)-c.cachedTokens)
	c.firstToken = estimator.predictFirstToken(c.load.prefillTokens + c.newTokens)
	c.betweenTokens = estimator.predictStep(c.load.decodeSequences + 1)
	c.kvFull = r.exceedsKVCapacity(request, c)
	if c.state.engine.Role == engineapi.RolePrefill {
		c.betweenTokens = 0
		return
	}
	if estimator.interferes(c.load.decodeSequences, c.newTokens, request.Objectives.BetweenTokens) {
		c.interference = c.load.decodeSequences
		c.selfInterference = r.hasPrefillWork(now, c)
	}
	r.predictBatchWait(estimator, request, c)
}

// predictDecode sets the predictions for an engine that imports the KV cache.
func (r *Router) predictDecode(now time.Duration, request *Request, c *candidate) {
	estimator := r.latencyEstimator(c.state.engine)
	waiting := c.load.requests - c.load.decodeSequences
	c.betweenTokens = estimator.predictStep(c.load.decodeSequences + max(0, waiting) + 1)
	c.firstToken = r.transferTime(request) + c.betweenTokens
	c.kvFull = r.exceedsKVCapacity(request, c)
	if r.hasPrefillWork(now, c) && estimator.interferes(c.load.decodeSequences, assumedChunk, request.Objectives.BetweenTokens) {
		c.interference = 1 + c.load.prefillTokens/assumedChunk
	}
	r.predictBatchWait(estimator, request, c)
}

// hasPrefillWork reports whether a mixed engine has prompts to prefill, or was
// sent one by this gateway within recentPrefillWindow.
func (r *Router) hasPrefillWork(now time.Duration, c *candidate) bool {
	if c.state.engine.Role != engineapi.RoleMixed {
		return false
	}
	recently := c.state.lastPrefillAt >= 0 && now-c.state.lastPrefillAt < recentPrefillWindow
	return recently || c.load.prefillTokens > 0
}

// recentPrefillWindow is how long a mixed engine counts as prefilling after it
// was sent a prompt.
const recentPrefillWindow = time.Second

// predictBatchWait adds the wait for a slot in the batch to the predictions.
func (r *Router) predictBatchWait(estimator *latencyEstimator, request *Request, c *candidate) {
	wait, waitsForBatch := estimator.predictBatchWait(c.load.requests, request.OutputTokens)
	c.firstToken += wait
	c.waitsForBatch = waitsForBatch
}

func (r *Router) transferTime(request *Request) time.Duration {
	return time.Duration(request.PromptTokens) * r.transferPerToken
}

func (r *Router) exceedsKVCapacity(request *Request, c *candidate) bool {
	capacity := float64(c.state.report.KVCapacityTokens)
	if !c.state.hasReport || capacity == 0 {
		return false
	}
	needed := float64(request.PromptTokens + request.OutputTokens)
	own := c.state.ownLoad.kvTokens
	return own+needed > capacity*(1-kvReserveShare)
}
