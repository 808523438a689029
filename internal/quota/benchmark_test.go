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
	// batchSize is the number of queries sent to the holder together at 3,000 a second.
	batchSize = 6
)

// BenchmarkQuery measures the cost of one request of a tenant with a limit: at the coordinator
// that is asked, including the encoding of messages, and at the holder, which gets queries in batches.
func BenchmarkQuery(b *testing.B) {
	b.Run("asked", func(b *testing.B) {
		pool := targetPool()
		sent := 0
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			message := &quota.GatewayMessage{Queries: []quota.Query{targetQuery(number)}}
			var read quota.GatewayMessage
			sent += roundTrip(b, message, &read)
			pool.HandleQuery(time.Minute, "10.0.0.1:7400", read.Queries[0])
			for _, each := range pool.Ready().Decisions {
				reply := &quota.GatewayReply{Answers: []quota.Answer{each.Answer}, Mode: each.Mode}
				sent += roundTrip(b, reply, &quota.GatewayReply{})
			}
		}
		b.ReportMetric(float64(sent)/float64(b.N), "bytes/request")
	})
	b.Run("holder", func(b *testing.B) {
		pool := targetPool()
		sent := 0
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			message := &quota.PeerMessage{From: "10.0.0.2:7400", Incarnation: 2, Time: int64(number)}
			for offset := range batchSize {
				message.Queries = append(message.Queries, targetQuery(number*batchSize+offset))
			}
			var read quota.PeerMessage
			sent += roundTrip(b, message, &read)
			pool.Receive(time.Minute, &read)
			for _, each := range pool.Ready().Messages {
				sent += roundTrip(b, &each, &quota.PeerMessage{})
			}
		}
		b.ReportMetric(float64(sent)/float64(b.N)/batchSize, "bytes/request")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batchSize, "ns/request")
	})
}

// targetPool returns the pool of a leader at the target size.
func targetPool() *quota.Pool {
	pool := quota.NewPool(0, quota.Options{Address: "10.0.0.1:7400", Incarnation: 1, Lease: lease, Enforcement: enforcement})
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

func targetQuery(number int) quota.Query {
	return quota.Query{ID: uint64(number + 1), Account: fmt.Sprint("tenant-", number%targetTenants), Units: 200, Rank: number % 3}
}

// roundTrip encodes and decodes a message, and returns its encoded size.
func roundTrip(b *testing.B, message msgp.Marshaler, read msgp.Unmarshaler) int {
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
