package coordinator

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
)

// changeKind is a kind of membership change.
type changeKind string

const (
	changeNone    changeKind = ""
	changePromote changeKind = "promote"
	changeRemove  changeKind = "remove"
	// changeReplace replaces a voter by a learner.
	changeReplace changeKind = "replace"
)

// memberChange is one step towards the desired membership.
type memberChange struct {
	kind changeKind
	// replica is the member to promote, to remove or to put in place of the voter old.
	replica consensus.ReplicaID
	old     consensus.ReplicaID
}

// nextChange returns the next membership change, if one is due:
//
//   - A learner with a voter's address is the voter's machine with an empty disk. It
//     replaces the voter, which can't return.
//   - If there are too few voters, a learner is promoted.
//   - A voter that has been silent for longer than voterSilence is replaced by a
//     learner, or removed if there are too many voters: a replacement whose leader was
//     lost between its two steps has left one.
//   - A learner that has been silent for longer than learnerSilence, or is superseded
//     at its address, is removed.
//   - Of two voters at one address, the one that has been silent for longer is
//     removed. They are left by a replacement whose leader was lost between its two
//     steps. The old voter can't return, and while it counts, the loss of one more
//     machine of three leaves two of four voters, which can't elect a leader.
//
// If no learner is available, a silent voter stays: it may return with its disk.
func nextChange(status replica.Status, silences map[consensus.ReplicaID]time.Duration, wantedVoters int) memberChange {
	var voters, ready []replica.MemberStatus
	for _, member := range status.Members {
		switch {
		case !member.Learner:
			voters = append(voters, member)
		case silences[member.ID] > learnerSilence || isSuperseded(status.Members, member, silences):
			return memberChange{kind: changeRemove, replica: member.ID}
		case member.RecentlyActive:
			ready = append(ready, member)
		}
	}
	for _, learner := range ready {
		for _, voter := range voters {
			if voter.Address == learner.Address {
				return memberChange{kind: changeReplace, replica: learner.ID, old: voter.ID}
			}
		}
	}
	for _, voter := range voters {
		if voter.ID != status.ID && isSuperseded(voters, voter, silences) {
			return memberChange{kind: changeRemove, replica: voter.ID}
		}
	}
	silent := silentVoter(status.ID, voters, silences)
	if len(voters) > wantedVoters && silent != 0 {
		return memberChange{kind: changeRemove, replica: silent}
	}
	if len(ready) == 0 {
		return memberChange{}
	}
	if len(voters) < wantedVoters {
		return memberChange{kind: changePromote, replica: ready[0].ID}
	}
	if silent != 0 {
		return memberChange{kind: changeReplace, replica: ready[0].ID, old: silent}
	}
	return memberChange{}
}

// silentVoter returns the other voter that has been silent for longest, if that is longer than
// voterSilence, and 0 otherwise.
func silentVoter(self consensus.ReplicaID, voters []replica.MemberStatus, silences map[consensus.ReplicaID]time.Duration) consensus.ReplicaID {
	silent := consensus.ReplicaID(0)
	longest := voterSilence
	for _, voter := range voters {
		if voter.ID != self && silences[voter.ID] > longest {
			silent, longest = voter.ID, silences[voter.ID]
		}
	}
	return silent
}

// isSuperseded reports whether another active member has the same address and was
// heard more recently. This member's disk is lost then.
func isSuperseded(members []replica.MemberStatus, member replica.MemberStatus, silences map[consensus.ReplicaID]time.Duration) bool {
	for _, other := range members {
		if other.ID != member.ID && other.Address == member.Address && other.RecentlyActive &&
			silences[member.ID] > silences[other.ID] {
			return true
		}
	}
	return false
}

// hasUniqueAddress reports whether no other voter has the member's address.
func hasUniqueAddress(members []replica.MemberStatus, member replica.MemberStatus) bool {
	for _, other := range members {
		if other.ID != member.ID && !other.Learner && other.Address == member.Address {
			return false
		}
	}
	return true
}
