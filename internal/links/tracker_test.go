package links_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/links"
)

// reactionTime is the time within which the processes of these tests have to react to a fault.
const reactionTime = 3 * time.Second

func newTracker() *links.Tracker { return links.NewTracker(links.OptionsFor(reactionTime)) }

func replica(number int) string { return fmt.Sprint("i-", number) }

func TestMostReplicasLostMeansThatTheLinksAreLost(t *testing.T) {
	for name, test := range map[string]struct {
		listed, reached, lost int
		cutOff                bool
	}{
		"a rack of many":              {listed: 18, reached: 15, lost: 3},
		"half":                        {listed: 18, reached: 9, lost: 9},
		"all but two":                 {listed: 18, reached: 2, lost: 16, cutOff: true},
		"all that were tried of many": {listed: 10_000, lost: 3, cutOff: true},
		"two of many":                 {listed: 10_000, lost: 2},
		"two of three":                {listed: 3, reached: 1, lost: 2, cutOff: true},
		"one of three":                {listed: 3, lost: 1},
		"the only one":                {listed: 1, lost: 1, cutOff: true},
		"nothing is listed":           {},
		"all three answer":            {listed: 3, reached: 3},
	} {
		tracker := newTracker()
		for number := range test.reached {
			tracker.Connected(time.Second, replica(number))
		}
		for number := range test.lost {
			tracker.Failed(time.Second, time.Second, replica(test.reached+number))
		}
		tracker.Step(time.Second, test.listed)
		assert.Equal(t, test.cutOff, tracker.CutOff(), name)
	}
}

func TestAnswersOnOlderConnectionsDontHideThatNoneCanBeMade(t *testing.T) {
	tracker := newTracker()
	for number := range 6 {
		tracker.Heard(time.Second, replica(number))
		tracker.Failed(time.Second, time.Second, replica(number))
		tracker.Heard(time.Second, replica(number))
	}
	tracker.Step(time.Second, 6)
	assert.True(t, tracker.CutOff())
}

func TestEvidenceLapses(t *testing.T) {
	tracker := newTracker()
	for number := range 6 {
		tracker.Connected(0, replica(number))
	}
	for number := range 4 {
		tracker.Failed(time.Second, time.Second, replica(6+number))
	}
	now := 1100 * time.Millisecond
	changed, _ := tracker.Step(now, 18)
	assert.True(t, changed, "what was reached before the cut no longer counts")
	changed, since := tracker.Step(now+reactionTime, 18)
	assert.True(t, changed)
	assert.Equal(t, now, since)
	assert.False(t, tracker.CutOff())
}

func TestAFailureIsConfirmedByALaterConnectionToAnother(t *testing.T) {
	tracker := newTracker()
	tracker.Connected(0, "other")
	tracker.Failed(time.Second, time.Second, "lost")
	assert.False(t, tracker.Confirmed("lost"))
	assert.Equal(t, links.Unconfirmed, tracker.Doubt(time.Second))
	tracker.Connected(1100*time.Millisecond, "other")
	assert.True(t, tracker.Confirmed("lost"))
	assert.False(t, tracker.Confirmed("other"))
	assert.Equal(t, links.NoDoubt, tracker.Doubt(1200*time.Millisecond))
}

func TestSilenceIsADoubtOnlyWhileRequestsAreUnderWay(t *testing.T) {
	tracker := newTracker()
	assert.Equal(t, links.NoDoubt, tracker.Doubt(time.Minute))
	tracker.Begin(time.Minute)
	assert.Equal(t, links.NoDoubt, tracker.Doubt(time.Minute+100*time.Millisecond))
	assert.Equal(t, links.Silent, tracker.Doubt(time.Minute+reactionTime/6))
	tracker.Heard(time.Minute+reactionTime/6, "any")
	assert.Equal(t, links.NoDoubt, tracker.Doubt(time.Minute+reactionTime/6))
	tracker.End()
	assert.Equal(t, links.NoDoubt, tracker.Doubt(2*time.Minute))
}

func TestAnAttemptFromBeforeAConnectionSaysNothing(t *testing.T) {
	tracker := newTracker()
	for number := range 3 {
		tracker.Connected(time.Second, replica(number))
		tracker.Failed(1100*time.Millisecond, 900*time.Millisecond, replica(number))
	}
	assert.Equal(t, links.Evidence{Reached: 3}, tracker.Evidence(1100*time.Millisecond))
}
