package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
)

// routeService is a service of the route of a host.
func routeService(service string) origin.RouteService {
	return origin.RouteService{Host: "h", PathPrefix: "/", Service: service}
}

// Guards against streams that are taken up, after all gateways were killed, at a service that their route has got since.
func TestTheStateKeepsWhereStreamsOfRoutesBegan(t *testing.T) {
	m := newTestStateMachine()
	configure := func(index, version, base uint64, at time.Duration, former, added []origin.RouteService) {
		apply(t, m, index, region.Command{Configuration: &region.ConfigurationCommand{
			Version: version, Base: base, At: int64(listTime + at), Former: former, Added: added,
		}})
	}
	a, b := []origin.RouteService{routeService("a")}, []origin.RouteService{routeService("b")}
	configure(1, 1, 0, 0, nil, nil)
	assert.EqualValues(t, sinceEver, m.state.RoutesSince, "no stream has begun before the first configuration")
	configure(2, 2, 1, time.Second, a, b)
	assert.Equal(t, []region.FormerRoute{{RouteService: a[0], Until: int64(listTime + time.Second)}}, m.state.FormerRoutes)
	assert.Equal(t, []region.NewRoute{{RouteService: b[0], Version: 2}}, m.state.NewRoutes)
	configure(3, 4, 1, 2*time.Second, nil, nil)
	assert.EqualValues(t, 2, m.state.Version, "it was compared with another configuration")
	configure(4, 4, 2, origin.Window+clockSlack+time.Second, b, a)
	assert.Len(t, m.state.FormerRoutes, 1, "what is too long ago is forgotten")
	assert.EqualValues(t, 2, admissibleRoutes(&m.state, 3))
	assert.EqualValues(t, 4, admissibleRoutes(&m.state, 4))
	assert.Zero(t, admissibleRoutes(&m.state, 1), "someone may act on a configuration without it")
	apply(t, m, 5, region.Command{Software: &region.SoftwareCommand{Version: 2}})
	assert.Equal(t, []region.NewRoute{{RouteService: a[0], Version: 4}}, m.state.NewRoutes)
	configure(6, 5, 4, 2*time.Minute, make([]origin.RouteService, maximumKeptRoutes+1), make([]origin.RouteService, maximumKeptRoutes))
	assert.Equal(t, []region.NewRoute{{RouteService: origin.AnyRouteService, Version: 5}}, m.state.NewRoutes, "too many stand for all")
	assert.EqualValues(t, listTime+2*time.Minute, m.state.RoutesSince)
	apply(t, m, 7, configuration(6, "of an earlier build"))
	assert.Zero(t, m.state.RoutesSince)
	assert.Empty(t, m.state.NewRoutes)
}

// A gateway that has received a configuration and not brought it into force acts on the one before, or on none.
func TestAGatewayHoldsTheConfigurationThatItActsOn(t *testing.T) {
	c := &Coordinator{gatewayViews: newViewLeases(leaseTerm)}
	c.gatewayViews.restart(-leaseTerm)
	shown := &region.State{ListRevision: 9, Version: 9}
	for name, test := range map[string]struct {
		request region.ViewRequest
		want    heldView
	}{
		"its first":           {region.ViewRequest{}, heldView{9, 9}},
		"its first, received": {region.ViewRequest{ListRevision: 8, Version: 7}, heldView{8, 7}},
		"received":            {region.ViewRequest{ListRevision: 8, Version: 8, InForce: 7}, heldView{8, 7}},
		"in force":            {region.ViewRequest{ListRevision: 8, Version: 8, InForce: 8}, heldView{8, 8}},
	} {
		c.renewGatewayView(0, &test.request, shown)
		assert.Equal(t, test.want, c.gatewayViews.oldest(0, newestView(shown)), name)
	}
}
