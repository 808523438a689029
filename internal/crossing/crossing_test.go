package crossing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/crossing"
)

func TestRequestLeavesItsRegionOnlyForABetterOutcomeOrALargeSaving(t *testing.T) {
	offer := func(outcome crossing.Outcome, serviceTime time.Duration) crossing.Offer {
		return crossing.Offer{Outcome: outcome, ServiceTime: serviceTime}
	}
	const objective = time.Second
	for name, each := range map[string]struct {
		inside, outside crossing.Offer
		reason          crossing.Reason
	}{
		"both in time":        {offer(crossing.InTime, 200*time.Millisecond), offer(crossing.InTime, 0), crossing.Local},
		"far sooner outside":  {offer(crossing.InTime, 800*time.Millisecond), offer(crossing.InTime, 100*time.Millisecond), crossing.Faster},
		"late inside":         {offer(crossing.Late, time.Second), offer(crossing.InTime, 900*time.Millisecond), crossing.MissesObjective},
		"late on both sides":  {offer(crossing.Late, 4*time.Second), offer(crossing.Late, time.Second), crossing.Local},
		"full inside":         {offer(crossing.AtCapacity, 0), offer(crossing.Late, time.Second), crossing.NoCapacity},
		"full on both sides":  {offer(crossing.AtCapacity, 0), offer(crossing.AtCapacity, 0), crossing.Local},
		"no replica inside":   {offer(crossing.NoReplica, 0), offer(crossing.Late, time.Second), crossing.NoReplicaInRegion},
		"no replica anywhere": {offer(crossing.NoReplica, 0), offer(crossing.NoReplica, 0), crossing.Local},
	} {
		assert.Equal(t, each.reason, crossing.LeaveReason(each.inside, each.outside, objective), name)
		if each.reason != crossing.Local {
			assert.False(t, crossing.StaysLocal(each.inside, objective), name)
		}
	}
}
