package controller

import (
	"errors"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/replication"
)

// groupNumber returns the number that identifies a group on the wire. It is a hash
// of the name, which is the zone for zone groups, so that all controllers agree
// without communicating.
func groupNumber(name string) uint64 {
	if name == operatorapi.GroupConfig {
		return xxhash.Sum64String("config")
	}
	return xxhash.Sum64String("zone/" + name)
}

// openGroup opens this controller's replica of a group without starting it.
func openGroup(settings Settings, name, folder string, machine replica.StateMachine, transport *replication.Transport) (*replication.Group, error) {
	return replication.Open(replication.Options{
		Name:            name,
		Number:          groupNumber(name),
		Directory:       filepath.Join(settings.DataFolder, folder),
		FileSystem:      settings.FileSystem,
		Machine:         machine,
		ElectionTimeout: settings.ElectionTimeout,
		Heartbeat:       settings.RaftHeartbeat,
		SnapshotEntries: settings.SnapshotEntries,
		Timeout:         settings.ProposalTimeout,
		Logger:          settings.Logger,
	}, transport)
}

// groupState describes the hosted replica and its group for operators.
func groupState(g *replication.Group) operatorapi.GroupState {
	status := g.Runner.Status()
	state := operatorapi.GroupState{
		Name:          g.Name,
		ReplicaID:     uint64(status.ID),
		Generation:    status.Generation,
		Role:          status.Role.String(),
		Term:          status.Term,
		Leader:        uint64(status.Leader),
		LeaderAddress: g.LeaderAddress(),
		CommitIndex:   status.CommitIndex,
		AppliedIndex:  status.AppliedIndex,
		Members:       []operatorapi.Member{},
	}
	for _, member := range status.Members {
		state.Members = append(state.Members, operatorapi.Member{
			ReplicaID:  uint64(member.ID),
			Address:    member.Address,
			Learner:    member.Learner,
			MatchIndex: member.MatchIndex,
			Active:     member.RecentlyActive,
		})
	}
	switch {
	case len(status.Members) == 0:
		state.Role = roleJoining
	case status.RemovedAt != 0:
		state.Role = roleRemoved
	}
	if problem := errors.Join(status.Quarantined, status.Err); problem != nil {
		state.Problem = problem.Error()
	}
	return state
}

const (
	// roleJoining is the reported role of a replica that does not know its group yet.
	roleJoining = "joining"
	// roleRemoved is that of one that was told that it is no member any more.
	roleRemoved = "removed"
)
