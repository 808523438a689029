package peer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
)

// message is a type that can be encoded and decoded.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Every command that a leader accepts into its log must fit into the messages
// between replicas: if followers reject an entry's message as too large, the group
// can't commit anything any more.
func TestLargestCommandFitsInMessages(t *testing.T) {
	command := make([]byte, replica.DefaultMaxCommandBytes)
	entry := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryCommand, Data: command}
	tests := map[string]struct{ sent, received message }{
		"append request": {
			&peer.ConsensusBatch{Messages: []consensus.Message{{Kind: consensus.MessageAppendRequest, Entries: []consensus.Entry{entry}}}},
			&peer.ConsensusBatch{},
		},
		"proposal": {&peer.ProposeRequest{Command: command}, &peer.ProposeRequest{}},
		"result":   {&peer.ProposeReply{Result: command}, &peer.ProposeReply{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			encoded, err := test.sent.MarshalMsg(nil)
			require.NoError(t, err)
			_, err = test.received.UnmarshalMsg(encoded)
			require.NoError(t, err)
			require.Equal(t, test.sent, test.received)
		})
	}
}

// A short message whose header declares a large number of elements must be rejected
// before the process allocates them.
func TestOversizedArrayHeadersAreRejected(t *testing.T) {
	claimed := msgp.AppendMapHeader(nil, 1)
	claimed = msgp.AppendString(claimed, "messages")
	claimed = msgp.AppendArrayHeader(claimed, 1<<31)
	_, err := (&peer.ConsensusBatch{}).UnmarshalMsg(claimed)
	require.ErrorIs(t, err, msgp.ErrLimitExceeded)
}
