package crowd

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/pierhaven/pierhaven/internal/testnet/crowd"
)

// BenchmarkResidentBytes measures the resident bytes of a gateway for each byte in flight of bodies that stop short of their end, by kind
// and by the number of clients; all of them have room.
func BenchmarkResidentBytes(b *testing.B) {
	groups := crowd.Groups(target(callerPath))
	chunked, announced := groups[0].Clients, groups[len(groups)-1].Clients
	for _, kind := range []struct {
		name   string
		client crowd.Client
	}{
		{"chunks of 64 KB", chunked[0]}, {"one chunk", chunked[1]}, {"chunks of a byte", chunked[2]}, {"announced", announced[0]},
	} {
		for _, count := range []int{10, 20, 40} {
			b.Run(fmt.Sprintf("%s, %d clients", kind.name, count), func(b *testing.B) {
				r := startRegionOf(b, paceProgram(b), 284)
				before := r.gateway.memory()
				ctx, cancel := context.WithTimeout(b.Context(), crowdTime)
				defer cancel()
				var running sync.WaitGroup
				for range count {
					running.Go(func() { kind.client.Send(ctx, r.callers) })
				}
				running.Go(func() { r.gateway.watch(ctx) })
				running.Wait()
				inFlight := int64(count) * int64(limits.MaxBodyBytes)
				b.ReportMetric(float64(r.gateway.mostMemory.Load()-before)/float64(inFlight), "resident/byte")
				b.ReportMetric(float64(r.gateway.mostMemory.Load())/(1<<20), "MB")
			})
		}
	}
}
