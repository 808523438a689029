package coordinator

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
)

// changeKind names a change of the members.
type changeKind string

const (
	changeNone    changeKind = ""
	changePromote changeKind = "promote"
	changeRemove  changeKind = "remove"
	// changeReplace puts a follower without a vote in the place of a voter.
	changeReplace changeKind = "replace"
)

// memberChange is one step towards the wanted members.
type memberChange struct {
	kind changeKind
	// replica is promoted, removed or put in; old is the voter replaced.
	replica consensus.ReplicaID
	old     consensus.ReplicaID
}

// nextChange decides on the next change of the members, if one is due:
//
//   - a follower whose address is a voter's is that machine with an empty disk:
//     it takes the voter's place, since the voter can't come back;
//   - with too few voters, a follower gets a vote;
//   - a voter that has been silent for long gives its place to a follower;
//   - a follower that has been silent for very long is removed;
//   - of two voters at one address, left by a replacement whose leader was lost
//     between its two steps, the more silent one is removed: it can't come back,
//     and while it counts, the loss of one more machine of three leaves two of
//     four, which elect nobody.
//
// Without a follower to step in, a silent voter stays: it may come back with its
// disk.
func nextChange(status replica.Status, silent map[consensus.ReplicaID]time.Duration, wantedVoters int) memberChange {
	var voters, ready []replica.MemberStatus
	for _, member := range status.Members {
		switch {
		case !member.Learner:
			voters = append(voters, member)
		case silent[member.ID] > learnerSilence || replacedAt(status.Members, member, silent):
			return memberChange{kind: changeRemove, replica: member.ID}
		case member.RecentlyActive:
			ready = append(ready, member)
		}
	}
	for _, follower := range ready {
		for _, voter := range voters {
			if voter.Address == follower.Address {
				return memberChange{kind: changeReplace, replica: follower.ID, old: voter.ID}
			}
		}
	}
	for _, voter := range voters {
		if voter.ID != status.ID && replacedAt(voters, voter, silent) {
			return memberChange{kind: changeRemove, replica: voter.ID}
		}
	}
	if len(ready) == 0 {
		return memberChange{}
	}
	if len(voters) < wantedVoters {
		return memberChange{kind: changePromote, replica: ready[0].ID}
	}
	for _, voter := range voters {
		if voter.ID != status.ID && silent[voter.ID] > voterSilence {
			return memberChange{kind: changeReplace, replica: ready[0].ID, old: voter.ID}
		}
	}
	return memberChange{}
}

// replacedAt reports whether another, active one of the members has the same
// address and was heard later: then this one's disk is gone.
func replacedAt(members []replica.MemberStatus, member replica.MemberStatus, silent map[consensus.ReplicaID]time.Duration) bool {
	for _, other := range members {
		if other.ID != member.ID && other.Address == member.Address && other.RecentlyActive &&
			silent[member.ID] > silent[other.ID] {
			return true
		}
	}
	return false
}

// aloneAt reports whether no other voter has the member's address.
func aloneAt(members []replica.MemberStatus, member replica.MemberStatus) bool {
	for _, other := range members {
		if other.ID != member.ID && !other.Learner && other.Address == member.Address {
			return false
		}
	}
	return true
}
