package peer

import (
	"testing"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/internal/recorded"
)

// samples returns a batch for each kind of consensus message, with the fields that an earlier build had.
func samples() recorded.Samples {
	members := consensus.Configuration{Generation: 1, Founding: 77, Members: []consensus.Member{{ID: 1, Address: "10.0.0.3:7380"}, {ID: 2, Address: "10.0.0.4:7380", Learner: true}}}
	batch := func(message consensus.Message) *ConsensusBatch {
		message.Group, message.Founding, message.From, message.To, message.Term = 1, 77, 1, 2, 5
		return &ConsensusBatch{From: "10.0.0.3:7380", Messages: []consensus.Message{message}}
	}
	return recorded.Samples{
		"append":   batch(consensus.Message{Kind: 1, LogIndex: 8, LogTerm: 4, Commit: 7, Entries: []consensus.Entry{{Index: 9, Term: 5, Kind: 1, Data: []byte("data")}}, Round: 3}),
		"response": batch(consensus.Message{Kind: 2, LogIndex: 8, Rejected: true, HintIndex: 6, HintTerm: 4, Round: 3}),
		"snapshot": batch(consensus.Message{Kind: 3, Chunk: &consensus.SnapshotChunk{Index: 8, Term: 4, Configuration: members, Size: 4, Checksum: 6, Offset: 0, Data: []byte("data")}}),
		"vote":     batch(consensus.Message{Kind: 4, LogIndex: 8, LogTerm: 4, Transfer: true}),
	}
}

func TestMessagesOfAnEarlierBuildAreRead(t *testing.T) { samples().Check(t) }

func FuzzMessages(f *testing.F) { samples().Fuzz(f) }
