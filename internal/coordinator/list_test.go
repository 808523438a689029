package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

func removal(count int) *region.ListCommand {
	return &region.ListCommand{Removed: make([]string, count)}
}

// TestSuspectRemovalsAreSuppressed: the platform returned a truncated list, which left all gateways without a replica until the
// list was complete again.
func TestSuspectRemovalsAreSuppressed(t *testing.T) {
	guard := &removalGuard{}
	assert.False(t, guard.suppresses(10_000, removal(5_000)), "half of the replicas may be removed at once")
	assert.True(t, guard.suppresses(10_000, removal(5_001)))
	assert.False(t, guard.suppresses(10_000, removal(5_001)), "the next list confirms it")
	assert.False(t, guard.suppresses(10_000, removal(6_000)), "so do the lists that follow")

	guard = &removalGuard{}
	for range 5 {
		assert.True(t, guard.suppresses(10_000, removal(10_000)), "no replica would be left")
	}
	assert.False(t, guard.suppresses(10_000, nil), "the list is complete again")
	assert.True(t, guard.suppresses(10_000, removal(9_000)))
	assert.False(t, guard.suppresses(5, removal(5)), "few replicas may all be replaced")

	replaced := removal(100)
	replaced.Changed = make([]region.Replica, 100)
	guard = &removalGuard{}
	assert.True(t, guard.suppresses(100, replaced))
	assert.False(t, guard.suppresses(100, replaced), "all replicas have been replaced")
}

// TestListIsPolledMoreOftenWithPreemptibleReplicas: on-time answers fell by a tenth for four seconds when the platform preempted
// 38 of 96 replicas with two seconds' notice during a burst of requests. The poll interval was derived from the notice for
// replicas that drain, which is twice as long.
func TestListIsPolledMoreOftenWithPreemptibleReplicas(t *testing.T) {
	list := []region.ListedReplica{{Replica: region.Replica{ID: "a"}}, {Replica: region.Replica{ID: "b"}}}
	assert.Equal(t, 1250*time.Millisecond, listPollDelay(1250*time.Millisecond, list, 20*time.Millisecond))
	list[1].Replica.Preemptible = true
	assert.Equal(t, defaultListInterval, listPollDelay(1250*time.Millisecond, list, 20*time.Millisecond))
	assert.Equal(t, 2*time.Second, listPollDelay(1250*time.Millisecond, list, time.Second), "the list takes a second to read")
}
