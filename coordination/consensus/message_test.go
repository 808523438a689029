package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestArbitraryMessagesNeverLowerTheTerm passes a leader messages with arbitrary
// field values, as the decoder accepts them. None may lower its term or make it
// panic.
func TestArbitraryMessagesNeverLowerTheTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(t, 3)
		target := cluster.elect(t)
		small := rapid.Uint64Range(0, 6)
		for range rapid.IntRange(1, 30).Draw(t, "count") {
			message := Message{
				Kind: MessageKind(rapid.Uint8Range(0, 13).Draw(t, "kind")), From: ReplicaID(small.Draw(t, "from")),
				To: target.config.ID, Founding: 5, Term: small.Draw(t, "term"), LogIndex: small.Draw(t, "index"),
				LogTerm: small.Draw(t, "log term"), Commit: small.Draw(t, "commit"), Rejected: rapid.Bool().Draw(t, "rejected"),
				HintIndex: small.Draw(t, "hint"), HintTerm: small.Draw(t, "hint term"), Round: small.Draw(t, "round"),
				Offset: small.Draw(t, "offset"), Transfer: rapid.Bool().Draw(t, "transfer"),
			}
			if rapid.Bool().Draw(t, "chunk") {
				message.Chunk = &SnapshotChunk{Index: small.Draw(t, "chunk index"), Term: small.Draw(t, "chunk term"), Size: small.Draw(t, "size")}
			}
			if rapid.Bool().Draw(t, "entries") {
				message.Entries = []Entry{{Index: message.LogIndex + 1, Term: small.Draw(t, "entry term"), Kind: EntryConfiguration, Data: []byte{0xc1}}}
			}
			term := target.term
			target.Step(cluster.now, message)
			require.GreaterOrEqual(t, target.term, term)
			for target.HasReady() {
				target.Ready()
				target.Advance()
			}
		}
	})
}

// FuzzMessage checks that any bytes that decode to a message can be encoded and
// decoded again.
func FuzzMessage(f *testing.F) {
	seed := Message{Kind: MessageAppendRequest, From: 1, To: 2, Term: 3, Entries: []Entry{{Index: 4, Term: 3, Data: []byte("x")}}}
	encoded, err := seed.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var message, again Message
		if _, err := message.UnmarshalMsg(data); err != nil {
			return
		}
		encoded, err := message.MarshalMsg(nil)
		require.NoError(t, err)
		_, err = again.UnmarshalMsg(encoded)
		require.NoError(t, err)
	})
}
