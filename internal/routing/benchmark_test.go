package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// benchmarkRouter returns a router with a zone's engines of 13 models and a
// load report for each.
func benchmarkRouter(engines int) *Router {
	const models = 13
	router := New(DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	var list []Engine
	for number := range engines {
		role := engineapi.RoleDecode
		if (number/models)%4 == 0 {
			role = engineapi.RolePrefill
		}
		list = append(list, Engine{
			ID: fmt.Sprintf("engine-%04d", number), Role: role, Model: fmt.Sprintf("model-%d", number%models), Version: "1", Dispatchable: true,
		})
	}
	router.SetEngines(list)
	for number, engine := range list {
		router.ReportLoad(time.Second, engine.ID, engineapi.LoadReport{
			Incarnation: 1, Sequence: 1, RunningRequests: number % 40, DecodeSequences: number % 40,
			KVUsedTokens: 1000 * (number % 100), KVCapacityTokens: 180_000, StepMillis: 20,
		})
	}
	return router
}

// BenchmarkSelect measures one routing decision by the number of engines in the
// zone.
func BenchmarkSelect(b *testing.B) {
	for _, engines := range []int{66, 132, 264, 528} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			router := benchmarkRouter(engines)
			request := Request{
				Model: "model-3", PromptTokens: 900, OutputTokens: 220, Blocks: make([]uint64, 14),
				Objectives: Objectives{FirstToken: 320 * time.Millisecond, BetweenTokens: 29 * time.Millisecond},
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				router.Select(2*time.Second, request)
			}
		})
	}
}

// BenchmarkNoEngineReason measures the check whether any engine could take a
// request.
func BenchmarkNoEngineReason(b *testing.B) {
	for _, engines := range []int{66, 132, 264, 528} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			router := benchmarkRouter(engines)
			request := Request{Model: "model-3", PromptTokens: 900, OutputTokens: 220}
			b.ReportAllocs()
			for b.Loop() {
				router.NoEngineReason(2*time.Second, request)
			}
		})
	}
}
