package rollout

import (
	"cmp"
	"slices"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// selectEngines selects the engines of the next step, at most limit. KV caches
// can only be transferred between engines of the same version, so roles are
// changed in proportion: the next engine is of the role with the largest fraction
// of unchanged engines. Ties are broken by rolePriority, then by the fewest attempts
// in flight.
func selectEngines(model *Model, remaining []*Engine, limit int) []*Engine {
	total, remainingByRole := map[engineapi.Role]int{}, map[engineapi.Role]int{}
	for index := range model.Engines {
		total[model.Engines[index].Desired.Role]++
	}
	for _, engine := range remaining {
		remainingByRole[engine.Desired.Role]++
	}
	candidates := slices.DeleteFunc(slices.Clone(remaining), func(engine *Engine) bool {
		return !engine.Changeable || !engine.Settled
	})
	var chosen []*Engine
	for len(chosen) < limit && len(candidates) > 0 {
		next := slices.MinFunc(candidates, func(a, b *Engine) int {
			return cmp.Or(
				// Cross-multiplied fractions of unchanged engines, larger first.
				cmp.Compare(remainingByRole[b.Desired.Role]*total[a.Desired.Role], remainingByRole[a.Desired.Role]*total[b.Desired.Role]),
				cmp.Compare(rolePriority(a), rolePriority(b)),
				cmp.Compare(a.InFlight, b.InFlight),
				cmp.Compare(a.ID, b.ID),
			)
		})
		chosen = append(chosen, next)
		remainingByRole[next.Desired.Role]--
		candidates = slices.DeleteFunc(candidates, func(engine *Engine) bool { return engine == next })
	}
	return chosen
}

// rolePriority orders mixed engines, which can serve without a partner, first.
func rolePriority(engine *Engine) int {
	if engine.Desired.Role == engineapi.RoleMixed {
		return 0
	}
	return 1
}
