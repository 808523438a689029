package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

var (
	earlierBuild = region.Build{Protocol: 0}
	newerBuild   = region.Build{Protocol: 7, Revision: "newer"}
)

// A gateway runs its coordinator's build unless that has told another one; what gateways and coordinators
// that are gone had told is forgotten.
func TestBuildsAreKnownByProcess(t *testing.T) {
	own := newBuildTable()
	own.polled("g1", currentBuild())
	own.polled("g2", newerBuild)
	own.polled("g3", earlierBuild)
	others := own.others([]string{"g1", "g2", "g3"})
	assert.Equal(t, []region.ProcessBuild{{Address: "g2", Build: newerBuild}, {Address: "g3", Build: earlierBuild}}, others)
	assert.Empty(t, own.others([]string{"g1"}))
	assert.Len(t, own.own, 1)

	leader := newBuildTable()
	current := currentBuild()
	leader.report(&region.ReadIndexRequest{
		From: "a", Gateways: []string{"g1", "g2", "g3"}, Protocol: current.Protocol, Revision: current.Revision, OtherBuilds: others,
	})
	leader.report(&region.ReadIndexRequest{From: "b", Gateways: []string{"g4"}})
	leader.report(&region.ReadIndexRequest{From: "gone", Gateways: []string{"g5"}})
	coordinators, gateways := leader.all([]string{"a", "b"})
	assert.Equal(t, []region.ProcessBuild{{Address: "a", Build: current}, {Address: "b", Build: earlierBuild}}, coordinators)
	assert.Equal(t, []region.ProcessBuild{
		{Address: "g1", Build: current}, {Address: "g2", Build: newerBuild}, {Address: "g3", Build: earlierBuild}, {Address: "g4", Build: earlierBuild},
	}, gateways)
	assert.Equal(t, []string{"g3", "g4"}, untold(gateways))
}
