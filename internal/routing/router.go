package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// Router tracks the engines of a gateway's zone and selects among them.
type Router struct {
	options Options
	random  *rand.Rand
	scorers []weightedScorer
	// engines are the states by engine id, ids the sorted keys.
	engines map[string]*engineState
	ids     []string
	// byModel lists the engines of each model, sorted by id.
	byModel           map[string][]*engineState
	prefix            *prefixIndex
	latencyEstimators map[engineClass]*latencyEstimator
	// transferPerToken is the measured time to transfer one token's KV cache.
	transferPerToken time.Duration
}

// New returns a router without engines.
func New(options Options, random *rand.Rand) *Router {
	return &Router{
		options:           options,
		random:            random,
		scorers:           scorersFor(options.Weights),
		engines:           make(map[string]*engineState),
		prefix:            newPrefixIndex(options.PrefixBlocksPerEngine),
		latencyEstimators: make(map[engineClass]*latencyEstimator),
		transferPerToken:  options.KVTransferPerToken,
	}
}

// SetEngines replaces the list of engines and keeps the state of those that
// remain.
func (r *Router) SetEngines(engines []Engine) {
	present := make(map[string]bool, len(engines))
	for _, engine := range engines {
		present[engine.ID] = true
		r.setEngine(engine)
	}
	for _, id := range r.ids {
		if !present[id] {
			delete(r.engines, id)
			r.prefix.remove(id)
		}
	}
	r.ids = r.ids[:0]
	for id := range r.engines {
		r.ids = append(r.ids, id)
	}
	slices.Sort(r.ids)
	r.byModel = make(map[string][]*engineState)
	for _, id := range r.ids {
		state := r.engines[id]
		r.byModel[state.engine.Model] = append(r.byModel[state.engine.Model], state)
	}
}

func (r *Router) setEngine(engine Engine) {
	state, found := r.engines[engine.ID]
	if !found {
		r.engines[engine.ID] = newEngineState(engine)
		return
	}
	if state.engine.Model != engine.Model || state.engine.Version != engine.Version {
		r.prefix.remove(engine.ID)
	}
	if state.engine.Role != engine.Role {
		state.hasReport = false
	}
	state.engine = engine
}

// Engines returns the engines, sorted by id.
func (r *Router) Engines() []Engine {
	engines := make([]Engine, 0, len(r.ids))
	for _, id := range r.ids {
		engines = append(engines, r.engines[id].engine)
	}
	return engines
}

// ReportLoad applies an engine's load report, which arrived at now and was
// measured AgeMillis earlier.
func (r *Router) ReportLoad(now time.Duration, engineID string, report engineapi.LoadReport) {
	state, found := r.engines[engineID]
	if !found || !state.applyReport(now, report) {
		return
	}
	if state.engine.Role != engineapi.RolePrefill {
		r.observeBatch(state, &report)
	}
	if report.StepMillis > 0 && report.DecodeSequences > 0 {
		took := seconds(report.StepMillis / 1000)
		r.latencyEstimator(state.engine).observeStep(float64(report.DecodeSequences), took)
	}
}

// observeBatch learns whether an engine's batch is full. Waiting requests alone
// don't show that, because an engine also counts those that arrived during the
// current step.
func (r *Router) observeBatch(state *engineState, report *engineapi.LoadReport) {
	if report.WaitingRequests <= 0 {
		state.waitingReports = 0
		r.latencyEstimator(state.engine).observeFreeSlot(report.RunningRequests)
		return
	}
	if report.RunningRequests > state.waitingRunning {
		state.waitingReports = 0
		r.latencyEstimator(state.engine).observeFreeSlot(report.RunningRequests - 1)
	}
	state.waitingRunning = report.RunningRequests
	state.waitingReports++
	if state.waitingReports >= fullBatchReports && report.RunningRequests > 0 {
		r.latencyEstimator(state.engine).observeFullBatch(report.RunningRequests)
	}
}

// fullBatchReports is the number of consecutive reports with waiting requests
// and no increase in running ones that indicates a full batch.
const fullBatchReports = 3

// CacheEvents applies an engine's prefix cache events.
func (r *Router) CacheEvents(engineID string, events engineapi.CacheEvents) {
	if _, found := r.engines[engineID]; found {
		r.prefix.apply(engineID, events)
	}
}

// CacheCursor returns the position from which to request an engine's cache
// events. Two zeros request a snapshot: initially, and when too many events
// were lost.
func (r *Router) CacheCursor(now time.Duration, engineID string) (incarnation, after uint64) {
	return r.prefix.cursor(now, engineID)
}

func (r *Router) latencyEstimator(engine Engine) *latencyEstimator {
	class := engineClass{model: engine.Model, role: engine.Role}
	estimator, found := r.latencyEstimators[class]
	if !found {
		estimator = newLatencyEstimator()
		r.latencyEstimators[class] = estimator
	}
	return estimator
}
