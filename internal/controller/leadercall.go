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
	leaderCallPause = 100 * time.Millisecond
	// leaderCallElections is how many election timeouts the search for a
	// leader may take.
	leaderCallElections = 6
	// leaderCallMinimum is the least time of that search.
	leaderCallMinimum = 2 * time.Second
)

// leaderCall finds the leader of a group by asking its members, following their
// hints. The call must carry a request id, or change nothing, since it may
// arrive more than once.
type leaderCall struct {
	groupName string
	addresses []string
	search    time.Duration
	// attempt calls the controller at an address.
	attempt func(ctx context.Context, address string) error
}

// leaderSearchTime is how long a search for a leader may take.
func (c *Controller) leaderSearchTime() time.Duration {
	return max(leaderCallMinimum, leaderCallElections*c.settings.ElectionTimeout)
}

// run returns the answer of the leader. If none answers it says whether any
// attempt may have been carried out.
func (l *leaderCall) run(ctx context.Context) error {
	deadline := time.Now().Add(l.search)
	var last, unknown error
	for {
		for _, address := range l.addresses {
			err := l.follow(ctx, address)
			if err == nil || !isWorthAnother(err) {
				return err
			}
			last = err
			if failure.AnswerFor(err).Ran != failure.RanNo {
				unknown = err
			}
		}
		if time.Now().After(deadline) || !lifecycle.Sleep(ctx, leaderCallPause) {
			return l.giveUp(last, unknown)
		}
	}
}

// follow calls one address and, if it names the leader, that one.
func (l *leaderCall) follow(ctx context.Context, address string) error {
	err := l.attempt(ctx, address)
	leader := rpc.LeaderAddress(err)
	if err == nil || leader == "" || leader == address {
		return err
	}
	return l.attempt(ctx, leader)
}

func (l *leaderCall) giveUp(last, unknown error) error {
	if unknown != nil {
		return failure.New(failure.OutcomeUnknown,
			fmt.Sprintf("the leader of group %s did not answer: %v", l.groupName, unknown))
	}
	return failure.New(failure.NoQuorum,
		fmt.Sprintf("no leader of group %s was found: %v", l.groupName, last))
}

// isWorthAnother reports whether another member of the group may know better.
func isWorthAnother(err error) bool {
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
