package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPromptIsDelayedOnlyByItsWait(t *testing.T) {
	request := PrefillRequest{Objective: time.Second, ObjectiveLeft: time.Second}
	for name, test := range map[string]struct {
		wait, busy time.Duration
		delayed    bool
	}{
		"in time":          {100 * time.Millisecond, 500 * time.Millisecond, false},
		"waits too long":   {500 * time.Millisecond, 500 * time.Millisecond, true},
		"too long to read": {500 * time.Millisecond, 2 * time.Second, false},
	} {
		estimated := &prefillEstimate{replica: &Replica{}, wait: test.wait, busy: test.busy}
		times := estimated.times(request, 3*time.Second)
		assert.Equal(t, test.delayed, times.delayed, name)
		assert.Equal(t, time.Second-test.busy, times.slack, name)
		assert.Equal(t, 3*time.Second, times.whole, name)
	}
	assert.True(t, rejectedTimes(request, 500*time.Millisecond).delayed)
	assert.False(t, rejectedTimes(request, 2*time.Second).delayed)
}

// TestReadDemandIsSmoothed adds 20 prompts a second with a prefill of 100 ms each, which would take 300 ms without
// cached prefixes: they keep 2 replicas busy, and would keep 6 busy.
func TestReadDemandIsSmoothed(t *testing.T) {
	meter := &prefillMeter{}
	now := time.Duration(0)
	for range 400 {
		now += 50 * time.Millisecond
		meter.add(now, prefillTimes{busy: 100 * time.Millisecond, whole: 300 * time.Millisecond, slack: 900 * time.Millisecond, delayed: true})
	}
	timeConstant := readTimeConstant.Seconds()
	assert.InDelta(t, 20, meter.prompts/timeConstant, 0.5)
	assert.InDelta(t, 20, meter.delayed/timeConstant, 0.5)
	assert.InDelta(t, 2, meter.busy/timeConstant, 0.05)
	assert.InDelta(t, 4, meter.saved/timeConstant, 0.1)
	assert.InDelta(t, 18, meter.slack/timeConstant, 0.5)
	assert.InDelta(t, 0.2, meter.squares/timeConstant, 0.005)
	meter.decay(now + 10*readTimeConstant)
	assert.Zero(t, meter.prompts)
	assert.Zero(t, meter.busy)
}
