package zonestate

import (
	"cmp"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// setDesired sets desired configurations. Entries whose engine is unknown, whose
// guard does not match, or whose target is invalid are skipped, and the result is
// then stale.
func (s *State) setDesired(index uint64, entries []DesiredEntry) Result {
	accepted := 0
	for i := range entries {
		if s.setOneDesired(index, &entries[i]) {
			accepted++
		}
	}
	if accepted < len(entries) {
		return stale("some wishes were refused")
	}
	return done()
}

func (s *State) setOneDesired(index uint64, entry *DesiredEntry) bool {
	engine, found := s.engines[entry.EngineID]
	if !found || entry.Guarded && entry.DesiredAt != engine.DesiredAt {
		return false
	}
	target := entry.Target
	if entry.Partial {
		target = engine.completeTarget(target)
	}
	if !validConfiguration(&target) || target.Model == "" || target.Version == "" {
		return false
	}
	if engine.Desired != nil && engine.Desired.Equal(target) {
		return true
	}
	engine.Desired = &target
	engine.DesiredAt = index
	engine.Failures = 0
	engine.Abandoned = nil
	return true
}

// completeTarget fills the empty fields of a target from the desired configuration.
func (e *Engine) completeTarget(target engineapi.Configuration) engineapi.Configuration {
	if e.Desired == nil {
		return target
	}
	target.Role = cmp.Or(target.Role, e.Desired.Role)
	target.Model = cmp.Or(target.Model, e.Desired.Model)
	target.Version = cmp.Or(target.Version, e.Desired.Version)
	if len(target.Adapters) == 0 {
		target.Adapters = e.Desired.Adapters
	}
	return target
}

func validConfiguration(configuration *engineapi.Configuration) bool {
	short := len(configuration.Model) <= maximumNameBytes && len(configuration.Version) <= maximumNameBytes
	if !short || len(configuration.Adapters) > maximumAdapters {
		return false
	}
	for _, adapter := range configuration.Adapters {
		if len(adapter) > maximumNameBytes {
			return false
		}
	}
	switch configuration.Role {
	case engineapi.RolePrefill, engineapi.RoleDecode, engineapi.RoleMixed:
		return true
	default:
		return false
	}
}
