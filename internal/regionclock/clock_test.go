package regionclock_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/regionclock"
)

// neverSuspended is the suspended function of a machine that was never suspended.
func neverSuspended() time.Duration { return 0 }

func TestAClockAndItsSamplesGoOnWhileTheMachineIsSuspended(t *testing.T) {
	var suspended time.Duration
	clock := regionclock.New(func() time.Duration { return suspended })
	samples := regionclock.NewSamples(func() time.Duration { return suspended })
	at, region := time.Now(), time.Unix(1_000_000, 0)
	clock.Set(at, region)
	samples.Record("other", region.UnixNano())
	suspended = 3 * time.Second
	assert.Equal(t, region.Add(3*time.Second), clock.At(at))
	assert.GreaterOrEqual(t, samples.Read()[0], region.Add(3*time.Second).UnixNano())
	clock.Set(at, region)
	assert.Equal(t, region, clock.At(at), "set again after the suspension")
	suspended = 9 * time.Second
	assert.Empty(t, samples.Read(), "the reading is too old")
}

func TestClockAdvancesFromTheTimeItWasSetTo(t *testing.T) {
	clock := regionclock.New(neverSuspended)
	at := time.Now()
	region := time.Unix(1_000_000, 0)
	clock.Set(at, region)
	assert.Equal(t, region, clock.At(at))
	assert.Equal(t, region.Add(3*time.Second), clock.At(at.Add(3*time.Second)))
	assert.Equal(t, region.Add(-time.Second), clock.At(at.Add(-time.Second)))
}

func TestMedianIsRightWhileMostClocksAre(t *testing.T) {
	assert.Zero(t, regionclock.Median(nil))
	const right = int64(1_000_000)
	clocks := make([]int64, 0, 10)
	for number := range 10 {
		clocks = append(clocks, right+int64(number)-5)
	}
	for stepped := range 5 {
		clocks[stepped*2] += int64(2 * time.Second)
		assert.InDelta(t, right, regionclock.Median(clocks), 5, "%d of 10 jumped", stepped+1)
		if stepped == 3 {
			break
		}
	}
}

func TestSamplesAreExtrapolatedToThePresent(t *testing.T) {
	samples := regionclock.NewSamples(neverSuspended)
	samples.Record("none", 0)
	assert.Empty(t, samples.Read(), "a machine that reports no time")
	wall := time.Now().UnixNano()
	for number := range 3 {
		samples.Record(fmt.Sprint(number), wall)
	}
	samples.Record("2", wall+1)
	read := samples.Read()
	assert.Len(t, read, 3, "one for each machine")
	for _, clock := range read {
		assert.GreaterOrEqual(t, clock, wall)
	}
}
