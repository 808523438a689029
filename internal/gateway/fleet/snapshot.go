package fleet

import (
	"maps"
	"slices"
	"strings"

	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// Snapshot is the state of the zone after one view. It is immutable.
type Snapshot struct {
	Revision      uint64
	Generation    uint64
	Configuration *Configuration
	engines       map[string]*Engine
	byModel       map[string][]*Engine
	backEnds      map[string]wire.BackEndView
	GatewayCount  int
}

// Engine is one engine of a snapshot.
type Engine struct {
	wire.EngineView
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		engines:  map[string]*Engine{},
		byModel:  map[string][]*Engine{},
		backEnds: map[string]wire.BackEndView{},
	}
}

// Engine returns an engine by id, or nil.
func (s *Snapshot) Engine(id string) *Engine { return s.engines[id] }

// EnginesOf returns the engines that have a model loaded, sorted by id. The
// slice must not be changed.
func (s *Snapshot) EnginesOf(model string) []*Engine { return s.byModel[model] }

// Engines returns all engines, sorted by id.
func (s *Snapshot) Engines() []*Engine {
	all := slices.Collect(maps.Values(s.engines))
	slices.SortFunc(all, compareEngines)
	return all
}

// BackEnd returns an application back end by id.
func (s *Snapshot) BackEnd(id string) (wire.BackEndView, bool) {
	view, found := s.backEnds[id]
	return view, found
}

// BackEndsOf returns the back ends of an application that take new work, sorted
// by id.
func (s *Snapshot) BackEndsOf(application string) []wire.BackEndView {
	var able []wire.BackEndView
	for _, view := range s.backEnds {
		if view.Dispatchable && slices.Contains(view.Applications, application) {
			able = append(able, view)
		}
	}
	slices.SortFunc(able, func(a, b wire.BackEndView) int { return strings.Compare(a.ID, b.ID) })
	return able
}

// next returns the snapshot of a merged view.
func (s *Snapshot) next(merged *session.MergedView) *Snapshot {
	following := &Snapshot{
		Revision:      merged.Revision,
		Generation:    merged.Generation,
		Configuration: s.Configuration,
		engines:       make(map[string]*Engine, len(merged.Engines)),
		byModel:       map[string][]*Engine{},
		backEnds:      maps.Clone(merged.BackEnds),
		GatewayCount:  merged.GatewayCount,
	}
	for id, row := range merged.Engines {
		following.engines[id] = &Engine{EngineView: row}
	}
	if merged.ConfigRevision() > s.configurationRevision() {
		following.Configuration = s.Configuration.next(merged.Config)
	}
	following.index()
	return following
}

func (s *Snapshot) configurationRevision() uint64 {
	if s.Configuration == nil {
		return 0
	}
	return s.Configuration.Revision
}

func (s *Snapshot) index() {
	for _, engine := range s.engines {
		s.byModel[engine.Model] = append(s.byModel[engine.Model], engine)
	}
	for _, engines := range s.byModel {
		slices.SortFunc(engines, compareEngines)
	}
}

func compareEngines(a, b *Engine) int { return strings.Compare(a.ID, b.ID) }
