package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// Placement decides which engines may run a model, with which version and adapters.
type Placement interface {
	// HasRules reports whether the model has placement rules. Without rules it may
	// run on any engine, and no engine is moved because of it.
	HasRules() bool
	// ConfigurationFor returns the version and the adapters that an engine should
	// have; present are the adapters of this model that it has now. The version is
	// empty if the rules don't allow the model on the engine.
	ConfigurationFor(engineID string, present []string) (version string, adapters []string)
}

// Unplaced is a model whose placement does not yet satisfy its rules.
type Unplaced struct {
	Model string
	// Engines is the number of engines that run the model, or will after their
	// change, as the rules allow; Misplaced is the number that run it against them.
	Engines   int
	Minimum   int
	Misplaced int
	// Hold is the reason why nothing is changed now.
	Hold Hold
}

// placer chooses the changes of one step that move engines and load adapters as the
// placement rules require. It works on a copy of the engines, to which it applies
// its own changes.
type placer struct {
	planner   *Planner
	now       time.Duration
	input     *Input
	remaining *int
	output    *Output
	pools     []*modelPool
	byModel   map[string]*modelPool
}

// modelPool is a model and a summary of the engines that run it.
type modelPool struct {
	model Model
	rules Rules
	// configured is false for a model that some engine has but the configuration
	// doesn't.
	configured bool
	// placed is the number of usable engines that have the model, or will after
	// their change, as its rules allow; misplaced is the number that have it
	// against them.
	placed    int
	misplaced int
	// away is the number of the model's engines, by desired configuration, that are
	// away for a planned change.
	away int
	// serving counts, by role, the engines that serve the model now.
	serving Split
	// moveInProgress is set while an engine is moving from or to the model, and in a
	// step that changes an engine's role to prepare a move from it.
	moveInProgress bool
	// hasDemand is set if requests arrive for the model.
	hasDemand bool
}

// place moves engines between models and loads adapters, one engine at a time for
// each model. Each model is first brought to its minimum and then relieved of
// misplaced engines; adapters are loaded last.
func (p *Planner) place(now time.Duration, input *Input, remaining *int, output *Output) {
	if !slices.ContainsFunc(input.Models, func(model Model) bool { return model.Placement != nil && model.Placement.HasRules() }) {
		return
	}
	input.Engines = slices.Clone(input.Engines)
	placer := &placer{planner: p, now: now, input: input, remaining: remaining, output: output, byModel: map[string]*modelPool{}}
	placer.countEngines()
	for _, pool := range placer.pools {
		hold := placer.fillMinimum(pool)
		if hold == HoldNone {
			hold = placer.moveMisplaced(pool)
		}
		if hold != HoldNone {
			output.Unplaced = append(output.Unplaced, pool.unplaced(hold))
		}
	}
	for _, pool := range placer.pools {
		placer.loadAdapters(pool)
	}
}

func (m *modelPool) unplaced(hold Hold) Unplaced {
	return Unplaced{Model: m.model.Name, Engines: m.placed, Minimum: m.model.Minimum, Misplaced: m.misplaced, Hold: hold}
}

// countEngines builds the pool of each model.
func (p *placer) countEngines() {
	for _, model := range p.input.Models {
		pool := p.addPool(model)
		pool.configured = true
		pool.hasDemand = p.planner.model(model.Name).forecast.workload().Requests > minimumDemandRate
		pool.away = countModelAway(p.input.Engines, model.Name)
	}
	for index := range p.input.Engines {
		engine := &p.input.Engines[index]
		if !usable(*engine) || engine.Desired.Model == "" {
			continue
		}
		p.countEngine(engine)
	}
}

// minimumDemandRate is the request rate, a second, above which a model has demand.
const minimumDemandRate = 0.01

func (p *placer) addPool(model Model) *modelPool {
	added := &modelPool{model: model, rules: p.input.rulesOf(&model)}
	p.pools = append(p.pools, added)
	p.byModel[model.Name] = added
	return added
}

func (p *placer) countEngine(engine *EngineStatus) {
	pool, found := p.byModel[engine.Desired.Model]
	if !found {
		pool = p.addPool(Model{Name: engine.Desired.Model})
	}
	if pool.allows(engine) {
		pool.placed++
	} else {
		pool.misplaced++
	}
	if serves(engine) {
		pool.serving = pool.serving.with(engine.Desired.Role, 1)
	}
	if engine.Observed.Model == engine.Desired.Model {
		return
	}
	pool.moveInProgress = true
	if left, found := p.byModel[engine.Observed.Model]; found {
		left.moveInProgress = true
	}
}

// serves reports whether an engine serves the model of its desired configuration.
func serves(engine *EngineStatus) bool {
	return usable(*engine) && engine.Phase == engineapi.PhaseServing && !engine.Draining &&
		engine.Observed.Model == engine.Desired.Model
}

// allows reports whether the model's rules allow it on an engine.
func (m *modelPool) allows(engine *EngineStatus) bool {
	version, _ := m.configurationFor(engine)
	return version != ""
}

// configurationFor returns the version and adapters that an engine should have to
// run the model. The version is empty if the rules don't allow it there.
func (m *modelPool) configurationFor(engine *EngineStatus) (version string, adapters []string) {
	var present []string
	if engine.Desired.Model == m.model.Name {
		present = engine.Desired.Adapters
	}
	switch {
	case !m.configured:
		return "", nil
	case m.model.Placement == nil:
		return m.model.Version, present
	default:
		return m.model.Placement.ConfigurationFor(engine.ID, present)
	}
}

func (m *modelPool) hasRules() bool {
	return m.configured && m.model.Placement != nil && m.model.Placement.HasRules()
}

// fillMinimum moves an engine to a model that has fewer engines than its minimum.
// It returns the reason if none can be moved.
func (p *placer) fillMinimum(pool *modelPool) Hold {
	if !pool.configured {
		return HoldNone
	}
	state := p.planner.model(pool.model.Name)
	if pool.placed >= pool.model.Minimum {
		state.belowMinimum = false
		return HoldNone
	}
	if !state.belowMinimum {
		state.belowMinimum, state.belowMinimumSince = true, p.now
	}
	if hold := p.unsatisfiable(pool); hold != HoldNone {
		return hold
	}
	if p.now-state.belowMinimumSince < p.planner.options.PlacementDelay {
		return HoldRecentShortage
	}
	moves, hold := p.findMoves(pool)
	return p.applyBestMove(moves, hold, fmt.Sprintf("model %s has fewer engines than its minimum", pool.model.Name))
}

// unsatisfiable returns the reason why no assignment of the engines can satisfy the
// minimums, HoldNone if none is found.
func (p *placer) unsatisfiable(pool *modelPool) Hold {
	engines, allowed, minimums := 0, 0, 0
	for index := range p.input.Engines {
		engine := &p.input.Engines[index]
		if !usable(*engine) || engine.Desired.Model == "" {
			continue
		}
		engines++
		if pool.allows(engine) {
			allowed++
		}
	}
	for _, other := range p.pools {
		minimums += other.model.Minimum
	}
	switch {
	case minimums > engines:
		return HoldMinimumsExceedEngines
	case allowed < pool.model.Minimum:
		return HoldRulesTakeTooFew
	default:
		return HoldNone
	}
}

// moveMisplaced moves an engine whose present model isn't allowed on it to a model
// whose rules allow it. It returns the reason if no engine can be moved.
func (p *placer) moveMisplaced(pool *modelPool) Hold {
	if pool.misplaced == 0 {
		return HoldNone
	}
	var moves []move
	hold := HoldNoRule
	for index := range p.input.Engines {
		engine := &p.input.Engines[index]
		if !usable(*engine) || engine.Desired.Model != pool.model.Name || pool.allows(engine) {
			continue
		}
		to := p.destination(engine)
		if to == nil {
			continue
		}
		blocker := p.moveBlocker(engine, pool, to)
		switch {
		case !p.canSpare(engine, pool):
			hold = moreSpecificHold(hold, HoldNoSpare)
		case blocker != HoldNone:
			hold = moreSpecificHold(hold, blocker)
		default:
			moves = append(moves, p.newMove(engine, pool, to))
		}
	}
	return p.applyBestMove(moves, hold, fmt.Sprintf("no rule of model %s takes the engine", pool.model.Name))
}

// moreSpecificHold returns the first reason found other than the two default ones,
// HoldNoRule and HoldNoSpare, which any later reason replaces.
func moreSpecificHold(known, next Hold) Hold {
	if known == HoldNoRule || known == HoldNoSpare {
		return next
	}
	return known
}

// destination returns, of the other models whose rules allow the engine, the one
// with the fewest engines relative to its minimum, nil if there is none.
func (p *placer) destination(engine *EngineStatus) *modelPool {
	var best *modelPool
	for _, pool := range p.pools {
		if pool.model.Name == engine.Desired.Model || !pool.hasRules() || !pool.allows(engine) {
			continue
		}
		if best == nil || pool.placed-pool.model.Minimum < best.placed-best.model.Minimum {
			best = pool
		}
	}
	return best
}
