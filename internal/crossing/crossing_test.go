package crossing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/crossing"
)

func TestRequestLeavesItsRegionOnlyForABetterOutcomeOrALargeSaving(t *testing.T) {
	offer := func(outcome crossing.Outcome, takes time.Duration) crossing.Offer {
		return crossing.Offer{Outcome: outcome, Takes: takes}
	}
	const objective = time.Second
	for name, each := range map[string]struct {
		inside, outside crossing.Offer
		reason          crossing.Reason
	}{
		"both in time":        {offer(crossing.InTime, 200*time.Millisecond), offer(crossing.InTime, 0), crossing.Stays},
		"far sooner outside":  {offer(crossing.InTime, 800*time.Millisecond), offer(crossing.InTime, 100*time.Millisecond), crossing.Faster},
		"late inside":         {offer(crossing.Late, time.Second), offer(crossing.InTime, 900*time.Millisecond), crossing.MissesObjective},
		"late on both sides":  {offer(crossing.Late, 4*time.Second), offer(crossing.Late, time.Second), crossing.Stays},
		"full inside":         {offer(crossing.Full, 0), offer(crossing.Late, time.Second), crossing.NoRoom},
		"full on both sides":  {offer(crossing.Full, 0), offer(crossing.Full, 0), crossing.Stays},
		"no replica inside":   {offer(crossing.Nowhere, 0), offer(crossing.Late, time.Second), crossing.NoPlace},
		"no replica anywhere": {offer(crossing.Nowhere, 0), offer(crossing.Nowhere, 0), crossing.Stays},
	} {
		assert.Equal(t, each.reason, crossing.Leave(each.inside, each.outside, objective), name)
		if each.reason != crossing.Stays {
			assert.False(t, crossing.Stay(each.inside, objective), name)
		}
	}
}
