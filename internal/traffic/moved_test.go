package traffic_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// streamRoute is a route for streams that callers may take up, to services.
func streamRoute(prefix string, services ...string) traffic.Route {
	route := traffic.Route{Name: prefix, Host: "H.example", PathPrefix: prefix, Kind: traffic.KindStream, Resumable: true}
	for _, service := range services {
		route.Split = append(route.Split, traffic.Part{Service: service, Weight: 1})
	}
	return route
}

func at(prefix, service string) origin.RouteService {
	return origin.RouteService{Host: "h.example", PathPrefix: prefix, Service: service}
}

// Guards against streams that are taken up at a service which a route has got since, by a change of the route itself or by one
// that was put over or beneath it.
func TestMovedStreams(t *testing.T) {
	once := streamRoute("/a/", "b")
	once.Kind = traffic.KindOnce
	other := streamRoute("/a/", "b")
	other.Host = "other.example"
	idle := streamRoute("/a/", "a")
	idle.Split = append(idle.Split, traffic.Part{Service: "b"})
	for name, test := range map[string]struct {
		before, after []traffic.Route
		want          traffic.Moved
	}{
		"nothing has changed":     {[]traffic.Route{streamRoute("/a/", "a", "b")}, []traffic.Route{streamRoute("/a/", "b", "a")}, traffic.Moved{}},
		"another service":         {[]traffic.Route{streamRoute("/a/", "a")}, []traffic.Route{streamRoute("/a/", "b")}, traffic.Moved{Former: []origin.RouteService{at("/a/", "a")}, Added: []origin.RouteService{at("/a/", "b")}}},
		"split":                   {[]traffic.Route{streamRoute("/a/", "a")}, []traffic.Route{streamRoute("/a/", "a", "b")}, traffic.Moved{Added: []origin.RouteService{at("/a/", "b")}}},
		"split no more":           {[]traffic.Route{streamRoute("/a/", "a", "b")}, []traffic.Route{idle}, traffic.Moved{Former: []origin.RouteService{at("/a/", "b")}}},
		"a new place":             {[]traffic.Route{streamRoute("/a/", "a")}, []traffic.Route{streamRoute("/a/", "a"), streamRoute("/b/", "b")}, traffic.Moved{}},
		"a route beneath it":      {[]traffic.Route{streamRoute("/a/", "a")}, []traffic.Route{streamRoute("/a/", "a"), streamRoute("/a/b/", "b")}, traffic.Moved{Former: []origin.RouteService{at("/a/b/", "a")}, Added: []origin.RouteService{at("/a/b/", "b")}}},
		"no route beneath it now": {[]traffic.Route{streamRoute("/a/", "a"), streamRoute("/a/b/", "b")}, []traffic.Route{streamRoute("/a/", "a")}, traffic.Moved{Former: []origin.RouteService{at("/a/", "b")}, Added: []origin.RouteService{at("/a/", "a")}}},
		"a route over it":         {[]traffic.Route{streamRoute("/a/b/", "b")}, []traffic.Route{streamRoute("/a/", "a")}, traffic.Moved{Former: []origin.RouteService{at("/a/", "b")}, Added: []origin.RouteService{at("/a/", "a")}}},
		"exchanged":               {[]traffic.Route{streamRoute("/a/", "a"), streamRoute("/b/", "b")}, []traffic.Route{streamRoute("/a/", "b"), streamRoute("/b/", "a")}, traffic.Moved{Former: []origin.RouteService{at("/a/", "a"), at("/b/", "b")}, Added: []origin.RouteService{at("/a/", "b"), at("/b/", "a")}}},
		"no streams now":          {[]traffic.Route{streamRoute("/a/", "a")}, []traffic.Route{once}, traffic.Moved{}},
		"another host":            {[]traffic.Route{streamRoute("/a/", "a")}, []traffic.Route{streamRoute("/a/", "a"), other}, traffic.Moved{}},
		"the only route is gone":  {[]traffic.Route{streamRoute("/a/", "a")}, nil, traffic.Moved{}},
	} {
		got := traffic.MovedStreams(&traffic.Configuration{Routes: test.before}, &traffic.Configuration{Routes: test.after})
		assert.ElementsMatch(t, test.want.Former, got.Former, name)
		assert.ElementsMatch(t, test.want.Added, got.Added, name)
	}
	assert.Empty(t, traffic.MovedStreams(nil, &traffic.Configuration{Routes: []traffic.Route{once}}))
}

// A route's services are found by its nearest place only.
func TestMovedStreamsOfDeepPlaces(t *testing.T) {
	var before, after []traffic.Route
	prefix := "/"
	for depth := range 50 {
		prefix += "p/"
		before = append(before, streamRoute(prefix, fmt.Sprint("s", depth)))
		if depth != 25 {
			after = append(after, streamRoute(prefix, fmt.Sprint("s", depth)))
		}
	}
	got := traffic.MovedStreams(&traffic.Configuration{Routes: before}, &traffic.Configuration{Routes: after})
	above := before[24].PathPrefix
	assert.Equal(t, []origin.RouteService{at(above, "s25")}, got.Former)
	assert.Equal(t, []origin.RouteService{at(above, "s24")}, got.Added)
}
