package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testCluster runs cores without storage: the contents of a Ready count as synced
// at once.
type testCluster struct {
	cores map[ReplicaID]*Core
	order []ReplicaID
	now   time.Duration
	// applied holds the committed entries that each core has returned.
	applied map[ReplicaID][]Entry
	reads   map[ReplicaID][]ReadState
	// drop reports whether a message is lost.
	drop func(Message) bool
}

func newTestCluster(t require.TestingT, voters int) *testCluster {
	cluster := &testCluster{cores: map[ReplicaID]*Core{}, applied: map[ReplicaID][]Entry{}, reads: map[ReplicaID][]ReadState{}}
	cluster.drop = func(Message) bool { return false }
	configuration := Configuration{Generation: 1, Founding: 5}
	for id := ReplicaID(1); id <= ReplicaID(voters); id++ {
		configuration.Members = append(configuration.Members, Member{ID: id})
	}
	for id := ReplicaID(1); id <= ReplicaID(voters); id++ {
		cluster.add(t, id).Found(0, configuration)
	}
	return cluster
}

func (cluster *testCluster) add(t require.TestingT, id ReplicaID) *Core {
	core, err := New(Config{
		ID: id, Now: cluster.now, Random: rand.New(rand.NewPCG(uint64(id), 9)), ElectionTimeout: 100 * time.Millisecond,
		SnapshotChunkBytes: 10, CatchUpEntries: 3,
	})
	require.NoError(t, err)
	cluster.cores[id] = core
	cluster.order = append(cluster.order, id)
	return core
}

// deliverAll processes all cores' work and messages until there are none left.
func (cluster *testCluster) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, id := range cluster.order {
			for cluster.cores[id].HasReady() {
				busy = true
				cluster.processReady(id)
			}
		}
	}
}

func (cluster *testCluster) processReady(id ReplicaID) {
	core := cluster.cores[id]
	ready := core.Ready()
	cluster.applied[id] = append(cluster.applied[id], ready.CommittedEntries...)
	cluster.reads[id] = append(cluster.reads[id], ready.ReadStates...)
	core.Advance()
	for _, message := range append(ready.MessagesBeforeSync, ready.MessagesAfterSync...) {
		if to := cluster.cores[message.To]; to != nil && !cluster.drop(message) {
			to.Step(cluster.now, message)
		}
	}
}

func (cluster *testCluster) advance(duration time.Duration) {
	for end := cluster.now + duration; cluster.now < end; {
		cluster.now += 5 * time.Millisecond
		for _, id := range cluster.order {
			cluster.cores[id].Tick(cluster.now)
		}
		cluster.deliverAll()
	}
}

func (cluster *testCluster) leader(t require.TestingT) *Core {
	var leader *Core
	for _, id := range cluster.order {
		if core := cluster.cores[id]; core.role == RoleLeader && (leader == nil || core.term > leader.term) {
			leader = core
		}
	}
	require.NotNil(t, leader, "no leader")
	return leader
}

func (cluster *testCluster) elect(t require.TestingT) *Core {
	cluster.advance(time.Second)
	return cluster.leader(t)
}

func TestSoleVoterLeadsWithoutWaiting(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.cores[1].Tick(0)
	cluster.deliverAll()
	_, err := cluster.cores[1].Propose(0, [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	require.NoError(t, cluster.cores[1].ReadIndex(0, 7))
	cluster.deliverAll()
	require.Len(t, cluster.applied[1], 3)
	require.Equal(t, []ReadState{{Context: 7, Index: foundingIndex + 1}}, cluster.reads[1], "a read need not see entries that are not synced yet")
}

func TestAcknowledgementsAreSentAfterSync(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	_, err := leader.Propose(cluster.now, [][]byte{[]byte("a")})
	require.NoError(t, err)
	ready := leader.Ready()
	require.NotNil(t, ready.HardState)
	require.Len(t, ready.MessagesBeforeSync, 2, "a leader sends entries while it syncs them")
	require.Empty(t, ready.CommittedEntries)
	leader.Advance()
	follower := cluster.cores[ready.MessagesBeforeSync[0].To]
	follower.Step(cluster.now, ready.MessagesBeforeSync[0])
	followerReady := follower.Ready()
	require.Len(t, followerReady.Entries, 1)
	require.Empty(t, followerReady.MessagesBeforeSync)
	require.Len(t, followerReady.MessagesAfterSync, 1, "a follower acknowledges after its sync")
	follower.Advance()

	follower.Step(cluster.now, Message{
		Kind: MessageVoteRequest, From: leader.config.ID, To: follower.config.ID, Founding: 5,
		Term: leader.term + 1, LogIndex: 99, LogTerm: 99, Transfer: true,
	})
	vote := follower.Ready()
	require.Equal(t, leader.config.ID, vote.HardState.Vote)
	require.Empty(t, vote.MessagesBeforeSync)
	require.Len(t, vote.MessagesAfterSync, 1)
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	cluster := newTestCluster(t, 3)
	old := cluster.elect(t)
	cluster.drop = func(message Message) bool { return message.To == old.config.ID }
	cluster.advance(150 * time.Millisecond)
	require.NotEqual(t, RoleLeader, old.role, "its messages arrive but no responses reach it")
	cluster.advance(time.Second)
	require.NotEqual(t, old.config.ID, cluster.leader(t).config.ID)
}

func TestReadWaitsForConfirmation(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	id := leader.config.ID
	cluster.drop = func(message Message) bool { return message.From == id }
	require.NoError(t, leader.ReadIndex(cluster.now, 1))
	cluster.deliverAll()
	require.Empty(t, cluster.reads[id])
	cluster.drop = func(Message) bool { return false }
	cluster.advance(50 * time.Millisecond)
	require.Len(t, cluster.reads[id], 1)
}

func TestIsolatedReplicaDoesNotRaiseTerm(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	term := leader.term
	isolated := ReplicaID(1)
	if leader.config.ID == isolated {
		isolated = 2
	}
	cluster.drop = func(message Message) bool { return message.To == isolated || message.From == isolated }
	cluster.advance(5 * time.Second)
	cluster.drop = func(Message) bool { return false }
	cluster.advance(time.Second)
	require.Equal(t, term, cluster.leader(t).term, "a replica that was isolated must not depose the leader")
}

func TestTransferNeedsNoElectionTimeout(t *testing.T) {
	cluster := newTestCluster(t, 3)
	old := cluster.elect(t)
	require.NoError(t, old.TransferLeadership(cluster.now, 0))
	_, err := old.Propose(cluster.now, [][]byte{nil})
	require.ErrorIs(t, err, ErrTransferring)
	cluster.deliverAll()
	require.NotEqual(t, old.config.ID, cluster.leader(t).config.ID, "without waiting for an election timeout")
}

func TestMembershipChanges(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	for range 20 {
		_, err := leader.Propose(cluster.now, [][]byte{[]byte("entry")})
		require.NoError(t, err)
		cluster.deliverAll()
	}
	configuration, term := leader.ConfigurationAt(leader.log.committed)
	snapshot := Snapshot{Index: leader.log.committed, Term: term, Configuration: configuration, Data: make([]byte, 95)}
	leader.Compact(snapshot, snapshot.Index)

	learner := Member{ID: 9}
	cluster.add(t, learner.ID)
	cluster.drop = func(message Message) bool { return message.To == learner.ID }
	_, err := leader.ProposeMembership(cluster.now, MembershipChange{AddLearner, learner})
	require.NoError(t, err)
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{RemoveMember, Member{ID: 1}})
	require.ErrorIs(t, err, ErrChangeInProgress)
	cluster.deliverAll()
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{AddLearner, learner})
	require.ErrorIs(t, err, ErrUnchanged)
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{PromoteLearner, learner})
	require.ErrorIs(t, err, ErrNotCaughtUp)

	chunks := 0
	cluster.drop = func(message Message) bool {
		if message.Kind == MessageSnapshotRequest {
			chunks++
			return chunks%3 == 0
		}
		return false
	}
	cluster.advance(time.Second)
	require.Greater(t, chunks, 9, "95 bytes in chunks of 10")
	require.Equal(t, snapshot.Index, cluster.cores[learner.ID].snapshot.Index)
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{PromoteLearner, learner})
	require.NoError(t, err)
	cluster.deliverAll()
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{RemoveMember, Member{ID: leader.config.ID}})
	require.NoError(t, err)
	cluster.deliverAll()
	require.NotEqual(t, RoleLeader, leader.role, "a leader that has removed itself steps down")
	cluster.advance(time.Second)
	require.Len(t, cluster.leader(t).configuration().Voters(), 3)
}

func TestRemovalThatLeavesNoActiveQuorumIsRejected(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	var unreachable, other ReplicaID
	for _, id := range leader.otherMembers() {
		unreachable, other = other, id
	}
	cluster.drop = func(message Message) bool { return message.From == unreachable || message.To == unreachable }
	cluster.advance(300 * time.Millisecond)
	_, err := leader.ProposeMembership(cluster.now, MembershipChange{RemoveMember, Member{ID: other}})
	require.ErrorIs(t, err, ErrQuorumAtRisk)
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{RemoveMember, Member{ID: unreachable}})
	require.NoError(t, err)
}

// TestLostEntriesAreDetected guards against a follower that silently continues
// after its disk has lost entries it had acknowledged. The follower restarts
// without them. The message count checks that it and the leader do not exchange
// rejected requests without end.
func TestLostEntriesAreDetected(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	follower := cluster.cores[leader.otherMembers()[0]]
	_, err := leader.Propose(cluster.now, [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	cluster.deliverAll()
	require.False(t, follower.HasLostEntries())
	reverted, err := New(Config{
		ID: follower.config.ID, Now: cluster.now, Random: rand.New(rand.NewPCG(1, 1)), ElectionTimeout: 100 * time.Millisecond,
		HardState: follower.hardState(), Snapshot: follower.snapshot,
	})
	require.NoError(t, err)
	cluster.cores[follower.config.ID] = reverted
	messages := 0
	cluster.drop = func(Message) bool { messages++; return false }
	cluster.advance(100 * time.Millisecond)
	require.True(t, reverted.HasLostEntries())
	require.Less(t, messages, 200)
}

func TestMessagesOfOtherGroupsAreIgnored(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	for _, message := range []Message{{Group: 1, Founding: 5}, {Founding: 6}, {}} {
		message.Kind, message.From, message.To, message.Term = MessageAppendRequest, 77, leader.config.ID, leader.term+9
		leader.Step(cluster.now, message)
		require.Equal(t, RoleLeader, leader.role)
	}
}

// TestQuorumValue checks the definition: a majority of values is at or above the
// result, but not above it.
func TestQuorumValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Uint64Range(0, 9), 1, 9).Draw(t, "values")
		result := quorumValue(append([]uint64(nil), values...))
		reaching := func(bound uint64) int {
			count := 0
			for _, value := range values {
				if value >= bound {
					count++
				}
			}
			return count
		}
		require.Greater(t, 2*reaching(result), len(values))
		require.LessOrEqual(t, 2*reaching(result+1), len(values))
	})
}
