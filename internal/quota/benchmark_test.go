package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/quota"
)

const (
	// targetTenants and targetCoordinators are those of the largest region that is planned for.
	targetTenants      = 460
	targetCoordinators = 20
	// batched is the number of questions that go to the holder together at 3,000 a second.
	batched = 6
)

// BenchmarkQuestion is what one request of a tenant with a limit costs the coordinator that is
// asked, with the messages as they come and go, and what it costs the holder in a batch.
func BenchmarkQuestion(b *testing.B) {
	b.Run("asked", func(b *testing.B) {
		pool := targetPool()
		sent := 0
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			message := &quota.GatewayMessage{Questions: []quota.Question{targetQuestion(number)}}
			var read quota.GatewayMessage
			sent += carry(b, message, &read)
			pool.Ask(time.Minute, "10.0.0.1:7400", read.Questions[0])
			for _, each := range pool.Ready().Decisions {
				reply := &quota.GatewayReply{Answers: []quota.Answer{each.Answer}, Mode: each.Mode}
				sent += carry(b, reply, &quota.GatewayReply{})
			}
		}
		b.ReportMetric(float64(sent)/float64(b.N), "bytes/request")
	})
	b.Run("holder", func(b *testing.B) {
		pool := targetPool()
		sent := 0
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			message := &quota.PeerMessage{From: "10.0.0.2:7400", Life: 2, Time: int64(number)}
			for question := range batched {
				message.Questions = append(message.Questions, targetQuestion(number*batched+question))
			}
			var read quota.PeerMessage
			sent += carry(b, message, &read)
			pool.Receive(time.Minute, &read)
			for _, each := range pool.Ready().Messages {
				sent += carry(b, &each, &quota.PeerMessage{})
			}
		}
		b.ReportMetric(float64(sent)/float64(b.N)/batched, "bytes/request")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batched, "ns/request")
	})
}

// targetPool is the pool of a leader at the target size.
func targetPool() *quota.Pool {
	pool := quota.NewPool(0, quota.Options{Address: "10.0.0.1:7400", Life: 1, Lease: lease, Terms: terms})
	limits := map[string]quota.Limit{}
	for number := range targetTenants {
		limits[fmt.Sprint("tenant-", number)] = quota.Limit{Rate: 1e9, Burst: 1e9}
	}
	pool.SetLimits(0, limits)
	members := []string{}
	for number := range targetCoordinators {
		members = append(members, fmt.Sprintf("10.0.0.%d:7400", number+1))
	}
	pool.SetGroup(0, "10.0.0.1:7400", members)
	return pool
}

func targetQuestion(number int) quota.Question {
	return quota.Question{ID: uint64(number + 1), Account: fmt.Sprint("tenant-", number%targetTenants), Units: 200, Rank: number % 3}
}

// carry brings a message over the wire, and returns its size.
func carry(b *testing.B, message msgp.Marshaler, read msgp.Unmarshaler) int {
	b.Helper()
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := read.UnmarshalMsg(encoded); err != nil {
		b.Fatal(err)
	}
	return len(encoded)
}
