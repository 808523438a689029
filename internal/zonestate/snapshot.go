package zonestate

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/poison"
)

//go:generate go tool msgp -file snapshot.go -o snapshot_gen.go -tests=false -io=false -unexported
//msgp:limit arrays:65536 maps:65536

// snapshotFormat is the version of the snapshot's format.
const snapshotFormat = 2

// stateSnapshot contains the whole state except the once-only claims, whose snapshot
// follows it. The order of all lists is deterministic.
type stateSnapshot struct {
	Format        int                  `msg:"format"`
	Zone          string               `msg:"zone"`
	Generation    uint64               `msg:"generation"`
	Parameters    Parameters           `msg:"parameters"`
	PriorSessions bool                 `msg:"prior_sessions"`
	Applied       uint64               `msg:"applied"`
	Revision      uint64               `msg:"revision"`
	Config        *dynamic.Snapshot    `msg:"config,omitempty"`
	Engines       []Engine             `msg:"engines"`
	BackEnds      []BackEnd            `msg:"back_ends"`
	Removals      removalList          `msg:"removals"`
	Retired       retiredFences        `msg:"retired"`
	Rollouts      []Rollout            `msg:"rollouts"`
	Sessions      []membership.Session `msg:"sessions"`
	Requests      []requestRecord      `msg:"requests"`
	Poison        poison.State         `msg:"poison"`
}

// Snapshot implements replica.StateMachine.
func (s *State) Snapshot() ([]byte, error) { return s.Capture()() }

// Capture implements replica.Capturer. Only the claims are numerous, so they are encoded
// later, when the returned function is called.
func (s *State) Capture() func() ([]byte, error) {
	encodeClaims := s.onceOnly.Capture()
	encoded, err := s.encodeWithoutClaims()
	return func() ([]byte, error) {
		if err != nil {
			return nil, fmt.Errorf("encode snapshot: %w", err)
		}
		claims, err := encodeClaims()
		if err != nil {
			return nil, fmt.Errorf("snapshot claims: %w", err)
		}
		return append(encoded, claims...), nil
	}
}

// encodeWithoutClaims encodes the state without the claims.
func (s *State) encodeWithoutClaims() ([]byte, error) {
	snapshot := stateSnapshot{
		Format:        snapshotFormat,
		Zone:          s.zone,
		Generation:    s.generation,
		Parameters:    s.parameters,
		PriorSessions: s.priorSessions,
		Applied:       s.applied,
		Revision:      s.revision,
		Config:        s.config,
		Removals:      s.removals,
		Retired:       s.retired,
		Sessions:      s.sessions.Export(),
		Requests:      s.requests.list(),
		Poison:        s.poison,
	}
	for _, engine := range s.Engines() {
		snapshot.Engines = append(snapshot.Engines, *engine)
	}
	for _, backEnd := range s.BackEnds() {
		snapshot.BackEnds = append(snapshot.BackEnds, *backEnd)
	}
	for _, rollout := range s.Rollouts() {
		snapshot.Rollouts = append(snapshot.Rollouts, *rollout)
	}
	return snapshot.MarshalMsg(nil)
}

// Restore implements replica.StateMachine.
func (s *State) Restore(data []byte) error {
	if len(data) == 0 {
		s.reset()
		return nil
	}
	var snapshot stateSnapshot
	claims, err := snapshot.UnmarshalMsg(data)
	if err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if snapshot.Format != snapshotFormat {
		return fmt.Errorf("snapshot has format %d, want %d", snapshot.Format, snapshotFormat)
	}
	s.reset()
	if err := s.onceOnly.Restore(claims); err != nil {
		return fmt.Errorf("restore claims: %w", err)
	}
	s.importSnapshot(&snapshot)
	return nil
}

func (s *State) importSnapshot(snapshot *stateSnapshot) {
	s.zone = snapshot.Zone
	s.generation = snapshot.Generation
	s.parameters = snapshot.Parameters
	s.priorSessions = snapshot.PriorSessions
	s.applied = snapshot.Applied
	s.revision = snapshot.Revision
	s.config = snapshot.Config
	s.removals = snapshot.Removals
	s.retired = snapshot.Retired
	s.sessions.Import(snapshot.Sessions)
	s.poison = snapshot.Poison
	for i := range snapshot.Engines {
		s.engines[snapshot.Engines[i].ID] = &snapshot.Engines[i]
	}
	for i := range snapshot.BackEnds {
		s.backEnds[snapshot.BackEnds[i].ID] = &snapshot.BackEnds[i]
	}
	for i := range snapshot.Rollouts {
		s.rollouts[snapshot.Rollouts[i].Model] = &snapshot.Rollouts[i]
	}
	for _, record := range snapshot.Requests {
		s.requests.add(record)
	}
}
