package reconcile

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	modelSeeds = flag.Uint64("model-seeds", 60, "number of seeds to run the model with")
	modelFirst = flag.Uint64("model-first-seed", 0, "first seed of the model")
)

func TestModelInvariantsHold(t *testing.T) {
	var total eventCounts
	for seed := *modelFirst; seed < *modelFirst+*modelSeeds; seed++ {
		env := newTestEnvironment(seed, plantedFaults{})
		violations := env.run()
		require.Empty(t, violations, "seed %d", seed)
		total.add(env.counts)
	}
	t.Logf("%+v", total)
	// The run proves nothing about a case that did not occur.
	require.Positive(t, total.ordersDone)
	require.Positive(t, total.ordersFailed)
	require.Positive(t, total.staleOrdersRejected)
	require.Positive(t, total.isolatedDispatches)
	require.Positive(t, total.sessionsSuperseded)
	require.Positive(t, total.requestsRejectedByEngine)
	require.Positive(t, total.enginesReplaced)
}

func TestModelCatchesPlantedFaults(t *testing.T) {
	cases := map[string]plantedFaults{
		"drain not awaited":                      {skipDrainWait: true},
		"fence ignored":                          {ignoreFence: true},
		"heartbeat answered without a barrier":   {skipReadBarrier: true},
		"lease renewed with an old view":         {renewWithoutView: true},
		"configuration served before its commit": {uncommittedConfig: true},
	}
	for name, planted := range cases {
		t.Run(name, func(t *testing.T) {
			const limit = 400
			for seed := range uint64(limit) {
				if violations := newTestEnvironment(seed, planted).run(); len(violations) > 0 {
					t.Logf("caught with seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatalf("not caught in %d seeds", limit)
		})
	}
}
