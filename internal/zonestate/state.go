package zonestate

import (
	"sort"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// Bounds of the state. All replicas must use the same values, since the results of commands depend on them.
const (
	maximumEngines   = 8192
	maximumBackEnds  = 8192
	maximumSessions  = 4096
	maximumRequests  = 4096
	maximumRemovals  = 1024
	maximumRetired   = 8192
	maximumRollouts  = 256
	maximumNameBytes = 256
	maximumTextBytes = 1024
	maximumAdapters  = 64
	// generationShift is the number of low bits of a session id that hold a log index;
	// the bits above them hold the generation.
	generationShift = 48
	// firstGeneration is the generation of a zone's first group.
	firstGeneration = 1
)

// State is the replicated state of a zone group. Its methods are not safe for
// concurrent use; see Machine.
type State struct {
	zone       string
	generation uint64
	parameters Parameters
	// priorSessions says that gateways may still act on sessions of an earlier
	// generation, which this state does not contain.
	priorSessions bool
	// applied is the log index of the last command.
	applied uint64
	// revision is the log index of the last change that is visible to gateways.
	revision uint64

	config *dynamic.Snapshot
	// configHistory contains the changes that led to config. It is not part of the
	// snapshot: without it gateways are sent the whole configuration.
	configHistory dynamic.History

	engines  map[string]*Engine
	backEnds map[string]*BackEnd
	removals removalList
	retired  retiredFences
	rollouts map[string]*Rollout
	sessions *membership.Table
	onceOnly *onceonly.Table
	requests *requestTable
	// poison is what is known about requests that were running when engines crashed.
	poison poison.State
}

// New returns the state of a group that is not bootstrapped.
func New() *State {
	state := &State{}
	state.reset()
	return state
}

func (s *State) reset() {
	*s = State{
		engines:  make(map[string]*Engine),
		backEnds: make(map[string]*BackEnd),
		rollouts: make(map[string]*Rollout),
		sessions: membership.NewTable(maximumSessions),
		onceOnly: onceonly.New(),
		requests: newRequestTable(maximumRequests),
	}
}

// Founded reports whether the group is bootstrapped: its first command, KindFound, has been applied.
func (s *State) Founded() bool { return s.generation >= firstGeneration }

// Zone returns the name of the group's zone.
func (s *State) Zone() string { return s.zone }

// Generation returns the generation of the group, 0 before its bootstrap.
func (s *State) Generation() uint64 { return s.generation }

// Parameters returns the replicated settings in effect.
func (s *State) Parameters() Parameters { return s.parameters }

// PriorSessions reports whether gateways may still act on sessions of an earlier
// generation. While they may, no order is issued.
func (s *State) PriorSessions() bool { return s.priorSessions }

// Applied returns the log index of the last command.
func (s *State) Applied() uint64 { return s.applied }

// Revision returns the log index of the last change that is visible to gateways.
func (s *State) Revision() uint64 { return s.revision }

// Config returns the adopted configuration, nil if there is none. The caller must
// not change it.
func (s *State) Config() *dynamic.Snapshot { return s.config }

// ConfigRevision returns the revision of the adopted configuration, 0 if there is none.
func (s *State) ConfigRevision() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Revision
}

// Poison returns what is known about requests that were running when engines crashed. The caller
// must not change it.
func (s *State) Poison() poison.State { return s.poison }

// Engine returns an engine. The caller must not change it.
func (s *State) Engine(id string) (*Engine, bool) {
	engine, found := s.engines[id]
	return engine, found
}

// Engines returns all engines, sorted by id. The caller must not change them.
func (s *State) Engines() []*Engine {
	list := make([]*Engine, 0, len(s.engines))
	for _, engine := range s.engines {
		list = append(list, engine)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// BackEnd returns an application back end. The caller must not change it.
func (s *State) BackEnd(id string) (*BackEnd, bool) {
	backEnd, found := s.backEnds[id]
	return backEnd, found
}

// BackEnds returns all application back ends, sorted by id. The caller must not
// change them.
func (s *State) BackEnds() []*BackEnd {
	list := make([]*BackEnd, 0, len(s.backEnds))
	for _, backEnd := range s.backEnds {
		list = append(list, backEnd)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Sessions returns the table of open sessions. The caller must not change it.
func (s *State) Sessions() *membership.Table { return s.sessions }

// OnceOnly returns the table of claims. The caller must not change it.
func (s *State) OnceOnly() *onceonly.Table { return s.onceOnly }

// Tenant returns a tenant of the adopted configuration.
func (s *State) Tenant(name string) (dynamic.Tenant, bool) {
	if s.config == nil {
		return dynamic.Tenant{}, false
	}
	tenants := s.config.Tenants
	i := sort.Search(len(tenants), func(i int) bool { return tenants[i].Name >= name })
	if i < len(tenants) && tenants[i].Name == name {
		return tenants[i], true
	}
	return dynamic.Tenant{}, false
}
