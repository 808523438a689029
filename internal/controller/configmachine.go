package controller

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pierhaven/pierhaven/coordination/versioned"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// configMachine is the config group's state machine: a document store with a
// mutex for concurrent readers.
type configMachine struct {
	changed *broadcast

	mutex    sync.Mutex
	store    *versioned.Store
	snapshot *dynamic.Snapshot
}

// maximumConfigurationBytes limits the total size of all documents. A zone group
// adopts them in one command, which must stay below replica.DefaultMaxCommandBytes.
const maximumConfigurationBytes = 3 << 20

func newConfigMachine() *configMachine {
	limits := versioned.Limits{TotalBytes: maximumConfigurationBytes}
	return &configMachine{changed: newBroadcast(), store: versioned.New(limits)}
}

// Apply implements replica.StateMachine.
func (m *configMachine) Apply(index uint64, command []byte) []byte {
	m.mutex.Lock()
	before := m.store.Revision()
	result := m.store.Apply(index, command)
	revisionChanged := m.store.Revision() != before
	m.mutex.Unlock()
	if revisionChanged {
		m.changed.notify()
	}
	return result
}

// Snapshot implements replica.StateMachine.
func (m *configMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Snapshot()
}

// Restore implements replica.StateMachine.
func (m *configMachine) Restore(data []byte) error {
	defer m.changed.notify()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Restore(data)
}

// documents returns the configuration's revision and the current documents,
// including the founding records of zone groups. If name is set, it returns only
// that document, even if it was withdrawn.
func (m *configMachine) documents(kind, name string) (uint64, []versioned.Document) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if name == "" {
		return m.revision(), m.store.List("")
	}
	document, found := m.store.Get(kind, name)
	if !found {
		return m.revision(), nil
	}
	return m.revision(), []versioned.Document{document}
}

// revision returns the revision of the last change by an operator. The records that
// zone groups store here at their founding do not change the configuration. The
// caller must hold m.mutex.
func (m *configMachine) revision() uint64 {
	return m.store.RevisionExcept(string(kindZoneGroup))
}

// configuration returns the complete configuration. The result is shared and must
// not be modified.
func (m *configMachine) configuration() (*dynamic.Snapshot, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	revision := m.revision()
	if m.snapshot != nil && m.snapshot.Revision == revision {
		return m.snapshot, nil
	}
	snapshot, err := assemble(revision, m.store.List(""))
	if err != nil {
		return nil, err
	}
	m.snapshot = snapshot
	return snapshot, nil
}

// assemble builds a configuration from documents that are sorted by kind and name.
// It skips the founding records of zone groups.
func assemble(revision uint64, documents []versioned.Document) (*dynamic.Snapshot, error) {
	snapshot := &dynamic.Snapshot{Revision: revision}
	for _, document := range documents {
		var err error
		switch dynamic.Kind(document.Kind) {
		case dynamic.KindPolicy:
			err = appendDocument(&snapshot.Policies, document.Body)
		case dynamic.KindTenant:
			err = appendDocument(&snapshot.Tenants, document.Body)
		case dynamic.KindModel:
			err = appendDocument(&snapshot.Models, document.Body)
		case dynamic.KindApplication:
			err = appendDocument(&snapshot.Applications, document.Body)
		}
		if err != nil {
			return nil, fmt.Errorf("stored %s %q: %w", document.Kind, document.Name, err)
		}
	}
	return snapshot, nil
}

func appendDocument[T any](list *[]T, body []byte) error {
	var document T
	if err := json.Unmarshal(body, &document); err != nil {
		return err
	}
	*list = append(*list, document)
	return nil
}
