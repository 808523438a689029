package controller

import (
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// zoneMachine is the zone group's state machine. It notifies watchers when the
// state that gateways see has changed.
type zoneMachine struct {
	*zonestate.Machine
	changed *broadcast
}

func newZoneMachine() *zoneMachine {
	return &zoneMachine{Machine: zonestate.NewMachine(), changed: newBroadcast()}
}

// Apply implements replica.StateMachine.
func (m *zoneMachine) Apply(index uint64, command []byte) []byte {
	before := m.Revision()
	result := m.Machine.Apply(index, command)
	if m.Revision() != before {
		m.changed.notify()
	}
	return result
}

// Restore implements replica.StateMachine.
func (m *zoneMachine) Restore(data []byte) error {
	defer m.changed.notify()
	return m.Machine.Restore(data)
}
