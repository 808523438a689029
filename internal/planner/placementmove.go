package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// move is a possible move of an engine from one model to another.
type move struct {
	engine *EngineStatus
	from   *modelPool
	to     *modelPool
	// keepsServing is false if from can serve requests now, but the engines that it
	// keeps could not, because prefill or decode would be missing. It is true if no
	// serving engine is left.
	// takesLast is set if the move leaves no serving engine to a model with demand.
	keepsServing bool
	takesLast    bool
}

func (p *placer) newMove(engine *EngineStatus, from, to *modelPool) move {
	remaining := from.serving
	if serves(engine) {
		remaining = remaining.with(engine.Desired.Role, -1)
	}
	return move{
		engine: engine, from: from, to: to,
		keepsServing: remaining.Engines() == 0 || canServe(remaining) || !canServe(from.serving),
		takesLast:    remaining.Engines() == 0 && from.hasDemand,
	}
}

// canServe reports whether a split has engines for both prefill and decode.
func canServe(split Split) bool {
	return split.Mixed > 0 || split.Prefill > 0 && split.Decode > 0
}

// findMoves returns candidate moves, any one of which is a step towards the minimum
// of the model short of engines. They go to the model itself or, if no engine
// allowed there can be spared, to a model that could then spare one. It is a
// breadth-first search for a shortest augmenting path. The move at its far end is
// made first, so that no model falls below its minimum in between.
func (p *placer) findMoves(short *modelPool) ([]move, Hold) {
	hold := HoldNoSpare
	seen := map[*modelPool]bool{short: true}
	for level := []*modelPool{short}; len(level) > 0; {
		var moves []move
		var next []*modelPool
		for _, to := range level {
			for index := range p.input.Engines {
				engine := &p.input.Engines[index]
				from := p.byModel[engine.Desired.Model]
				if from == nil || from == to || !usable(*engine) || !to.allows(engine) {
					continue
				}
				spared := p.canSpare(engine, from)
				blocker := p.moveBlocker(engine, from, to)
				switch {
				case spared && blocker == HoldNone:
					moves = append(moves, p.newMove(engine, from, to))
				case spared:
					hold = moreSpecificHold(hold, blocker)
				case blocker == HoldNone && !seen[from]:
					seen[from] = true
					next = append(next, from)
				}
			}
		}
		if len(moves) > 0 {
			return moves, HoldNone
		}
		level = next
	}
	return nil, hold
}

// canSpare reports whether a model keeps its minimum without an engine. A model with
// demand doesn't give up its last allowed engine.
func (p *placer) canSpare(engine *EngineStatus, from *modelPool) bool {
	serving, placed := from.serving.Engines(), from.placed
	if serves(engine) {
		serving--
	}
	if !from.allows(engine) {
		return serving >= from.model.Minimum
	}
	minimum := from.model.Minimum
	if from.hasDemand {
		minimum = max(minimum, 1)
	}
	return serving >= minimum && placed-1 >= minimum
}

// moveBlocker returns the reason why an engine may not be moved between two models
// now, HoldNone if it may.
func (p *placer) moveBlocker(engine *EngineStatus, from, to *modelPool) Hold {
	switch {
	case from.rules.MaximumAway <= 0 || to.rules.MaximumAway <= 0:
		return HoldForbidden
	case from.moveInProgress || to.moveInProgress:
		return HoldMoveInProgress
	case !changeable(*engine):
		return HoldNoEngine
	case p.withinDwell(engine, from.rules) || p.withinDwell(engine, to.rules):
		return HoldDwell
	case engine.AbandonedTarget != nil && p.recentlyAbandoned(engine, p.target(engine, to)):
		return HoldAbandoned
	case from.atAwayBound() || to.atAwayBound():
		return HoldAway
	default:
		return HoldNone
	}
}

// atAwayBound reports whether the maximum number of the model's engines are away.
func (m *modelPool) atAwayBound() bool { return m.away >= m.rules.MaximumAway }

// applyBestMove makes the least disruptive of the moves, or none:
//   - Without moves, it returns hold, the reason why there are none.
//   - If p.remaining is used up, it returns HoldAway.
//   - If the best move would leave the model that the engine comes from unable to
//     serve, as its keepsServing says, it changes the role of another engine of that
//     model instead; see convertToMixed, which may return HoldNoEngine.
func (p *placer) applyBestMove(moves []move, hold Hold, reason string) Hold {
	if len(moves) == 0 {
		return hold
	}
	if *p.remaining <= 0 {
		return HoldAway
	}
	best := slices.MinFunc(moves, compareMoves)
	if !best.keepsServing {
		return p.convertToMixed(best)
	}
	best.from.moveInProgress, best.to.moveInProgress = true, true
	if serves(best.engine) {
		best.from.serving = best.from.serving.with(best.engine.Desired.Role, -1)
	}
	if best.from.allows(best.engine) {
		best.from.placed--
	} else {
		best.from.misplaced--
	}
	best.to.placed++
	p.assign(best.engine, p.target(best.engine, best.to), reason)
	return HoldNone
}

// compareMoves orders moves by how disruptive they are. Moves of misplaced engines
// come first, then those that don't take the last serving engine of a model with
// demand, then those after which the model can still serve. Of equal moves, the one
// of the engine that compareDisruption puts first is preferred.
func compareMoves(a, b move) int {
	return cmp.Or(
		falseFirst(a.from.allows(a.engine), b.from.allows(b.engine)),
		falseFirst(a.takesLast, b.takesLast),
		falseFirst(!a.keepsServing, !b.keepsServing),
		compareDisruption(a.engine, b.engine),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// convertToMixed gives another engine of the model the mixed role, so that the model
// can still serve after the wanted move, which a later step makes.
func (p *placer) convertToMixed(wanted move) Hold {
	var best *EngineStatus
	for index := range p.input.Engines {
		engine := &p.input.Engines[index]
		if engine == wanted.engine || engine.Desired.Model != wanted.from.model.Name || !serves(engine) {
			continue
		}
		if !changeable(*engine) || p.withinDwell(engine, wanted.from.rules) {
			continue
		}
		if best == nil || compareDisruption(engine, best) < 0 {
			best = engine
		}
	}
	if best == nil {
		return HoldNoEngine
	}
	target := best.Desired
	target.Role = engineapi.RoleMixed
	wanted.from.serving = wanted.from.serving.with(best.Desired.Role, -1)
	wanted.from.moveInProgress = true
	p.assign(best, target, "so that its model can spare another engine")
	return HoldNone
}

// target returns the configuration of an engine that moves to a model.
func (p *placer) target(engine *EngineStatus, to *modelPool) engineapi.Configuration {
	version, adapters := to.configurationFor(engine)
	return engineapi.Configuration{
		Role: p.role(to), Model: to.model.Name, Version: p.version(to, version), Adapters: adapters,
	}
}

// version returns the version for an engine that moves to a model: the most common
// desired version of the model's usable engines, or ruleVersion if it has none. Moves
// don't introduce new versions: rollouts do, which monitor them and roll them back.
func (p *placer) version(to *modelPool, ruleVersion string) string {
	counts := map[string]int{}
	for index := range p.input.Engines {
		engine := &p.input.Engines[index]
		if usable(*engine) && engine.Desired.Model == to.model.Name {
			counts[engine.Desired.Version]++
		}
	}
	mostCommon := ruleVersion
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if counts[version] > counts[mostCommon] {
			mostCommon = version
		}
	}
	return mostCommon
}

// role returns the role in which an additional engine increases the goodput under
// the model's present demand most; mixed if the role makes no difference.
func (p *placer) role(to *modelPool) engineapi.Role {
	state := p.planner.model(to.model.Name)
	present := splitOf(p.input.Engines, to.model.Name)
	best, highest := engineapi.RoleMixed, 0.0
	for _, role := range []engineapi.Role{engineapi.RoleMixed, engineapi.RolePrefill, engineapi.RoleDecode} {
		goodput := Goodput(state.speed.speed(), present.with(role, 1), state.forecast.workload(), objectivesOf(to.model))
		if goodput > highest+minimumGoodputDifference {
			best, highest = role, goodput
		}
	}
	return best
}

// minimumGoodputDifference is the difference in goodput, in requests a second, above
// which a role counts as better than another.
const minimumGoodputDifference = 1e-6
