package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
)

// A replica leaves by its own word whatever the platform's list goes on showing, and its next life does not.
func TestAReplicasOwnWordOutlivesThePlatformsList(t *testing.T) {
	m := newTestMachine()
	relist(t, m, 1, engineAt(5, region.StageDecode))
	leaving := engineAt(5, region.StageDecode)
	leaving.Leaving = true
	apply(t, m, 2, region.Command{List: &region.ListCommand{Changed: []region.Replica{leaving}, Standby: true}})

	assert.False(t, relist(t, m, 3, engineAt(5, region.StageDecode)), "the list shows it as ready")
	gateway := newFollower()
	gateway.follow(m)
	shown := gateway.list["a"]
	assert.True(t, shown.Leaves())
	state, _ := m.read()
	services, _ := modelReplicas(state, func(string) string { return "" })
	assert.Empty(t, services["model"], "the plan of stages does not count it")
	assert.Empty(t, notListedLeaving(state.Replicas, []string{leaving.Life().Name()}), "it is told once")

	assert.True(t, relist(t, m, 4, engineAt(9, region.StageDecode)))
	gateway.follow(m)
	shown = gateway.list["a"]
	assert.False(t, shown.Leaves(), "another life")
	state, _ = m.read()
	assert.Empty(t, notListedLeaving(state.Replicas, []string{leaving.Life().Name()}), "a late word of the life before")
}

// A thousand gateways hear that a replica leaves: the leader is told once a second.
func TestTheLeaderIsToldOnceThatAReplicaLeaves(t *testing.T) {
	words := newLeavingWords()
	require.Equal(t, []string{"a", "b"}, words.due(0, []string{"a", "b"}))
	for range 1000 {
		require.Empty(t, words.due(time.Second/2, []string{"a", "b"}))
	}
	require.Equal(t, []string{"c"}, words.due(time.Second/2, []string{"a", "c"}))
	require.Equal(t, []string{"a"}, words.due(time.Second, []string{"a"}), "the list does not show it")
	words.forget([]string{"a"})
	require.Equal(t, []string{"a"}, words.due(time.Second, []string{"a"}), "telling failed")
}
