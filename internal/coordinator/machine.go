package coordinator

import (
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// stateMachine is the replicated state machine. Only the replica's goroutine changes
// it; readers copy the state under the lock.
type stateMachine struct {
	mutex   sync.Mutex
	clock   func() time.Duration
	state   region.State
	applied uint64
	calls   map[duty]lastCall
	changed chan struct{}
}

func newStateMachine(clock func() time.Duration) *stateMachine {
	return &stateMachine{clock: clock, calls: map[duty]lastCall{}, changed: make(chan struct{})}
}

// Apply implements replica.StateMachine. The result is an encoded
// region.ReplaceReply with the configuration version in effect and the command's log index.
func (m *stateMachine) Apply(index uint64, encoded []byte) []byte {
	var command region.Command
	_, err := command.UnmarshalMsg(encoded)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.applied = index
	if err == nil {
		m.apply(index, &command)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	reply, _ := (&region.ReplaceReply{Version: m.state.Version, Index: index}).MarshalMsg(nil)
	return reply
}

func (m *stateMachine) apply(index uint64, command *region.Command) {
	if change := command.Configuration; change != nil {
		m.applyConfiguration(change)
	}
	before := m.state
	if change := command.List; change != nil {
		m.applyList(index, change)
	}
	if change := command.Activity; change != nil {
		m.applyActivity(index, change)
	}
	if command.List != nil || command.Activity != nil {
		noteNewSoftware(&m.state, &before, command.List)
	}
	if change := command.Change; change != nil {
		m.recordCall(dutyStages)
		m.beginChange(index, change)
	}
	if change := command.ChangeEnd; change != nil {
		m.dropChanges(index, func(each region.StageChange) bool { return each.Replica == change.Replica })
	}
	if change := command.Software; change != nil {
		m.applySoftware(change)
	}
	m.applyUsage(command)
	if command.Poison != nil {
		m.state.Poison.Apply(index, command.Poison)
	}
	if order := command.Fleet; order != nil {
		m.recordCall(dutyFleet)
		m.applyFleet(order)
	}
}

// applyConfiguration puts a configuration into effect, unless one of the same or a higher version is, or another one than that
// with which it was compared.
func (m *stateMachine) applyConfiguration(change *region.ConfigurationCommand) {
	if change.Version <= m.state.Version || change.At != 0 && change.Base != m.state.Version {
		return
	}
	noteRoutes(&m.state, change)
	m.state.Version = change.Version
	m.state.Document = change.Document
}

// recordCall records the current time as that of the duty's last call: the command that
// precedes the call has been applied.
func (m *stateMachine) recordCall(of duty) { m.calls[of] = lastCall{known: true, at: m.clock()} }

// Snapshot implements replica.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.MarshalMsg(nil)
}

// Restore implements replica.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	var state region.State
	if len(data) > 0 {
		if _, err := state.UnmarshalMsg(data); err != nil {
			return err
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state = state
	countStandby(&m.state)
	if len(data) > 0 {
		for _, each := range duties {
			m.recordCall(each)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// read returns the state and a channel that is closed at the next change. Slices of
// the state are never modified in place.
func (m *stateMachine) read() (region.State, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state, m.changed
}

// lastCall returns what this coordinator knows of a duty's last call.
func (m *stateMachine) lastCall(of duty) lastCall {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls[of]
}
