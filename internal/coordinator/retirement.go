package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

const (
	// retirementTimeout bounds the wait of a voter that stops for a learner to take its place.
	retirementTimeout = 2 * electionTimeout
	// retirementInterval is the time between two looks at whether one has.
	retirementInterval = 20 * time.Millisecond
)

// retirements are the voters that have announced to the leader that they stop. Until voterSilence
// is over, after which their silence tells the same, they count as silent. It is safe for
// concurrent use.
type retirements struct {
	mutex       sync.Mutex
	announcedAt map[consensus.ReplicaID]time.Duration
}

func (r *retirements) announce(id consensus.ReplicaID, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.announcedAt[id] = now
}

// addTo lengthens the silences of the members that have announced that they stop.
func (r *retirements) addTo(silences map[consensus.ReplicaID]time.Duration, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, at := range r.announcedAt {
		if now-at > voterSilence {
			delete(r.announcedAt, id)
			continue
		}
		if silence, listed := silences[id]; listed {
			silences[id] = silence + voterSilence + time.Nanosecond
		}
	}
}

// giveUpVote gives this coordinator's vote to a learner before a planned stop, if there is one: the
// machine may be gone for good, and the group would count on it until its silence is noticed.
func (c *Coordinator) giveUpVote() {
	status := c.group.Runner.Status()
	if !isVoter(status, status.ID) || !hasLearner(status) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retirementTimeout)
	defer cancel()
	err := c.requestFromOthers(ctx, region.PathRetire)
	for err != nil && lifecycle.Sleep(ctx, retirementInterval) {
		err = c.requestFromOthers(ctx, region.PathRetire)
	}
	c.logger.Info(event.VoteGivenUp, "replica", uint64(status.ID), "error", failure.Text(err))
}

// handleRetire has a voter that is about to stop replaced, if a learner can take its place at
// once, and returns when that is done.
func (c *Coordinator) handleRetire(ctx context.Context, request *region.JoinRequest) (*peer.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, retirementTimeout)
	defer cancel()
	id := consensus.ReplicaID(request.Replica)
	if c.group.Leads() {
		c.retirements.announce(id, c.now())
	}
	for {
		status := c.group.Runner.Status()
		switch {
		case status.Role != consensus.RoleLeader:
			return nil, rpc.NotLeader(c.group.LeaderAddress())
		case !isVoter(status, id) || !hasActiveLearner(status) && !hasSurplus(status, c.settings.Voters):
			return &peer.Empty{}, nil
		case !lifecycle.Sleep(ctx, retirementInterval):
			return nil, failure.New(failure.ChangeInProgress, "the voter was not replaced in time")
		}
	}
}

func isVoter(status replica.Status, id consensus.ReplicaID) bool {
	member, listed := status.Member(id)
	return listed && !member.Learner
}

func hasLearner(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(member replica.MemberStatus) bool { return member.Learner })
}

func hasActiveLearner(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(member replica.MemberStatus) bool { return member.Learner && member.RecentlyActive })
}

// hasSurplus reports whether there are more voters than wanted: a replacement is between its two
// steps.
func hasSurplus(status replica.Status, wantedVoters int) bool {
	voters := 0
	for _, member := range status.Members {
		if !member.Learner {
			voters++
		}
	}
	return voters > wantedVoters
}
