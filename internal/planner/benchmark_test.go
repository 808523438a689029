package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// benchmarkInput returns the input of a zone whose prompt tokens double and halve
// again every 50 steps.
func benchmarkInput(engines, models, step int) Input {
	input := Input{
		GatewaysExpected: 68, GatewaysReporting: 68,
		Rules: Rules{Price: 1, MinimumDwell: time.Minute, MaximumAway: 4},
	}
	for model := range models {
		name := fmt.Sprintf("model-%d", model)
		input.Models = append(input.Models, Model{Name: name, Version: "1", FirstToken: 320 * time.Millisecond, BetweenTokens: 29 * time.Millisecond})
		input.Demand = append(input.Demand, Demand{
			Model: name, Requests: 600 / float64(models) * 14, PromptTokens: float64(5_000_000 / models * (1 + step/50%2)), OutputTokens: float64(1_800_000 / models),
		})
	}
	for number := range engines {
		role := engineapi.RoleDecode
		if number%100 < 23 {
			role = engineapi.RolePrefill
		}
		configuration := engineapi.Configuration{Role: role, Model: fmt.Sprintf("model-%d", number%models), Version: "1"}
		input.Engines = append(input.Engines, EngineStatus{
			ID: fmt.Sprintf("engine-%04d", number), Desired: configuration, Observed: configuration,
			Phase: engineapi.PhaseServing, Reachable: true, InFlight: number % 130,
			Load: engineapi.LoadReport{
				Incarnation: 1, Sequence: uint64(step + 1), RunningRequests: 130, DecodeSequences: 130, KVUsedTokens: 100_000,
				KVCapacityTokens: 180_000, StepMillis: 27, OutputTokensTotal: uint64(step * 4500), PromptTokensTotal: uint64(step * 2000),
			},
		})
	}
	return input
}

// BenchmarkPlacement measures a step whose search visits all engines without finding
// a move: one model is below its minimum, and the engines of the only model that
// could spare one may not change.
func BenchmarkPlacement(b *testing.B) {
	const models = 13
	for _, engines := range []int{66, 264, 528} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			input := benchmarkInput(engines, models, 0)
			for index := range input.Models {
				input.Models[index].Placement = testRules{version: "1"}
				input.Models[index].Minimum = servingOf(input.Engines, input.Models[index].Name)
			}
			input.Models[0].Minimum++
			input.Models[2].Minimum--
			for index := range input.Engines {
				input.Engines[index].Isolated = index%models == 2
			}
			input.Demand = nil
			planner := New(DefaultOptions())
			b.ReportAllocs()
			b.ResetTimer()
			for step := range b.N {
				output := planner.Step(time.Duration(step)*time.Second, input)
				if step > 20 && (len(output.Unplaced) != 1 || output.Unplaced[0].Hold != HoldNoEngine) {
					b.Fatalf("no placement search ran: %+v", output)
				}
			}
		})
	}
}

// BenchmarkStep measures one step of the planner, by the number of engines in a zone.
func BenchmarkStep(b *testing.B) {
	const models, steps = 13, 100
	for _, engines := range []int{66, 132, 264, 528} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var inputs []Input
			for step := range steps {
				inputs = append(inputs, benchmarkInput(engines, models, step))
			}
			planner := New(DefaultOptions())
			b.ReportAllocs()
			b.ResetTimer()
			for step := range b.N {
				planner.Step(time.Duration(step)*time.Second, inputs[step%steps])
			}
		})
	}
}
