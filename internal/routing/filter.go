package routing

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// filter decides whether an engine is eligible for a request.
type filter interface {
	keep(now time.Duration, request *Request, state *engineState) bool
}

// serviceFilter keeps engines that accept new work and that the request allows.
type serviceFilter struct{}

func (serviceFilter) keep(_ time.Duration, request *Request, state *engineState) bool {
	return state.engine.Dispatchable && !state.engine.Leaving && request.allows(state.engine.ID)
}

// modelFilter keeps engines with the request's model, version and adapter.
type modelFilter struct{}

func (modelFilter) keep(_ time.Duration, request *Request, state *engineState) bool {
	engine := &state.engine
	if engine.Model != request.Model {
		return false
	}
	if request.Version != "" && engine.Version != request.Version {
		return false
	}
	return request.Adapter == "" || slices.Contains(engine.Adapters, request.Adapter)
}

// roleFilter keeps engines of the wanted roles.
type roleFilter struct {
	roles []engineapi.Role
}

func (f roleFilter) keep(_ time.Duration, _ *Request, state *engineState) bool {
	return slices.Contains(f.roles, state.engine.Role)
}

// filterStates returns the states that pass every filter.
func filterStates(now time.Duration, request *Request, states []*engineState, filters ...filter) []*engineState {
	var kept []*engineState
	for _, state := range states {
		if keepsAll(now, request, state, filters) {
			kept = append(kept, state)
		}
	}
	return kept
}

func keepsAll(now time.Duration, request *Request, state *engineState, filters []filter) bool {
	for _, f := range filters {
		if !f.keep(now, request, state) {
			return false
		}
	}
	return true
}

// withoutEjected removes the ejected engines. If they exceed
// MaximumEjectedShare it returns all engines: when so many look broken, the
// cause is probably elsewhere.
func withoutEjected(now time.Duration, states []*engineState, options EjectionOptions) []*engineState {
	var healthy []*engineState
	for _, state := range states {
		if !state.health.ejected(now) {
			healthy = append(healthy, state)
		}
	}
	ejected := len(states) - len(healthy)
	if float64(ejected) > options.MaximumEjectedShare*float64(len(states)) {
		return states
	}
	return healthy
}
