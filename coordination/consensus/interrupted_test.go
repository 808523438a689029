package consensus

import (
	"bytes"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// isolate drops all messages from and to a replica.
func (cluster *testCluster) isolate(id ReplicaID) {
	cluster.drop = func(message Message) bool { return message.From == id || message.To == id }
}

func (cluster *testCluster) heal() { cluster.drop = func(Message) bool { return false } }

// TestUncommittedConfigurationIsRolledBack guards against a replica that keeps a
// configuration whose entry was replaced: an isolated leader appends a membership
// change that the next leader does not have.
func TestUncommittedConfigurationIsRolledBack(t *testing.T) {
	cluster := newTestCluster(t, 3)
	old := cluster.elect(t)
	cluster.isolate(old.config.ID)
	_, err := old.ProposeMembership(cluster.now, MembershipChange{AddLearner, Member{ID: 9}})
	require.NoError(t, err)
	_, found := old.configuration().Find(9)
	require.True(t, found, "a configuration takes effect when it is appended")
	cluster.advance(time.Second)
	cluster.heal()
	cluster.advance(time.Second)
	leader := cluster.leader(t)
	require.NotEqual(t, old.config.ID, leader.config.ID)
	_, found = old.configuration().Find(9)
	require.False(t, found)
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{AddLearner, Member{ID: 10}})
	require.NoError(t, err)
	cluster.deliverAll()
	require.Equal(t, leader.configuration(), old.configuration())
}

// TestNewLeaderWaitsForCommitInItsTerm delays the commit of the first entry of a
// new leader's term. Until then the leader must accept no membership change
// (Ongaro's correction of 2015) and confirm no read (Ongaro 2014, section 6.4).
func TestNewLeaderWaitsForCommitInItsTerm(t *testing.T) {
	cluster := newTestCluster(t, 3)
	first := cluster.elect(t)
	cluster.isolate(first.config.ID)
	dropOldLeader := cluster.drop
	cluster.drop = func(message Message) bool {
		return dropOldLeader(message) || message.Kind == MessageAppendResponse
	}
	cluster.advance(time.Second)
	leader := cluster.leader(t)
	require.NotEqual(t, first.config.ID, leader.config.ID)
	require.NoError(t, leader.ReadIndex(cluster.now, 42))
	_, err := leader.ProposeMembership(cluster.now, MembershipChange{AddLearner, Member{ID: 9}})
	require.ErrorIs(t, err, ErrChangeInProgress)
	cluster.advance(50 * time.Millisecond)
	require.Empty(t, cluster.reads[leader.config.ID])
	cluster.drop = dropOldLeader
	cluster.advance(100 * time.Millisecond)
	reads := cluster.reads[leader.config.ID]
	require.Len(t, reads, 1)
	term, _ := leader.log.term(reads[0].Index)
	require.Equal(t, leader.term, term)
	_, err = leader.ProposeMembership(cluster.now, MembershipChange{AddLearner, Member{ID: 9}})
	require.NoError(t, err)
}

// TestFailedTransferResumesProposals guards against a leader that rejects proposals
// forever after a failed transfer. The timeout-now message is lost: proposals must
// be rejected for an election timeout and accepted afterwards.
func TestFailedTransferResumesProposals(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	cluster.drop = func(message Message) bool { return message.Kind == MessageTimeoutNow }
	require.NoError(t, leader.TransferLeadership(cluster.now, 0))
	cluster.advance(leader.config.ElectionTimeout / 2)
	_, err := leader.Propose(cluster.now, [][]byte{nil})
	require.ErrorIs(t, err, ErrTransferring)
	cluster.advance(leader.config.ElectionTimeout)
	require.Equal(t, RoleLeader, leader.role)
	_, err = leader.Propose(cluster.now, [][]byte{nil})
	require.NoError(t, err)
}

// TestChunksOfTwoSnapshotsAreNotMixed guards against a snapshot assembled from
// chunks of two. The follower receives the first chunk of one snapshot and the
// rest of another of the same size, and then all chunks of the other.
func TestChunksOfTwoSnapshotsAreNotMixed(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	follower := cluster.cores[leader.otherMembers()[0]]
	cluster.isolate(follower.config.ID)
	chunk := func(index uint64, content byte, offset int) Message {
		data := bytes.Repeat([]byte{content}, 20)
		return Message{
			Kind: MessageSnapshotRequest, From: leader.config.ID, To: follower.config.ID, Founding: 5, Term: leader.term,
			Chunk: &SnapshotChunk{
				Index: index, Term: 1, Configuration: leader.configuration(), Size: 20,
				Checksum: xxhash.Sum64(data), Offset: uint64(offset), Data: data[offset : offset+10],
			},
		}
	}
	step := func(message Message) Message {
		follower.Step(cluster.now, message)
		ready := follower.Ready()
		follower.Advance()
		require.NotEmpty(t, ready.MessagesAfterSync)
		return ready.MessagesAfterSync[len(ready.MessagesAfterSync)-1]
	}
	require.EqualValues(t, 10, step(chunk(50, 'a', 0)).Offset)
	response := step(chunk(60, 'b', 10))
	require.True(t, response.Rejected)
	require.Zero(t, response.Offset)
	require.NotEqual(t, uint64(60), follower.snapshot.Index)
	require.EqualValues(t, 10, step(chunk(60, 'b', 0)).Offset)
	require.EqualValues(t, 10, step(chunk(60, 'b', 0)).Offset, "a repeated chunk adds nothing")
	step(chunk(60, 'b', 10))
	require.EqualValues(t, 60, follower.snapshot.Index)
	require.Equal(t, bytes.Repeat([]byte{'b'}, 20), follower.snapshot.Data)
}

// TestLeaderCountsItsEntriesOnlyAfterSync guards against the commit of an entry that
// only a minority has on disk: one of two followers acknowledges an entry that the
// leader itself has not synced yet.
func TestLeaderCountsItsEntriesOnlyAfterSync(t *testing.T) {
	cluster := newTestCluster(t, 3)
	leader := cluster.elect(t)
	committed := leader.log.committed
	position, err := leader.Propose(cluster.now, [][]byte{[]byte("x")})
	require.NoError(t, err)
	leader.Step(cluster.now, Message{
		Kind: MessageAppendResponse, From: leader.otherMembers()[0], To: leader.config.ID, Founding: 5,
		Term: leader.term, LogIndex: position.Index,
	})
	require.Equal(t, committed, leader.log.committed)
	leader.Ready()
	leader.Advance()
	require.Equal(t, position.Index, leader.log.committed)
}

// TestEarlierTermsAreNotCommittedByCounting covers the case of figure 3.7 of Ongaro
// 2014: an entry of an earlier term that is on a majority of disks may still be
// replaced until an entry of the leader's own term is committed after it.
func TestEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	cluster := newTestCluster(t, 3)
	old := cluster.elect(t)
	committed := old.log.committed
	cluster.drop = func(Message) bool { return true }
	earlierTermEntry, err := old.Propose(cluster.now, [][]byte{[]byte("x")})
	require.NoError(t, err)
	cluster.advance(time.Second)
	cluster.drop = func(message Message) bool {
		return message.Kind == MessageAppendRequest || message.Kind == MessageAppendResponse
	}
	old.startCampaign(true)
	cluster.deliverAll()
	require.Equal(t, RoleLeader, old.role)
	require.Greater(t, old.term, earlierTermEntry.Term)
	acknowledge := func(index uint64) {
		old.Step(cluster.now, Message{
			Kind: MessageAppendResponse, From: old.otherMembers()[0], To: old.config.ID, Founding: 5, Term: old.term, LogIndex: index,
		})
	}
	acknowledge(earlierTermEntry.Index)
	require.Equal(t, committed, old.log.committed)
	acknowledge(earlierTermEntry.Index + 1)
	require.Equal(t, earlierTermEntry.Index+1, old.log.committed)
}
