package routing

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// IdleFirstToken predicts the first-token time of a request on the fastest
// engine for it, as if that engine were idle. It returns 0 if no engine of the
// model can prefill. Admission compares it with the deadline.
func (r *Router) IdleFirstToken(request Request) time.Duration {
	best := time.Duration(-1)
	for _, id := range r.ids {
		state := r.engines[id]
		if state.engine.Model != request.Model || state.engine.Role == engineapi.RoleDecode {
			continue
		}
		estimator := r.latencyEstimator(state.engine)
		predicted := estimator.predictFirstToken(float64(request.PromptTokens))
		if state.engine.Role == engineapi.RolePrefill {
			predicted += r.transferTime(&request) + estimator.predictStep(1)
		}
		if best < 0 || predicted < best {
			best = predicted
		}
	}
	return max(best, 0)
}
