package consensus

// Role is the role of a replica in its group.
type Role uint8

// The roles of a replica.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role as used in logs.
func (role Role) String() string {
	switch role {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "invalid"
	}
}
