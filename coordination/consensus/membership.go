package consensus

import "sort"

// MembershipChangeKind is the kind of a membership change.
type MembershipChangeKind uint8

// The kinds of membership changes. Only one change is in progress at a time.
const (
	// AddLearner adds a member without a vote.
	AddLearner MembershipChangeKind = iota + 1
	// PromoteLearner makes a learner that has caught up a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner.
	RemoveMember
)

// MembershipChange changes one member of a configuration.
type MembershipChange struct {
	Kind   MembershipChangeKind
	Member Member
}

// Find returns the member with the given id.
func (configuration Configuration) Find(id ReplicaID) (Member, bool) {
	for _, member := range configuration.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voting member.
func (configuration Configuration) IsVoter(id ReplicaID) bool {
	member, found := configuration.Find(id)
	return found && !member.Learner
}

// Voters returns the ids of the voting members in ascending order.
func (configuration Configuration) Voters() []ReplicaID {
	voters := make([]ReplicaID, 0, len(configuration.Members))
	for _, member := range configuration.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Quorum returns the number of voters that form a majority.
func (configuration Configuration) Quorum() int {
	return len(configuration.Voters())/2 + 1
}

// Clone returns a copy that shares no memory with the original.
func (configuration Configuration) Clone() Configuration {
	clone := configuration
	clone.Members = append([]Member(nil), configuration.Members...)
	return clone
}

// Sort sorts the members by ascending ID.
func (configuration Configuration) Sort() {
	members := configuration.Members
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
}
