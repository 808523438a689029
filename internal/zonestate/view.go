package zonestate

import (
	"github.com/pierhaven/pierhaven/internal/wire"
)

// ViewFor returns the changes since the revision of a gateway's request. A request
// with revision 0, or one older than the recorded removals, gets a full view.
func (s *State) ViewFor(request *wire.WatchRequest) wire.View {
	view := wire.View{
		Revision:       s.revision,
		Generation:     s.generation,
		ConfigRevision: s.ConfigRevision(),
		Full:           request.Revision == 0 || request.Revision < s.removals.CompleteSince,
	}
	if request.ConfigRevision < s.ConfigRevision() {
		var found bool
		if view.ConfigDelta, found = s.configHistory.Since(request.ConfigRevision); !found {
			view.Config = s.config
		}
	}
	since := request.Revision
	if view.Full {
		since = 0
	}
	view.Engines = s.engineViews(since)
	view.BackEnds = s.backEndViews(since)
	view.GatewayCount = s.sessions.Len()
	view.Isolation = s.isolationView(request.SessionID, since)
	return view
}

func (s *State) engineViews(since uint64) []wire.EngineView {
	var views []wire.EngineView
	for _, engine := range s.Engines() {
		if engine.ChangedAt > since {
			views = append(views, engine.view())
		}
	}
	if since == 0 {
		return views
	}
	for _, removed := range s.removals.Removals {
		_, present := s.engines[removed.ID]
		if removed.Kind == removedEngine && removed.RemovedAt > since && !present {
			views = append(views, wire.EngineView{ID: removed.ID, Removed: true, ChangedAt: removed.RemovedAt})
		}
	}
	return views
}

// view returns the engine's entry in a view. While the engine is unverified the entry
// contains the desired configuration, but is not dispatchable.
func (e *Engine) view() wire.EngineView {
	view := wire.EngineView{
		ID:           e.ID,
		Address:      e.Address,
		Dispatchable: e.Dispatchable(),
		Leaving:      e.Leaving,
		ChangedAt:    e.ChangedAt,
	}
	configuration := e.Verified
	if configuration == nil {
		configuration = e.Desired
	}
	if configuration != nil {
		view.Role = string(configuration.Role)
		view.Model = configuration.Model
		view.Version = configuration.Version
		view.Adapters = configuration.Adapters
	}
	return view
}

func (s *State) backEndViews(since uint64) []wire.BackEndView {
	var views []wire.BackEndView
	for _, backEnd := range s.BackEnds() {
		if backEnd.ChangedAt <= since {
			continue
		}
		views = append(views, wire.BackEndView{
			ID:           backEnd.ID,
			Address:      backEnd.Address,
			Applications: backEnd.Applications,
			Dispatchable: backEnd.Serving,
			ChangedAt:    backEnd.ChangedAt,
		})
	}
	if since == 0 {
		return views
	}
	for _, removed := range s.removals.Removals {
		_, present := s.backEnds[removed.ID]
		if removed.Kind == removedBackEnd && removed.RemovedAt > since && !present {
			views = append(views, wire.BackEndView{ID: removed.ID, Removed: true, ChangedAt: removed.RemovedAt})
		}
	}
	return views
}

// isolationView returns the isolation set of a session, nil if there is none that was
// assigned after the log index since.
func (s *State) isolationView(sessionID, since uint64) *wire.IsolationView {
	session, open := s.sessions.Get(sessionID)
	if !open {
		return nil
	}
	set := session.CurrentSet()
	if set.AssignedAt <= since {
		return nil
	}
	return &wire.IsolationView{SessionID: sessionID, Engines: set.Targets}
}
