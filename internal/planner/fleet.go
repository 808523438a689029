package planner

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// engineRecord is the planner's state for one engine.
type engineRecord struct {
	desired engineapi.Configuration
	// configuredAt is when the engine's role or model last changed, or when it last
	// returned from a change.
	configuredAt time.Duration
	// awaySince is when the engine went away for a change, notAway if it isn't away.
	awaySince time.Duration
	report    engineapi.LoadReport
	// measuredAt is when the engine took the measurements in the report.
	measuredAt time.Duration
	hasReport  bool
}

// fleet keeps the state of the zone's engines between steps.
type fleet struct {
	engines map[string]*engineRecord
	// meanChangeSeconds is the smoothed time for which a change keeps an engine away.
	meanChangeSeconds float64
	lastChangeAt      time.Duration
}

const (
	initialChangeSeconds = 8.0
	changeSecondsWeight  = 0.2
	maximumChangeSeconds = 120.0
)

func newFleet() *fleet {
	return &fleet{engines: make(map[string]*engineRecord), meanChangeSeconds: initialChangeSeconds}
}

// observe records the engines' states, and calls measured with the difference
// between each new load report and the one before.
func (f *fleet) observe(now time.Duration, engines []EngineStatus, measured func(EngineStatus, interval)) {
	present := make(map[string]bool, len(engines))
	for _, status := range engines {
		present[status.ID] = true
		record, found := f.engines[status.ID]
		if !found {
			record = &engineRecord{desired: status.Desired, configuredAt: -presumedDwell, awaySince: notAway}
			f.engines[status.ID] = record
		}
		f.observeChange(now, record, status)
		record.observeReport(now, status, measured)
	}
	for id := range f.engines {
		if !present[id] {
			delete(f.engines, id)
		}
	}
}

const (
	notAway = time.Duration(-1)
	// presumedDwell is how long an engine is assumed to have had its configuration
	// when the planner first sees it, so that the minimum dwell doesn't delay its
	// first change.
	presumedDwell = 24 * time.Hour
)

func (f *fleet) observeChange(now time.Duration, record *engineRecord, status EngineStatus) {
	if record.desired.Role != status.Desired.Role || record.desired.Model != status.Desired.Model {
		record.configuredAt = now
		f.lastChangeAt = now
	}
	record.desired = status.Desired
	if !status.Reachable {
		record.awaySince = notAway
		return
	}
	isAway := away(status)
	switch {
	case isAway && record.awaySince == notAway:
		record.awaySince = now
	case !isAway && record.awaySince != notAway:
		took := min((now - record.awaySince).Seconds(), maximumChangeSeconds)
		f.meanChangeSeconds += changeSecondsWeight * (took - f.meanChangeSeconds)
		record.awaySince = notAway
		record.configuredAt = now
	}
}

func (r *engineRecord) observeReport(now time.Duration, status EngineStatus, measured func(EngineStatus, interval)) {
	at := now - status.LoadAge
	if r.hasReport && status.Load.Sequence == r.report.Sequence && status.Load.Incarnation == r.report.Incarnation {
		return
	}
	if found, ok := intervalBetween(r.report, status.Load, (at - r.measuredAt).Seconds()); r.hasReport && ok {
		measured(status, found)
	}
	r.report, r.measuredAt, r.hasReport = status.Load, at, status.Load.Sequence > 0
}

// away reports whether the engine is away: a planned change keeps it from serving
// requests.
func away(status EngineStatus) bool {
	return status.Draining || status.Phase == engineapi.PhaseChanging || status.Phase == engineapi.PhaseHalfDone
}

// countAway returns the number of engines that are away for a planned change.
func countAway(engines []EngineStatus) int {
	count := 0
	for _, status := range engines {
		if status.Reachable && away(status) {
			count++
		}
	}
	return count
}

// countModelAway returns the number of a model's engines that are away for a
// planned change.
func countModelAway(engines []EngineStatus, model string) int {
	count := 0
	for _, status := range engines {
		if status.Desired.Model == model && status.Reachable && away(status) {
			count++
		}
	}
	return count
}

// usable reports whether an engine counts as capacity, now or after its change.
func usable(status EngineStatus) bool {
	return status.Reachable && status.Phase != engineapi.PhaseLeaving && !status.Pinned
}

// splitOf counts a model's usable engines by role. Engines that are changing count
// in their new role and model.
func splitOf(engines []EngineStatus, model string) Split {
	var split Split
	for _, status := range engines {
		if !usable(status) || status.Desired.Model != model {
			continue
		}
		split = split.with(status.Desired.Role, 1)
	}
	return split
}

// with returns the split with count engines of a role added.
func (s Split) with(role engineapi.Role, count int) Split {
	switch role {
	case engineapi.RolePrefill:
		s.Prefill += count
	case engineapi.RoleDecode:
		s.Decode += count
	case engineapi.RoleMixed:
		s.Mixed += count
	}
	return s
}

// count returns the number of engines in a role.
func (s Split) count(role engineapi.Role) int {
	switch role {
	case engineapi.RolePrefill:
		return s.Prefill
	case engineapi.RoleDecode:
		return s.Decode
	default:
		return s.Mixed
	}
}
