package coordinator

import (
	"slices"

	"github.com/pierhaven/pierhaven/internal/region"
)

// maximumPendingWindows bounds the windows that wait to be accepted by the platform: reports of
// older ones are so long overdue that nobody waits for them.
const maximumPendingWindows = 64

// applyUsage applies the parts of a command that concern tenant usage. A window's first counts are
// final: later proposals for it change nothing, so that all reports of a window are identical.
func (m *stateMachine) applyUsage(command *region.Command) {
	if final := command.Usage; final != nil && final.Window >= m.state.NextWindow {
		m.state.NextWindow = final.Window + 1
		pending := append(slices.Clone(m.state.Usage), *final)
		m.state.Usage = pending[max(len(pending)-maximumPendingWindows, 0):]
	}
	if command.UsageCall != nil {
		m.recordCall(dutyUsage)
	}
	if ended := command.UsageEnd; ended != nil {
		m.state.Usage = slices.DeleteFunc(slices.Clone(m.state.Usage), func(each region.UsageWindow) bool {
			return each.Window == ended.Window
		})
	}
}

// sameReplicaGroup reports whether two orders are for the same service, zone and kind of replicas.
func sameReplicaGroup(a, b region.FleetOrder) bool {
	return a.Service == b.Service && a.Zone == b.Zone && a.Preemptible == b.Preemptible
}

// applyFleet records an order for a number of replicas, replacing the previous one for the same group.
func (m *stateMachine) applyFleet(order *region.FleetOrder) {
	others := slices.DeleteFunc(slices.Clone(m.state.Fleet), func(each region.FleetOrder) bool {
		return sameReplicaGroup(each, *order)
	})
	m.state.Fleet = append(others, *order)
}
