package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
)

// A replica that has declared that it is leaving stays leaving whatever the platform's list shows, until its next incarnation.
func TestLeavingReportOverridesThePlatformsList(t *testing.T) {
	m := newTestStateMachine()
	setOnlyReplica(t, m, 1, engineAt(5, region.StageDecode))
	leaving := engineAt(5, region.StageDecode)
	leaving.Leaving = true
	apply(t, m, 2, region.Command{List: &region.ListCommand{Changed: []region.Replica{leaving}, Standby: true}})

	assert.False(t, setOnlyReplica(t, m, 3, engineAt(5, region.StageDecode)), "the platform's list shows it as ready")
	gateway := newFollower()
	gateway.follow(m)
	shown := gateway.list["a"]
	assert.True(t, shown.IsLeaving())
	state, _ := m.read()
	services, _ := modelReplicas(state, func(string) string { return "" })
	assert.Empty(t, services["model"], "the plan of stages does not count it")
	assert.Empty(t, notYetListedAsLeaving(state.Replicas, []string{leaving.Incarnation().Name()}), "it is reported once")

	assert.True(t, setOnlyReplica(t, m, 4, engineAt(9, region.StageDecode)))
	gateway.follow(m)
	shown = gateway.list["a"]
	assert.False(t, shown.IsLeaving(), "another incarnation")
	state, _ = m.read()
	assert.Empty(t, notYetListedAsLeaving(state.Replicas, []string{leaving.Incarnation().Name()}), "a late report of the previous incarnation")
}

// A thousand gateways report that a replica is leaving; the report is forwarded to the leader once a second.
func TestLeavingReportsToTheLeaderAreRateLimited(t *testing.T) {
	reports := newLeavingReports()
	require.Equal(t, []string{"a", "b"}, reports.due(0, []string{"a", "b"}))
	for range 1000 {
		require.Empty(t, reports.due(time.Second/2, []string{"a", "b"}))
	}
	require.Equal(t, []string{"c"}, reports.due(time.Second/2, []string{"a", "c"}))
	require.Equal(t, []string{"a"}, reports.due(time.Second, []string{"a"}), "the list does not show it as leaving")
	reports.forget([]string{"a"})
	require.Equal(t, []string{"a"}, reports.due(time.Second, []string{"a"}), "the report failed")
}
