package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// newLocatedViewClient returns the view client of a gateway in north-a that knows four
// coordinators.
func newLocatedViewClient(now *time.Duration) *viewClient {
	views := newTestViewClient()
	views.clock = func() time.Duration { return *now }
	views.settings.Zone = "north-a"
	views.settings.Seeds = func() []string { return nil }
	views.settings.Topology = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}}
	views.members = []string{"far", "unknown", "near", "own"}
	views.zones = map[string]string{"far": "south-a", "near": "north-b", "own": "north-a"}
	return views
}

func TestNextCoordinatorIsTheNearest(t *testing.T) {
	var now time.Duration
	views := newLocatedViewClient(&now)
	assert.Equal(t, "own", views.nextCoordinator(""))
	assert.Equal(t, "near", views.nextCoordinator("own"))
	delete(views.zones, "near")
	delete(views.zones, "own")
	assert.NotEqual(t, "far", views.nextCoordinator(""), "coordinators whose zone is unknown may be near")
}

// Guards against staying with a distant coordinator: a gateway that began with a coordinator of
// another region stayed with it for 10 s and then tried others at random, so that most gateways
// asked across regions for every prompt of their first 30 s.
func TestGatewaySwitchesToANearerCoordinator(t *testing.T) {
	var now time.Duration
	views := newLocatedViewClient(&now)
	assert.Equal(t, "own", views.preferred("far"))
	assert.Equal(t, "own", views.preferred("own"))

	views.markFailed("own")
	assert.Equal(t, "near", views.preferred("far"), "the failed coordinator is not polled")
	assert.Equal(t, "near", views.preferred("near"))
	assert.ElementsMatch(t, []string{"own", "unknown"}, views.probeTargets("near"), "the failed coordinator is probed")
	views.markHealthy("own")
	assert.Equal(t, "own", views.preferred("near"))
}

// Guards against retrying only near coordinators: ordered by distance alone, a gateway whose region
// had lost its coordinators alternated between that of its zone and the other one of its region,
// and asked no others.
func TestAGatewayWhoseRegionHasNoCoordinatorAsksOthers(t *testing.T) {
	var now time.Duration
	views := newLocatedViewClient(&now)
	asked := map[string]bool{}
	coordinator := ""
	for range 4 {
		now += time.Second
		coordinator = views.nextCoordinator(coordinator)
		asked[coordinator] = true
		views.markFailed(coordinator)
	}
	assert.Len(t, asked, 4)
	assert.Equal(t, "own", views.nextCoordinator(coordinator), "the coordinator that failed first")
}

// newViewClientAt returns the view client of a gateway at an address that knows coordinators of two
// zones.
func newViewClientAt(address string, coordinators int) *viewClient {
	views := newTestViewClient()
	views.settings.Zone = "north-a"
	views.settings.PeerListen = address
	views.settings.Seeds = func() []string { return []string{"c-000", "c-001", "c-002"} }
	views.settings.Topology = topology.Map{Regions: map[string]string{"north-a": "north", "north-b": "north"}}
	view := &region.View{MembersHash: 1}
	for index := range coordinators {
		view.Coordinators = append(view.Coordinators, fmt.Sprintf("c-%03d", index))
		view.CoordinatorZones = append(view.CoordinatorZones, []string{"north-a", "north-b"}[index%2])
	}
	views.updateMembers(view)
	return views
}

// Guards against uneven polling: 3 of 25 coordinators were polled by all 985 gateways, and each
// gateway connected to all 25. All gateways began with the same three seeds, asked every
// coordinator for its zone, and stayed with a seed of their own zone. Coordinators did not report
// their zones in the view, and gateways did not choose among the near ones by hash.
func TestGatewaysSpreadOverTheCoordinatorsOfTheirZoneAndAskNoneForItsZone(t *testing.T) {
	for _, coordinators := range []int{6, 24, 96} {
		polled := map[string]int{}
		const gateways = 960
		for index := range gateways {
			views := newViewClientAt(fmt.Sprintf("10.0.%d.%d:7380", index/200, index%200), coordinators)
			chosen := views.preferred("c-000")
			assert.Equal(t, "north-a", views.zones[chosen])
			assert.Equal(t, chosen, views.preferred(chosen))
			assert.Empty(t, views.probeTargets(chosen))
			polled[chosen]++
		}
		near := coordinators / 2
		assert.Len(t, polled, near)
		for coordinator, count := range polled {
			assert.Less(t, count, 2*gateways/near+5, coordinator)
		}
	}
}

// TestAGatewayAsksFewCoordinatorsAtOnce uses coordinators of a version that does not report zones.
func TestAGatewayAsksFewCoordinatorsAtOnce(t *testing.T) {
	views := newViewClientAt("10.0.0.1:7380", 0)
	for index := range 100 {
		views.members = append(views.members, fmt.Sprintf("c-%03d", index))
	}
	assert.Len(t, views.probeTargets("c-000"), maximumProbes)
}
