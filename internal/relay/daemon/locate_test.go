package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// placedKeeper is the keeper of a gateway in north-a that knows four coordinators.
func placedKeeper(now *time.Duration) *viewKeeper {
	keeper := newTestKeeper()
	keeper.clock = func() time.Duration { return *now }
	keeper.settings.Zone = "north-a"
	keeper.settings.Seeds = func() []string { return nil }
	keeper.settings.Topology = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}}
	keeper.members = []string{"far", "unknown", "near", "own"}
	keeper.zones = map[string]string{"far": "south-a", "near": "north-b", "own": "north-a"}
	return keeper
}

func TestCoordinatorsAreAskedFromTheNearestOn(t *testing.T) {
	var now time.Duration
	keeper := placedKeeper(&now)
	assert.Equal(t, "own", keeper.nextCoordinator(""))
	assert.Equal(t, "near", keeper.nextCoordinator("own"))
	delete(keeper.zones, "near")
	delete(keeper.zones, "own")
	assert.NotEqual(t, "far", keeper.nextCoordinator(""), "those whose zone is not known may be near")
}

// A gateway that had begun with a coordinator of another region stayed there for ten seconds, and
// then tried others at random: most asked across a border for every prompt of their first half
// minute.
func TestAGatewayGoesToANearerCoordinatorOnceItKnowsOne(t *testing.T) {
	var now time.Duration
	keeper := placedKeeper(&now)
	assert.Equal(t, "own", keeper.preferred("far"))
	assert.Equal(t, "own", keeper.preferred("own"))

	keeper.leave("own")
	assert.Equal(t, "near", keeper.preferred("far"), "the one that has not answered is left alone")
	assert.Equal(t, "near", keeper.preferred("near"))
	assert.ElementsMatch(t, []string{"own", "unknown"}, keeper.unsure("near"), "but asked whether it answers again")
	keeper.trust("own")
	assert.Equal(t, "own", keeper.preferred("near"))
}

// Symptom: a gateway whose region had lost its coordinators asked them in turn, and no other.
// Sequence: the own zone's fails, the region's other one fails, the own zone's is asked next. Cause:
// the order went by distance alone.
func TestAGatewayWhoseRegionHasNoCoordinatorAsksOthers(t *testing.T) {
	var now time.Duration
	keeper := placedKeeper(&now)
	asked := map[string]bool{}
	coordinator := ""
	for range 4 {
		now += time.Second
		coordinator = keeper.nextCoordinator(coordinator)
		asked[coordinator] = true
		keeper.leave(coordinator)
	}
	assert.Len(t, asked, 4)
	assert.Equal(t, "own", keeper.nextCoordinator(coordinator), "the one that was left first")
}

// keeperOf is the keeper of a gateway at an address, before coordinators of two zones.
func keeperOf(address string, coordinators int) *viewKeeper {
	keeper := newTestKeeper()
	keeper.settings.Zone = "north-a"
	keeper.settings.PeerListen = address
	keeper.settings.Seeds = func() []string { return []string{"c-000", "c-001", "c-002"} }
	keeper.settings.Topology = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north"}}
	view := &region.View{MembersHash: 1}
	for index := range coordinators {
		view.Coordinators = append(view.Coordinators, fmt.Sprintf("c-%03d", index))
		view.CoordinatorZones = append(view.CoordinatorZones, []string{"north-a", "north-b"}[index%2])
	}
	keeper.takeMembers(view)
	return keeper
}

// Symptom: of 25 coordinators three polled for all of 985 gateways, and each gateway connected to all 25. Sequence: all
// gateways begin with the same three seeds, and ask every coordinator for its zone; one whose seed is in its zone stays. Cause:
// zones were not told, and near coordinators were not told apart.
func TestGatewaysSpreadOverTheCoordinatorsOfTheirZoneAndAskNoneForItsZone(t *testing.T) {
	for _, coordinators := range []int{6, 24, 96} {
		polled := map[string]int{}
		const gateways = 960
		for index := range gateways {
			keeper := keeperOf(fmt.Sprintf("10.0.%d.%d:7380", index/200, index%200), coordinators)
			chosen := keeper.preferred("c-000")
			assert.Equal(t, "north-a", keeper.zones[chosen])
			assert.Equal(t, chosen, keeper.preferred(chosen))
			assert.Empty(t, keeper.unsure(chosen))
			polled[chosen]++
		}
		near := coordinators / 2
		assert.Len(t, polled, near)
		for coordinator, count := range polled {
			assert.Less(t, count, 2*gateways/near+5, coordinator)
		}
	}
}

// TestAGatewayAsksFewCoordinatorsAtOnce has coordinators of a version that tells no zones.
func TestAGatewayAsksFewCoordinatorsAtOnce(t *testing.T) {
	keeper := keeperOf("10.0.0.1:7380", 0)
	for index := range 100 {
		keeper.members = append(keeper.members, fmt.Sprintf("c-%03d", index))
	}
	assert.Len(t, keeper.unsure("c-000"), locatedAtOnce)
}
