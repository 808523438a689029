package placement_test

import (
	"fmt"
	"testing"

	"github.com/pierhaven/pierhaven/internal/region"
)

// BenchmarkQuery measures a query for a prefill and the release of its lease, with the encoding
// and decoding of messages, for several numbers of replicas of which 23 in 100 are prefill
// replicas.
func BenchmarkQuery(b *testing.B) {
	for _, size := range []int{32, 160, 3700} {
		b.Run(fmt.Sprint(size, " replicas"), func(b *testing.B) {
			var replicas []region.Replica
			for number := range size {
				stage := region.StageDecode
				if number*100 < 23*size {
					stage = region.StagePrefill
				}
				replicas = append(replicas, replica(fmt.Sprint("r", number), stage))
			}
			s := newTestServer(replicas...)
			var sequence uint64
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				asked := &region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: sequence, Question: newPrefillQuery(sequence, "shared")}
				reply := s.HandleMessage(overTheWire(b, asked))
				if reply == nil || reply.Answer.Outcome != region.PlacementGranted {
					b.Fatal("no lease")
				}
				if _, err := reply.MarshalMsg(nil); err != nil {
					b.Fatal(err)
				}
				sequence++
				s.HandleMessage(overTheWire(b, &region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: sequence, Events: []region.LeaseEvent{
					{Lease: sequence - 1, Kind: region.LeaseReleased},
				}}))
			}
		})
	}
}

// overTheWire encodes and decodes a message.
func overTheWire(b *testing.B, message *region.PlacementMessage) *region.PlacementMessage {
	b.Helper()
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	read := &region.PlacementMessage{}
	if _, err := read.UnmarshalMsg(encoded); err != nil {
		b.Fatal(err)
	}
	return read
}
