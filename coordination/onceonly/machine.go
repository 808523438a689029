package onceonly

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// snapshotFormat is the version of the snapshot's layout.
const snapshotFormat = 1

// Apply implements replica.StateMachine: it executes an encoded Command and
// returns an encoded Reply.
func (t *Table) Apply(_ uint64, data []byte) []byte {
	reply := Reply{Status: StatusInvalid}
	if command, err := DecodeCommand(data); err == nil {
		reply = t.Step(&command)
	}
	encoded, err := reply.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return encoded
}

// Snapshot implements replica.StateMachine.
func (t *Table) Snapshot() ([]byte, error) { return t.Capture()() }

// Capture implements replica.Capturer.
func (t *Table) Capture() func() ([]byte, error) {
	t.captures++
	snapshot := tableSnapshot{
		Format:              snapshotFormat,
		Parameters:          t.parameters,
		LogMillis:           t.logMillis,
		HorizonMillis:       t.horizonMillis,
		OpaqueBlockedMillis: t.opaqueBlockedMillis,
	}
	snapshot.Entries = make([]*entry, 0, len(t.entries))
	for _, current := range t.entries {
		snapshot.Entries = append(snapshot.Entries, current)
	}
	return snapshot.encode
}

// encode sorts the entries and encodes the snapshot.
func (s *tableSnapshot) encode() ([]byte, error) {
	slices.SortFunc(s.Entries, func(left, right *entry) int {
		return cmp.Or(cmp.Compare(left.Tenant, right.Tenant), cmp.Compare(left.Key, right.Key))
	})
	data, err := s.MarshalMsg(make([]byte, 0, s.Msgsize()))
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore implements replica.StateMachine.
func (t *Table) Restore(data []byte) error {
	if len(data) == 0 {
		t.reset()
		return nil
	}
	var snapshot tableSnapshot
	if _, err := snapshot.UnmarshalMsg(data); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if snapshot.Format != snapshotFormat {
		return fmt.Errorf("snapshot has format %d, want %d", snapshot.Format, snapshotFormat)
	}
	t.reset()
	t.parameters = snapshot.Parameters
	t.logMillis = snapshot.LogMillis
	t.horizonMillis = snapshot.HorizonMillis
	t.opaqueBlockedMillis = snapshot.OpaqueBlockedMillis
	for _, restored := range snapshot.Entries {
		if restored == nil {
			return errors.New("decode snapshot: entry is missing")
		}
		t.insert(restored)
	}
	return nil
}
