package membership

import (
	"sort"
	"time"
)

//go:generate go tool msgp -file session.go -o session_gen.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Terms are the durations of a session. Its holder measures them with its own
// monotonic clock, from when it sent the heartbeat that renewed its lease. They
// are fixed when the session is opened.
type Terms struct {
	// HeartbeatMillis is the time between heartbeats.
	HeartbeatMillis int64 `msg:"heartbeat_ms"`
	// LeaseMillis: after this time only the isolation set may be used.
	LeaseMillis int64 `msg:"lease_ms"`
	// IsolationMillis: after this time nothing may be used.
	IsolationMillis int64 `msg:"isolation_ms"`
}

// Lease returns LeaseMillis as a duration.
func (t Terms) Lease() time.Duration { return time.Duration(t.LeaseMillis) * time.Millisecond }

// Heartbeat returns HeartbeatMillis as a duration.
func (t Terms) Heartbeat() time.Duration {
	return time.Duration(t.HeartbeatMillis) * time.Millisecond
}

// Isolation returns IsolationMillis as a duration.
func (t Terms) Isolation() time.Duration {
	return time.Duration(t.IsolationMillis) * time.Millisecond
}

// Valid reports whether the heartbeat interval is positive, the lease longer than
// it, and the isolation time no shorter than the lease.
func (t Terms) Valid() bool {
	return t.HeartbeatMillis > 0 && t.LeaseMillis > t.HeartbeatMillis && t.IsolationMillis >= t.LeaseMillis
}

// Session is the right of one process to use the targets.
type Session struct {
	// ID is unique among all sessions; later sessions have higher ids.
	ID       uint64 `msg:"id"`
	MemberID string `msg:"member_id"`
	// Incarnation is chosen at random at each start of the process.
	Incarnation uint64 `msg:"incarnation"`
	// Address stays bound by the process for as long as it may use a target.
	Address     string `msg:"address"`
	PeerAddress string `msg:"peer_address"`
	Terms       Terms  `msg:"terms"`
	// OpenedAt is the log position at which the session was opened.
	OpenedAt uint64 `msg:"opened_at"`
	// Sets are the isolation sets that the process may be using, oldest
	// first. The last is the current one.
	Sets []IsolationSet `msg:"sets"`
}

// IsolationSet lists the targets that a process may use while it is cut off from
// the leader.
type IsolationSet struct {
	// AssignedAt is the log position of the assignment.
	AssignedAt uint64 `msg:"assigned_at"`
	// Targets are sorted.
	Targets []string `msg:"targets"`
}

// Contains reports whether target is in the set.
func (s IsolationSet) Contains(target string) bool {
	i := sort.SearchStrings(s.Targets, target)
	return i < len(s.Targets) && s.Targets[i] == target
}

// CurrentSet returns the isolation set assigned last.
func (s *Session) CurrentSet() IsolationSet {
	if len(s.Sets) == 0 {
		return IsolationSet{}
	}
	return s.Sets[len(s.Sets)-1]
}

// MayUseIsolated reports whether a process that has acknowledged the view at
// position acknowledged may use target while it is cut off. A set may be in use
// until the process has acknowledged a later one.
func (s *Session) MayUseIsolated(target string, acknowledged uint64) bool {
	for i := s.firstSetInUse(acknowledged); i < len(s.Sets); i++ {
		if s.Sets[i].Contains(target) {
			return true
		}
	}
	return false
}

// firstSetInUse returns the index of the oldest set that may be in use by a
// process that has acknowledged the view at position acknowledged.
func (s *Session) firstSetInUse(acknowledged uint64) int {
	first := 0
	for i, set := range s.Sets {
		if set.AssignedAt <= acknowledged {
			first = i
		}
	}
	return first
}
