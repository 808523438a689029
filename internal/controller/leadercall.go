package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

const (
	leaderCallRetryInterval = 100 * time.Millisecond
	// leaderSearchElections is the number of election timeouts that the search
	// for a leader may take.
	leaderSearchElections = 6
	// minimumLeaderSearchTime is the lower bound of the time allowed for the search.
	minimumLeaderSearchTime = 2 * time.Second
)

// leaderCall finds the leader of a group by calling its members and following
// their leader hints. The call must carry a request ID or change nothing, since
// it may arrive more than once.
type leaderCall struct {
	groupName  string
	addresses  []string
	searchTime time.Duration
	// attempt calls the controller at an address.
	attempt func(ctx context.Context, address string) error
}

// leaderSearchTime returns how long a search for a leader may take.
func (c *Controller) leaderSearchTime() time.Duration {
	return max(minimumLeaderSearchTime, leaderSearchElections*c.settings.ElectionTimeout)
}

// run calls the members in turn until one executes the call or returns an error
// that the others would return too. If none does within the search time, the error
// says whether any attempt may have been executed.
func (l *leaderCall) run(ctx context.Context) error {
	deadline := time.Now().Add(l.searchTime)
	var last, outcomeUnknown error
	for {
		for _, address := range l.addresses {
			err := l.callFollowingRedirect(ctx, address)
			if err == nil || !shouldTryNextMember(err) {
				return err
			}
			last = err
			if failure.AnswerFor(err).Ran != failure.RanNo {
				outcomeUnknown = err
			}
		}
		if time.Now().After(deadline) || !lifecycle.Sleep(ctx, leaderCallRetryInterval) {
			return l.noAnswerError(last, outcomeUnknown)
		}
	}
}

// callFollowingRedirect calls one address and, if its error names another address
// as the leader, that address.
func (l *leaderCall) callFollowingRedirect(ctx context.Context, address string) error {
	err := l.attempt(ctx, address)
	leader := rpc.LeaderAddress(err)
	if err == nil || leader == "" || leader == address {
		return err
	}
	return l.attempt(ctx, leader)
}

func (l *leaderCall) noAnswerError(last, outcomeUnknown error) error {
	if outcomeUnknown != nil {
		return failure.New(failure.OutcomeUnknown,
			fmt.Sprintf("the leader of group %s did not answer: %v", l.groupName, outcomeUnknown))
	}
	return failure.New(failure.NoQuorum,
		fmt.Sprintf("no leader of group %s was found: %v", l.groupName, last))
}

// shouldTryNextMember reports whether another member of the group may be able to
// answer.
func shouldTryNextMember(err error) bool {
	if !rpc.Answered(err) {
		return true
	}
	switch failure.KindOf(err) {
	case failure.NotLeader, failure.NoQuorum, failure.NotReady, failure.Leaving, failure.NotFound,
		failure.OutcomeUnknown, failure.StorageFailed, failure.Internal, failure.QueueFull:
		return true
	}
	return false
}
