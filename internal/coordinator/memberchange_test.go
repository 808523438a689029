package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
)

func member(id uint64, address string, learner, active bool) replica.MemberStatus {
	return replica.MemberStatus{
		Member:         consensus.Member{ID: consensus.ReplicaID(id), Address: address, Learner: learner},
		RecentlyActive: active,
	}
}

// Symptom: a group of three, one of which came back with an empty disk, had no
// leader for good once another was stopped (TestAMachineWithAnEmptyDiskTakesItsPlaceAgain,
// 2 of 72 with 24 processes at a time).
// Sequence: the new replica at the old address was promoted, the leader lost its
// lead before it removed the old voter, and the next leader saw no follower without
// a vote and decided nothing: four voters, one of them gone for good.
// Cause: nextChange looked for work only while a follower waited for a vote.
// The log: "membership change" "change"="replace" "error"="outcome of the proposal
// is unknown" beside "leader changed"; no "change"="remove" followed, and later
// terms ended without a leader.
func TestNextChange(t *testing.T) {
	const long = time.Minute
	voters := []replica.MemberStatus{member(1, "a", false, true), member(2, "b", false, true), member(3, "c", false, true)}
	lost := []replica.MemberStatus{member(1, "a", false, true), member(2, "b", false, true), member(3, "c", false, false)}
	for name, test := range map[string]struct {
		members []replica.MemberStatus
		silent  map[consensus.ReplicaID]time.Duration
		voters  int
		want    memberChange
	}{
		"all is well":                           {voters, nil, 3, memberChange{}},
		"a silent voter without a successor":    {lost, map[consensus.ReplicaID]time.Duration{3: long}, 3, memberChange{}},
		"a follower of a whole group waits":     {append(voters[:3:3], member(4, "d", true, true)), nil, 3, memberChange{}},
		"too few voters":                        {append(voters[:3:3], member(4, "d", true, true)), nil, 5, memberChange{kind: changePromote, replica: 4}},
		"a silent follower is not promoted":     {append(voters[:3:3], member(4, "d", true, false)), nil, 5, memberChange{}},
		"a follower takes a lost voter's place": {append(lost[:3:3], member(4, "d", true, true)), map[consensus.ReplicaID]time.Duration{3: 3 * time.Second}, 3, memberChange{kind: changeReplace, replica: 4, old: 3}},
		"a voter that is silent for a moment":   {append(lost[:3:3], member(4, "d", true, true)), map[consensus.ReplicaID]time.Duration{3: time.Second}, 3, memberChange{}},
		"a machine with an empty disk":          {append(lost[:3:3], member(4, "c", true, true)), nil, 3, memberChange{kind: changeReplace, replica: 4, old: 3}},
		"a follower that is gone":               {append(voters[:3:3], member(4, "d", true, false)), map[consensus.ReplicaID]time.Duration{4: long}, 3, memberChange{kind: changeRemove, replica: 4}},
		"a follower that lost its disk again": {
			append(lost[:3:3], member(4, "c", true, false), member(5, "c", true, true)),
			map[consensus.ReplicaID]time.Duration{4: time.Second}, 3,
			memberChange{kind: changeRemove, replica: 4},
		},
		"two voters at one address": {
			append(lost[:3:3], member(4, "c", false, true)),
			map[consensus.ReplicaID]time.Duration{3: time.Second}, 3,
			memberChange{kind: changeRemove, replica: 3},
		},
		"two voters at one address, neither heard yet": {
			append(lost[:3:3], member(4, "c", false, false)),
			map[consensus.ReplicaID]time.Duration{3: time.Second, 4: time.Second}, 3,
			memberChange{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			status := replica.Status{ID: 1, Members: test.members}
			assert.Equal(t, test.want, nextChange(status, test.silent, test.voters))
		})
	}
}

func TestSilenceBeginsAnewWithEachLeader(t *testing.T) {
	watch := memberWatch{lastHeard: map[uint64]time.Duration{}}
	status := replica.Status{ID: 1, Term: 2, Members: []replica.MemberStatus{member(1, "a", false, true), member(2, "b", false, false)}}
	watch.silences(0, status)
	assert.Equal(t, 10*time.Second, watch.silences(10*time.Second, status)[2])
	status.Term = 3
	assert.Zero(t, watch.silences(11*time.Second, status)[2])
}
