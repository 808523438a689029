package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzStep passes arbitrary messages to a leader or a follower. None may lower the
// core's term or commit index, or commit entries beyond the end of its log.
func FuzzStep(f *testing.F) {
	chunk := SnapshotChunk{Index: 50, Term: 1, Size: 2, Checksum: 3, Data: []byte("ab")}
	entry := Entry{Index: 3, Term: 1, Kind: EntryCommand, Data: []byte("x")}
	for _, seed := range []Message{
		{Kind: MessageAppendRequest, Term: 1, LogIndex: 2, LogTerm: 1, Commit: 3, Entries: []Entry{entry}},
		{Kind: MessageAppendResponse, Term: 1, LogIndex: 2, Rejected: true, HintIndex: 1, HintTerm: 1},
		{Kind: MessageHeartbeatRequest, Term: 1, Commit: 2, Round: 3},
		{Kind: MessageSnapshotRequest, Term: 1, Chunk: &chunk},
		{Kind: MessageSnapshotResponse, Term: 1, LogIndex: 1, Offset: 1},
		{Kind: MessageVoteRequest, Term: 3, LogIndex: 9, LogTerm: 2, Transfer: true},
		{Kind: MessagePreVoteResponse, Term: 2},
		{Kind: MessageTimeoutNow, Term: 1},
	} {
		encoded, err := seed.MarshalMsg(nil)
		require.NoError(f, err)
		f.Add(encoded, uint8(1), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, termOffset uint8, toLeader bool) {
		var message Message
		if _, err := message.UnmarshalMsg(data); err != nil {
			return
		}
		cluster := newTestCluster(t, 3)
		leader := cluster.elect(t)
		target, sender := leader, cluster.cores[leader.config.ID%3+1]
		if !toLeader {
			target, sender = sender, target
		}
		message.To, message.From, message.Founding = target.config.ID, sender.config.ID, 5
		message.Term = target.term + uint64(termOffset%3)
		committed, term := target.log.committed, target.term
		target.Step(cluster.now, message)
		require.GreaterOrEqual(t, target.term, term)
		require.GreaterOrEqual(t, target.log.committed, committed)
		require.LessOrEqual(t, target.log.committed, target.log.lastIndex())
		for target.HasReady() {
			target.Ready()
			target.Advance()
		}
		target.Tick(cluster.now + time.Second)
	})
}

// FuzzDecodeConfiguration checks that any bytes that decode to a configuration can
// be encoded and decoded again.
func FuzzDecodeConfiguration(f *testing.F) {
	configuration := Configuration{Generation: 1, Members: []Member{{ID: 1, Address: "a"}}}
	encoded, err := configuration.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		configuration, err := DecodeConfiguration(data)
		if err != nil {
			return
		}
		again, err := configuration.MarshalMsg(nil)
		require.NoError(t, err)
		_, err = DecodeConfiguration(again)
		require.NoError(t, err)
	})
}
