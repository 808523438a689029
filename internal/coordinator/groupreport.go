package coordinator

import "github.com/pierhaven/pierhaven/coordination/consensus"

// GroupReport is the group of a region's coordinators, as one of them sees it.
type GroupReport struct {
	// Address and Replica are those of the coordinator that reports.
	Address string `json:"address"`
	Replica uint64 `json:"replica"`
	// Member is false while the coordinator is no member of the group, as far as it knows. RemovedAt is
	// the position in the log of the change that has removed it, 0 if it was told of none.
	Member    bool   `json:"member"`
	RemovedAt uint64 `json:"removed_at,omitempty"`
	// Problem says why its data can't be used or kept, empty if they can.
	Problem string `json:"problem,omitempty"`
	// Leader is the address of the leader, empty if none is known. LeaderSilentMillis is the time since
	// a leader was heard, 0 for the leader itself.
	Leader             string `json:"leader"`
	LeaderSilentMillis int64  `json:"leader_silent_ms"`
	// WantedVoters is the number of voters that the settings ask for.
	WantedVoters int           `json:"wanted_voters"`
	Members      []GroupMember `json:"members"`
}

// GroupMember is one coordinator of a group.
type GroupMember struct {
	Address string `json:"address"`
	Replica uint64 `json:"replica"`
	Voter   bool   `json:"voter"`
	// Heard is whether the leader has heard from it of late; only the leader knows.
	Heard bool `json:"heard"`
}

// Group returns the group as this coordinator sees it.
func (c *Coordinator) Group() GroupReport {
	status := c.group.Runner.Status()
	report := GroupReport{
		Address:            c.settings.Address,
		Replica:            uint64(status.ID),
		Member:             status.IsMember(),
		RemovedAt:          status.RemovedAt,
		Leader:             c.group.LeaderAddress(),
		LeaderSilentMillis: status.LeaderSilence.Milliseconds(),
		WantedVoters:       c.settings.Voters,
		Members:            []GroupMember{},
	}
	for _, problem := range []error{status.Quarantined, status.Stalled} {
		if problem != nil {
			report.Problem = problem.Error()
		}
	}
	leads := status.Role == consensus.RoleLeader
	for _, member := range status.Members {
		report.Members = append(report.Members, GroupMember{
			Address: member.Address, Replica: uint64(member.ID), Voter: !member.Learner, Heard: leads && member.RecentlyActive,
		})
	}
	return report
}
