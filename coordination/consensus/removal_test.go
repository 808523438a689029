package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// change makes a membership change and waits for its commit.
func (cluster *testCluster) change(t require.TestingT, kind MembershipChangeKind, id ReplicaID) {
	_, err := cluster.leader(t).ProposeMembership(cluster.now, MembershipChange{kind, Member{ID: id}})
	require.NoError(t, err)
	cluster.deliverAll()
}

// TestAReplicaThatWasAwayLearnsThatItWasRemoved guards against a replica that takes
// its own log for the truth after it was removed while it was away, and so is never
// added again. It keeps its log: once added, it needs only what it missed.
func TestAReplicaThatWasAwayLearnsThatItWasRemoved(t *testing.T) {
	for name, learner := range map[string]bool{"voter": false, "learner": true} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 4)
			leader := cluster.elect(t)
			away := cluster.cores[leader.config.ID%4+1]
			if learner {
				away = cluster.add(t, 9)
				cluster.change(t, AddLearner, 9)
				cluster.advance(100 * time.Millisecond)
			}
			cluster.isolate(away.config.ID)
			cluster.advance(time.Second)
			leader = cluster.leader(t)
			cluster.change(t, RemoveMember, away.config.ID)
			cluster.heal()
			cluster.advance(time.Second)

			_, listed := away.configuration().Find(away.config.ID)
			require.True(t, listed, "its own log has it as a member")
			require.Equal(t, leader.membership.latestIndex(), away.Status().RemovedAt)
			require.Equal(t, leader, cluster.leader(t), "its campaigns disturb nobody")

			committed := away.log.committed
			cluster.change(t, AddLearner, away.config.ID)
			cluster.advance(100 * time.Millisecond)
			require.Zero(t, away.Status().RemovedAt)
			require.Equal(t, leader.log.committed, away.log.committed)
			require.Greater(t, away.log.committed, committed)
			cluster.change(t, PromoteLearner, away.config.ID)
			require.True(t, away.configuration().IsVoter(away.config.ID))
		})
	}
}

// TestAMemberThatMissedTheLastChangeRemovesNobody: one whose configuration is older than a
// new voter's own takes that voter for removed, and must not be believed.
func TestAMemberThatMissedTheLastChangeRemovesNobody(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	behind := leader.config.ID%3 + 1
	added := cluster.add(t, 9)
	cluster.isolate(behind)
	cluster.change(t, AddLearner, 9)
	cluster.advance(100 * time.Millisecond)
	cluster.change(t, PromoteLearner, 9)
	cluster.advance(100 * time.Millisecond)
	cluster.drop = func(message Message) bool {
		return !(message.From == 9 && message.To == behind || message.From == behind && message.To == 9)
	}
	cluster.advance(time.Second)
	require.Zero(t, added.Status().RemovedAt)
	require.NotEqual(t, RoleFollower, added.role, "it goes on campaigning")
}
