package session

import (
	"errors"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// Picture is the newest state of the zone group, merged from full and partial
// views.
type Picture struct {
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

func newPicture() Picture {
	return Picture{
		Engines:      make(map[string]wire.EngineView),
		BackEnds:     make(map[string]wire.BackEndView),
		isolationSet: make(map[string]struct{}),
	}
}

// ConfigRevision returns the revision of the configuration in effect, 0 for
// none.
func (p *Picture) ConfigRevision() uint64 {
	if p.Config == nil {
		return 0
	}
	return p.Config.Revision
}

// apply merges a view, and reports false if it is older than the picture or
// can't be merged. A partial view is only applied on top of the same
// generation.
func (p *Picture) apply(view *wire.View, sessionID uint64) bool {
	older := view.Generation < p.Generation ||
		(view.Generation == p.Generation && view.Revision < p.Revision)
	if older || (!view.Full && view.Generation != p.Generation) {
		return false
	}
	if view.Full {
		clear(p.Engines)
		clear(p.BackEnds)
	}
	p.Generation = view.Generation
	p.Revision = view.Revision
	p.applyRows(view)
	p.GatewayCount = view.GatewayCount
	p.applyIsolation(view.Isolation, sessionID)
	p.applyConfig(view)
	return true
}

// applyConfig applies a newer configuration. A delta that does not apply
// exactly is dropped, so that the configuration in effect is always one that
// was accepted. After a delta from another base revision, the next watch names
// the revision in effect and gets a delta from there. After a delta that starts
// from this revision but has another result, the full configuration is
// requested.
func (p *Picture) applyConfig(view *wire.View) {
	if view.Config != nil && view.Config.Revision > p.ConfigRevision() {
		p.Config = view.Config
		p.needsFullConfig = false
	}
	if view.ConfigDelta == nil || view.ConfigDelta.Revision <= p.ConfigRevision() {
		return
	}
	next, err := view.ConfigDelta.Apply(p.Config)
	if err != nil {
		p.needsFullConfig = !errors.Is(err, dynamic.ErrOtherBase)
		return
	}
	p.Config = next
}

// knownConfig returns the revision to name in a watch request: 0 requests the
// full configuration.
func (p *Picture) knownConfig() uint64 {
	if p.needsFullConfig {
		return 0
	}
	return p.ConfigRevision()
}

func (p *Picture) applyRows(view *wire.View) {
	for _, row := range view.Engines {
		if row.Removed {
			delete(p.Engines, row.ID)
			continue
		}
		p.Engines[row.ID] = row
	}
	for _, row := range view.BackEnds {
		if row.Removed {
			delete(p.BackEnds, row.ID)
			continue
		}
		p.BackEnds[row.ID] = row
	}
}

func (p *Picture) applyIsolation(isolation *wire.IsolationView, sessionID uint64) {
	if isolation == nil || isolation.SessionID != sessionID {
		return
	}
	clear(p.isolationSet)
	for _, engineID := range isolation.Engines {
		p.isolationSet[engineID] = struct{}{}
	}
}
