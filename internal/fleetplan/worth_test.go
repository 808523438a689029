package fleetplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestLoad returns a load that keeps a number of replicas busy, with cached prefixes that save
// as much again.
func newTestLoad(busy float64) Load {
	return Load{
		Reported: true, Busy: busy, CacheSavings: busy, Prompts: 10 * busy,
		Slack: 600 * time.Millisecond, ResidualPrefill: 150 * time.Millisecond,
	}
}

func newSteadyHistory(busy float64) *history {
	recorded := &history{delayRatio: 1}
	for range historySpans {
		recorded.loads = append(recorded.loads, newTestLoad(busy))
	}
	return recorded
}

func TestLateShareFallsWithReplicasAndLostCache(t *testing.T) {
	load := newTestLoad(20)
	for replicas := 1.0; replicas < 200; replicas++ {
		assert.Greater(t, load.lateShare(replicas, 1), load.lateShare(replicas+1, 1))
		assert.GreaterOrEqual(t, load.afterLoss(0.3).lateShare(replicas, 1), load.lateShare(replicas, 1))
	}
	assert.InDelta(t, 1, load.lateShare(0, 1), 1e-9)
	assert.Less(t, load.lateShare(200, 1), 1e-3)
}

func TestHistoryKeepsPeaksWithinWindow(t *testing.T) {
	recorded := &history{}
	const window = 16 * time.Second
	for now := time.Duration(0); now < window; now += 250 * time.Millisecond {
		assert.False(t, recorded.full() && now < window-time.Second)
		busy := 10.0
		if now == 3250*time.Millisecond {
			busy = 50
		}
		recorded.add(now, window, newTestLoad(busy))
	}
	assert.True(t, recorded.full())
	assert.InDelta(t, 50, recorded.loads[3].Busy, 1e-9)
	for now := window; now < 2*window; now += 250 * time.Millisecond {
		recorded.add(now, window, newTestLoad(10))
	}
	assert.InDelta(t, 10, recorded.loads[3].Busy, 1e-9)
}

// One more replica of any kind in any zone costs more than it adds, and one fewer would lose more
// than it costs.
func TestMixIsAtLocalCostMinimum(t *testing.T) {
	for _, preemptible := range []float64{0.15, 0.3, 0.9} {
		for _, busy := range []float64{5, 20, 40} {
			recorded := newSteadyHistory(busy)
			optimizer := &mixOptimizer{
				history: recorded, price: recorded.price(), preemptibleLimits: []int{500, 500, 500},
				input: Input{Maximum: 500, PreemptiblePrice: preemptible, Zones: []Zone{{Price: 1}, {Price: 0.8}, {Price: 1.2}}},
				mix:   [][kinds]int{{1}, {1}, {1}},
			}
			optimizer.build()
			assert.Equal(t, preemptible < 0.5, optimizer.preemptible() > 0)
			best := optimizer.cost()
			for zone := range optimizer.mix {
				for kind := range kinds {
					for _, change := range []int{-1, 1} {
						if optimizer.mix[zone][kind]+change < 0 || kind == Stable && optimizer.mix[zone][kind] == 1 {
							continue
						}
						optimizer.mix[zone][kind] += change
						assert.Greater(t, optimizer.cost()-best, -0.01*best, "%v %v: %v", preemptible, busy, optimizer.mix)
						optimizer.mix[zone][kind] -= change
					}
				}
			}
			assert.GreaterOrEqual(t, optimizer.mix[1][Preemptible], optimizer.mix[2][Preemptible], "the most expensive zone has the fewest")
		}
	}
}

// Few of the replicas are prefill replicas, much is cached, and one zone can hold few more
// replicas: a mix that is built anew fills the cheapest zone and leaves the others with half of
// theirs. The mix went from 147 to 114 replicas and back within two seconds, and the cached
// prefixes of 33 were lost.
func TestMixNearLimitIsDerivedFromCurrentMix(t *testing.T) {
	recorded := &history{delayRatio: 0.8}
	for span := range historySpans {
		busy := 20 * (0.8 + 0.4*float64(span%4)/3)
		recorded.loads = append(recorded.loads, Load{
			Reported: true, Busy: busy, CacheSavings: 1.5 * busy, Prompts: 9 * busy, Replicas: 100, PrefillReplicas: 40,
			Slack: 610 * time.Millisecond, ResidualPrefill: 165 * time.Millisecond,
		})
	}
	planner := New(90)
	planner.loads, planner.recent, planner.adoptedMix = *recorded, *recorded, true
	planner.mix = [][kinds]int{{1, 45}, {1, 57}, {1, 42}}
	input := Input{Minimum: 1, Maximum: 60, PreemptiblePrice: 0.22, Zones: []Zone{{Price: 1}, {Price: 0.8}, {Price: 1.25}}}
	planner.planMix(time.Minute, input)
	assert.GreaterOrEqual(t, total(planner.mix), 140)
	rebuilt := planner.newOptimizer(input)
	rebuilt.build()
	assert.Less(t, rebuilt.total(), 130, "otherwise this test covers nothing")
}
