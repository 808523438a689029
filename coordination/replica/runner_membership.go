package replica

import (
	"context"
	"errors"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// AddLearner adds a non-voting member. It may be repeated.
func (r *Runner) AddLearner(ctx context.Context, member consensus.Member) error {
	return r.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.AddLearner, Member: member})
}

// Promote waits until a learner has caught up and makes it a voter. It may be
// repeated.
func (r *Runner) Promote(ctx context.Context, id consensus.ReplicaID) error {
	member := consensus.Member{ID: id}
	return r.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.PromoteLearner, Member: member})
}

// Remove removes a member. It may be repeated. A leader that removes itself
// steps down afterwards.
func (r *Runner) Remove(ctx context.Context, id consensus.ReplicaID) error {
	member := consensus.Member{ID: id}
	return r.changeMembership(ctx, consensus.MembershipChange{Kind: consensus.RemoveMember, Member: member})
}

// changeMembership makes one membership change. It retries while another change
// is in progress or the learner has not caught up, and returns nil if the
// membership already is as requested.
func (r *Runner) changeMembership(ctx context.Context, change consensus.MembershipChange) error {
	for {
		err := r.call(ctx, request{membershipChange: &change}).Err
		switch {
		case errors.Is(err, consensus.ErrUnchanged):
			return nil
		case errors.Is(err, consensus.ErrChangeInProgress), errors.Is(err, consensus.ErrNotCaughtUp):
		default:
			return err
		}
		never := func() bool { return false }
		if err := r.waitUntil(ctx, r.config.ElectionTimeout/10, never); !errors.Is(err, errWaitTimeout) {
			return err
		}
	}
}

// Replace replaces a member whose data is lost or that is to be removed. The new
// member becomes a learner and catches up before the voters change. Replace may
// be repeated after an error.
//
// The safer of the two changes of the voters comes first: an old member that is
// active keeps its vote until the new member is a voter; one that is lost is
// removed first, so that it no longer counts towards the majority.
func (r *Runner) Replace(ctx context.Context, old consensus.ReplicaID, member consensus.Member) error {
	if err := r.AddLearner(ctx, member); err != nil {
		return err
	}
	if err := r.awaitCaughtUp(ctx, member.ID); err != nil {
		return err
	}
	if r.isActive(old) {
		if err := r.Promote(ctx, member.ID); err != nil {
			return err
		}
		return r.Remove(ctx, old)
	}
	if err := r.Remove(ctx, old); err != nil {
		return err
	}
	return r.Promote(ctx, member.ID)
}

func (r *Runner) isActive(id consensus.ReplicaID) bool {
	member, found := r.Status().Member(id)
	return found && member.RecentlyActive
}

// awaitCaughtUp waits until a member has all entries that were committed when
// the call began.
func (r *Runner) awaitCaughtUp(ctx context.Context, id consensus.ReplicaID) error {
	targetIndex := r.Status().CommitIndex
	for {
		if r.isNotLeader() {
			return r.notLeaderError()
		}
		err := r.waitUntil(ctx, r.config.ElectionTimeout, func() bool {
			member, found := r.Status().Member(id)
			return found && member.MatchIndex >= targetIndex || r.isNotLeader()
		})
		if err == nil && !r.isNotLeader() || err != nil && !errors.Is(err, errWaitTimeout) {
			return err
		}
	}
}

func (r *Runner) notLeaderError() error {
	status := r.Status()
	leader, _ := status.Member(status.Leader)
	return &NotLeaderError{Leader: status.Leader, Address: leader.Address}
}
