package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines that batch finish many answers at once, so items are served in bursts.
// The measured rate has to cover the bursts and the gaps between them.
func TestDrainRateAveragesBurstsAndGaps(t *testing.T) {
	const (
		burst = 64
		cost  = 80.0
		gap   = time.Second
		mean  = burst * cost
	)
	cases := []struct {
		name string
		// emptied is set if each burst empties the queue.
		emptied bool
	}{
		{"the queue stays busy", false},
		{"each burst empties the queue", true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			rate := newDrainRate(DefaultOptions())
			now := time.Duration(0)
			rate.setBusy(now, true)
			for range 5 {
				now += gap
				for range burst {
					rate.recordServed(now, cost)
				}
				if each.emptied {
					rate.setBusy(now, false)
					rate.setBusy(now, true)
				}
				wait, known := rate.drainTime(mean)
				require.True(t, known)
				require.InDelta(t, gap.Seconds(), wait.Seconds(), 0.3)
			}
		})
	}
}

// Time during which the queue is empty must not lower the measured rate.
func TestDrainRateExcludesIdleTime(t *testing.T) {
	rate := newDrainRate(DefaultOptions())
	now := time.Duration(0)
	for range 10 {
		rate.setBusy(now, true)
		for range 5 {
			now += 100 * time.Millisecond
			rate.recordServed(now, 100)
		}
		rate.setBusy(now, false)
		now += time.Minute
	}
	wait, known := rate.drainTime(1000)
	require.True(t, known)
	require.InDelta(t, 1, wait.Seconds(), 0.1)
}

// Recent seconds weigh more than older ones.
func TestDrainRateFollowsChange(t *testing.T) {
	rate := newDrainRate(DefaultOptions())
	now := time.Duration(0)
	rate.setBusy(now, true)
	serve := func(perSecond int, seconds int) {
		for range perSecond * seconds {
			now += time.Second / time.Duration(perSecond)
			rate.recordServed(now, 1)
		}
	}
	serve(100, 20)
	serve(10, 20)
	wait, _ := rate.drainTime(10)
	require.InDelta(t, 1, wait.Seconds(), 0.2)
}
