package session

import (
	"errors"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// MergedView is the newest state of the zone group, merged from full and partial
// views.
type MergedView struct {
	Generation uint64
	Revision   uint64
	// Config never returns to an older revision, not even when the zone group
	// is created anew.
	Config *dynamic.Snapshot
	// needsFullConfig is set when a delta from the revision in effect could not
	// be applied exactly.
	needsFullConfig bool
	Engines         map[string]wire.EngineView
	BackEnds        map[string]wire.BackEndView
	// GatewayCount is the number of gateways with open sessions in the zone.
	GatewayCount int
	isolationSet map[string]struct{}
}

func newMergedView() MergedView {
	return MergedView{
		Engines:      make(map[string]wire.EngineView),
		BackEnds:     make(map[string]wire.BackEndView),
		isolationSet: make(map[string]struct{}),
	}
}

// ConfigRevision returns the revision of the configuration in effect, 0 for
// none.
func (m *MergedView) ConfigRevision() uint64 {
	if m.Config == nil {
		return 0
	}
	return m.Config.Revision
}

// apply merges a view, and reports false if it is older than the merged view or
// can't be merged. A partial view is only applied on top of the same
// generation.
func (m *MergedView) apply(view *wire.View, sessionID uint64) bool {
	older := view.Generation < m.Generation ||
		(view.Generation == m.Generation && view.Revision < m.Revision)
	if older || (!view.Full && view.Generation != m.Generation) {
		return false
	}
	if view.Full {
		clear(m.Engines)
		clear(m.BackEnds)
	}
	m.Generation = view.Generation
	m.Revision = view.Revision
	m.applyRows(view)
	m.GatewayCount = view.GatewayCount
	m.applyIsolation(view.Isolation, sessionID)
	m.applyConfig(view)
	return true
}

// applyConfig applies a newer configuration. A delta that does not apply
// exactly is dropped, so that the configuration in effect is always one that
// was accepted. After a delta from another base revision, the next watch names
// the revision in effect and gets a delta from there. After a delta that starts
// from this revision but has another result, the full configuration is
// requested.
func (m *MergedView) applyConfig(view *wire.View) {
	if view.Config != nil && view.Config.Revision > m.ConfigRevision() {
		m.Config = view.Config
		m.needsFullConfig = false
	}
	if view.ConfigDelta == nil || view.ConfigDelta.Revision <= m.ConfigRevision() {
		return
	}
	next, err := view.ConfigDelta.Apply(m.Config)
	if err != nil {
		m.needsFullConfig = !errors.Is(err, dynamic.ErrOtherBase)
		return
	}
	m.Config = next
}

// knownConfig returns the revision to name in a watch request: 0 requests the
// full configuration.
func (m *MergedView) knownConfig() uint64 {
	if m.needsFullConfig {
		return 0
	}
	return m.ConfigRevision()
}

func (m *MergedView) applyRows(view *wire.View) {
	for _, row := range view.Engines {
		if row.Removed {
			delete(m.Engines, row.ID)
			continue
		}
		m.Engines[row.ID] = row
	}
	for _, row := range view.BackEnds {
		if row.Removed {
			delete(m.BackEnds, row.ID)
			continue
		}
		m.BackEnds[row.ID] = row
	}
}

func (m *MergedView) applyIsolation(isolation *wire.IsolationView, sessionID uint64) {
	if isolation == nil || isolation.SessionID != sessionID {
		return
	}
	clear(m.isolationSet)
	for _, engineID := range isolation.Engines {
		m.isolationSet[engineID] = struct{}{}
	}
}
