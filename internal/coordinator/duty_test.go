package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

const testLease = 3 * time.Second

func TestNewLeaderWaitsOnlyForTheLeaseOfTheLastOrder(t *testing.T) {
	elected := 100 * time.Second
	cases := []struct {
		name string
		last lastCall
		want time.Duration
	}{
		{"no order was ever given", lastCall{}, elected},
		{"the last order is old", lastCall{known: true, at: 80 * time.Second}, elected},
		{"the last order is young", lastCall{known: true, at: 99 * time.Second}, 99*time.Second + testLease + leaseMargin},
		{"an order was applied while the leader was elected", lastCall{known: true, at: elected}, elected + testLease + leaseMargin},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			assert.Equal(t, each.want, earliestCallTime(elected, each.last, testLease))
		})
	}
	assert.Greater(t, leaseMargin, maximumSendDelay, "an order may be sent that long after its proposal")
}

func TestLastCallIsRecordedByOrdersAndSnapshots(t *testing.T) {
	now := time.Second
	m := newStateMachine(func() time.Duration { return now })
	apply(t, m, 1, listed(region.Replica{ID: "a", Stage: region.StageDecode}))
	assert.False(t, m.lastCall(dutyStages).known)

	apply(t, m, 2, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	assert.Equal(t, lastCall{known: true, at: now}, m.lastCall(dutyStages))

	snapshot, err := m.Snapshot()
	assert.NoError(t, err)
	now = 5 * time.Second
	restored := newStateMachine(func() time.Duration { return now })
	assert.NoError(t, restored.Restore(snapshot))
	assert.Equal(t, lastCall{known: true, at: now}, restored.lastCall(dutyStages))
	assert.NoError(t, restored.Restore(nil))
}
