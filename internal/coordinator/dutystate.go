package coordinator

import (
	"slices"

	"github.com/pierhaven/pierhaven/internal/region"
)

// maximumPendingWindows bounds the windows that wait for the platform to take them: what is
// older has been due for so long that nobody waits for it.
const maximumPendingWindows = 64

// applyUsage applies what a command says of the usage of tenants. A window's counts are fixed
// once: whatever is proposed later for it changes nothing, so that all reports of it are alike.
func (m *machine) applyUsage(command *region.Command) {
	if fixed := command.Usage; fixed != nil && fixed.Window >= m.state.NextWindow {
		m.state.NextWindow = fixed.Window + 1
		pending := append(slices.Clone(m.state.Usage), *fixed)
		m.state.Usage = pending[max(len(pending)-maximumPendingWindows, 0):]
	}
	if command.UsageCall != nil {
		m.noteCall(dutyUsage)
	}
	if ended := command.UsageEnd; ended != nil {
		m.state.Usage = slices.DeleteFunc(slices.Clone(m.state.Usage), func(each region.UsageWindow) bool {
			return each.Window == ended.Window
		})
	}
}

// sameSubject reports whether two orders are for the same replicas.
func sameSubject(a, b region.FleetOrder) bool {
	return a.Service == b.Service && a.Zone == b.Zone && a.Preemptible == b.Preemptible
}

// applyFleet notes the number of replicas that is ordered.
func (m *machine) applyFleet(order *region.FleetOrder) {
	others := slices.DeleteFunc(slices.Clone(m.state.Fleet), func(each region.FleetOrder) bool {
		return sameSubject(each, *order)
	})
	m.state.Fleet = append(others, *order)
}
