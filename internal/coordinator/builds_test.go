package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/build"
	"github.com/pierhaven/pierhaven/internal/region"
)

var (
	earlierBuild = region.Build{Protocol: 0}
	newerBuild   = region.Build{Protocol: 7, Revision: "newer"}
)

// TestLeaderKnowsBuildOfEachProcess: a gateway has its coordinator's build unless the coordinator reports
// another one for it. Reports of gateways and coordinators that have left are deleted.
func TestLeaderKnowsBuildOfEachProcess(t *testing.T) {
	own := newBuildTable()
	own.recordGateway("g1", currentBuild())
	own.recordGateway("g2", newerBuild)
	own.recordGateway("g3", earlierBuild)
	others := own.otherBuilds([]string{"g1", "g2", "g3"})
	assert.Equal(t, []region.ProcessBuild{{Address: "g2", Build: newerBuild}, {Address: "g3", Build: earlierBuild}}, others)
	assert.Empty(t, own.otherBuilds([]string{"g1"}))
	assert.Len(t, own.gateways, 1)

	leader := newBuildTable()
	current := currentBuild()
	leader.recordReport(&region.ReadIndexRequest{
		From: "a", Gateways: []string{"g1", "g2", "g3"}, Protocol: current.Protocol, Revision: current.Revision, OtherBuilds: others,
	})
	leader.recordReport(&region.ReadIndexRequest{From: "b", Gateways: []string{"g4"}})
	leader.recordReport(&region.ReadIndexRequest{From: "gone", Gateways: []string{"g5"}})
	coordinators, gateways := leader.all([]string{"a", "b"})
	assert.Equal(t, []region.ProcessBuild{{Address: "a", Build: current}, {Address: "b", Build: earlierBuild}}, coordinators)
	assert.Equal(t, []region.ProcessBuild{
		{Address: "g1", Build: current}, {Address: "g2", Build: newerBuild}, {Address: "g3", Build: earlierBuild}, {Address: "g4", Build: earlierBuild},
	}, gateways)
	assert.Equal(t, []string{"g3", "g4"}, withoutBuild(gateways))
}

// The versions of the replicas' software are stored once all coordinators store them, and no longer once one does not.
func TestAFeatureWaitsForTheBuildsOfAllCoordinators(t *testing.T) {
	table := newBuildTable()
	members := []string{"a", "b"}
	report := func(from string, protocol int) {
		table.recordReport(&region.ReadIndexRequest{From: from, Protocol: protocol})
	}
	expect := func(all, earlier bool) {
		t.Helper()
		hasAll, hasEarlier := table.support(members, build.SoftwareProtocol)
		assert.Equal(t, []bool{all, earlier}, []bool{hasAll, hasEarlier})
	}
	expect(false, false)
	report("a", build.SoftwareProtocol)
	expect(false, false)
	report("b", build.SoftwareProtocol-1)
	expect(false, true)
	report("b", build.SoftwareProtocol+1)
	expect(true, false)
	report("gone", build.SoftwareProtocol-1)
	expect(true, false)
	report("a", 0)
	expect(false, true)
}
