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

// TestAListThatShrinksByMistakeIsNotBelieved: one that was cut off by the platform had all gateways without a replica until it
// was whole again.
func TestAListThatShrinksByMistakeIsNotBelieved(t *testing.T) {
	doubt := &listDoubt{}
	assert.False(t, doubt.holdsBack(10_000, removal(5_000)), "half may go")
	assert.True(t, doubt.holdsBack(10_000, removal(5_001)))
	assert.False(t, doubt.holdsBack(10_000, removal(5_001)), "the next list says the same")
	assert.False(t, doubt.holdsBack(10_000, removal(6_000)), "and so do those that follow")

	doubt = &listDoubt{}
	for range 5 {
		assert.True(t, doubt.holdsBack(10_000, removal(10_000)), "nothing is left")
	}
	assert.False(t, doubt.holdsBack(10_000, nil), "it is whole again")
	assert.True(t, doubt.holdsBack(10_000, removal(9_000)))
	assert.False(t, doubt.holdsBack(5, removal(5)), "few replicas may all be replaced")

	replaced := removal(100)
	replaced.Changed = make([]region.Replica, 100)
	doubt = &listDoubt{}
	assert.True(t, doubt.holdsBack(100, replaced))
	assert.False(t, doubt.holdsBack(100, replaced), "all have been replaced")
}

// Symptom: a tenth fewer answers in time for four seconds. Sequence: the platform takes 38 of 96 replicas away with two seconds'
// notice while callers come in a burst. Cause: the list was read by the time that replicas which drain have, twice as long.
func TestTheListIsReadOftenWhereReplicasMayBeTakenAway(t *testing.T) {
	list := []region.ListedReplica{{Replica: region.Replica{ID: "a"}}, {Replica: region.Replica{ID: "b"}}}
	assert.Equal(t, 1250*time.Millisecond, listPause(1250*time.Millisecond, list, 20*time.Millisecond))
	list[1].Replica.Preemptible = true
	assert.Equal(t, defaultListInterval, listPause(1250*time.Millisecond, list, 20*time.Millisecond))
	assert.Equal(t, 2*time.Second, listPause(1250*time.Millisecond, list, time.Second), "a list that takes a second to read")
}
