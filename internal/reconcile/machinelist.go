package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/platformapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	// restartThreshold is the number of consecutive lists with a lower sequence
	// number after which the platform is considered restarted.
	restartThreshold = 3
	// liveConfirmation is how long the list must report a machine as live again
	// before its hint is dropped.
	liveConfirmation = 5 * time.Second
	// minimumSuspectMachines is the minimum number of engines or of back ends that
	// the list must report as leaving or gone to be suspect.
	minimumSuspectMachines = 3
)

// machineList is the platform's list of machines. It lags and may be wrong, so it is
// only a hint.
type machineList struct {
	sequence       uint64
	lowerSequences int
	rows           map[string]platformapi.Machine
	// hints holds the machines that the list reported as leaving or gone. A machine
	// that is no longer on the list keeps its hint.
	hints map[string]machineHint
}

// machineHint is the state that the list last reported for a machine that was not
// live, and when.
type machineHint struct {
	state platformapi.MachineState
	at    time.Duration
}

func newMachineList() machineList {
	return machineList{hints: make(map[string]machineHint)}
}

// RecordMachineList records the platform's list. A list with a lower sequence number
// is ignored, unless it is the restartThreshold-th in a row: then the platform has
// restarted and counts from the beginning.
func (c *Core) RecordMachineList(list *platformapi.MachineList) {
	m := &c.machines
	if m.rows != nil && list.Sequence < m.sequence {
		m.lowerSequences++
		if m.lowerSequences < restartThreshold {
			return
		}
	}
	m.lowerSequences = 0
	m.sequence = list.Sequence
	m.rows = make(map[string]platformapi.Machine, len(list.Machines))
	for _, machine := range list.Machines {
		m.rows[machine.ID] = machine
	}
}

// tick updates the hints from the newest rows. It drops the hints of machines that
// are no longer known or have been reported live for liveConfirmation.
func (m *machineList) tick(now time.Duration, known func(id string) bool) {
	for id, row := range m.rows {
		if row.State != platformapi.MachineLive && known(id) {
			m.hints[id] = machineHint{state: row.State, at: now}
		}
	}
	for id, hint := range m.hints {
		row, listed := m.rows[id]
		isLive := listed && row.State == platformapi.MachineLive && now-hint.at >= liveConfirmation
		if isLive || !known(id) {
			delete(m.hints, id)
		}
	}
}

func (m *machineList) reportsLeaving(id string) bool {
	return m.hints[id].state == platformapi.MachineLeaving
}

func (m *machineList) reportsGone(id string) bool {
	return m.hints[id].state == platformapi.MachineGone
}

func (m *machineList) reportsUnavailable(id string) bool {
	return m.reportsLeaving(id) || m.reportsGone(id)
}

// tickMachines decides whether the list is suspect. A list that reports most of the
// zone's engines or back ends as leaving or gone at the same time is more likely
// wrong than right. Machines that are really leaving report it themselves.
func (c *Core) tickMachines(now time.Duration, state *zonestate.State) {
	c.machines.tick(now, func(id string) bool {
		_, isEngine := state.Engine(id)
		_, isBackEnd := state.BackEnd(id)
		return isEngine || isBackEnd
	})
	engines, backEnds := 0, 0
	for _, engine := range state.Engines() {
		if c.machines.reportsUnavailable(engine.ID) {
			engines++
		}
	}
	for _, backEnd := range state.BackEnds() {
		if c.machines.reportsUnavailable(backEnd.ID) {
			backEnds++
		}
	}
	c.machineListSuspect = isSuspect(engines, len(state.Engines())) || isSuspect(backEnds, len(state.BackEnds()))
}

func isSuspect(unavailable, all int) bool {
	return unavailable >= minimumSuspectMachines && 2*unavailable > all
}

// MachineListSuspect reports whether the platform's list is suspect. Its hints then
// withhold no machine, and removals wait for longer.
func (c *Core) MachineListSuspect() bool { return c.machineListSuspect }

// isReportedLeaving reports whether a list that is not suspect reports a machine as
// leaving. It applies to responding machines, which can't be gone whatever the list
// reports.
func (c *Core) isReportedLeaving(id string) bool {
	return !c.machineListSuspect && c.machines.reportsLeaving(id)
}

// isReportedUnavailable reports whether a list that is not suspect reports an
// unresponsive machine as leaving or gone.
func (c *Core) isReportedUnavailable(id string) bool {
	return !c.machineListSuspect && c.machines.reportsUnavailable(id)
}

// goneLongEnough reports whether a machine that last responded at lastResponseAt and
// is listed as gone is to be removed. The wait is longer while the list is suspect.
func (c *Core) goneLongEnough(now, lastResponseAt time.Duration, id string) bool {
	wait := removeAfter
	if c.machineListSuspect {
		wait = removeSuspectAfter
	}
	return c.machines.reportsGone(id) && now-lastResponseAt > wait
}
