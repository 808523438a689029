package placement_test

import (
	"fmt"
	"testing"

	"github.com/pierhaven/pierhaven/internal/region"
)

// BenchmarkQuestion is one question for the reader of a prompt, and the end of the lease, as
// they come from the network and go back, among numbers of replicas of which 23 in 100 read.
func BenchmarkQuestion(b *testing.B) {
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
			s := newServed(replicas...)
			var sequence uint64
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				asked := &region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: sequence, Question: readQuestion(sequence, "shared")}
				reply := s.Take(overTheWire(b, asked))
				if reply == nil || reply.Answer.Outcome != region.PlacementGranted {
					b.Fatal("no lease")
				}
				if _, err := reply.MarshalMsg(nil); err != nil {
					b.Fatal(err)
				}
				sequence++
				s.Take(overTheWire(b, &region.PlacementMessage{Gateway: "gateway", Life: 1, Sequence: sequence, Events: []region.LeaseEvent{
					{Lease: sequence - 1, Kind: region.LeaseReleased},
				}}))
			}
		})
	}
}

// overTheWire is a message as its receiver reads it.
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
