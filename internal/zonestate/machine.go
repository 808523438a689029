package zonestate

import (
	"sync"

	"github.com/pierhaven/pierhaven/internal/wire"
)

// Machine guards a State for concurrent readers and implements the StateMachine
// of package replica.
type Machine struct {
	mutex sync.RWMutex
	state *State
}

// NewMachine returns a machine with the state of a group that is not bootstrapped.
func NewMachine() *Machine { return &Machine{state: New()} }

// Apply implements replica.StateMachine.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Apply(index, command)
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture implements replica.Capturer.
func (m *Machine) Capture() func() ([]byte, error) {
	// A capture increments a counter of the table of claims, so the read lock is not enough.
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Capture()
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Restore(data)
}

// Read calls read with the state, which read must neither change nor retain.
func (m *Machine) Read(read func(*State)) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	read(m.state)
}

// ViewFor returns the changes that a gateway has not received yet, see State.ViewFor.
func (m *Machine) ViewFor(request *wire.WatchRequest) wire.View {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.state.ViewFor(request)
}

// Revision returns the log index of the last change that is visible to gateways.
func (m *Machine) Revision() uint64 {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.state.Revision()
}
