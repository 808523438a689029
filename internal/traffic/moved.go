package traffic

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pierhaven/pierhaven/internal/origin"
)

// Moved is how a configuration differs from the one before it in where streams that callers may take up begin.
type Moved struct {
	// Former are the services at which streams may have begun before and begin no more, Added those at which they begin now and
	// did not before. Both name routes of the later configuration.
	Former, Added []origin.RouteService
}

// MovedStreams returns what differs between two configurations, nothing if before is nil.
func MovedStreams(before, after *Configuration) Moved {
	var moved Moved
	if before == nil {
		return moved
	}
	for _, at := range coveredPlaces(before, after) {
		if at.before == nil || at.after == nil || !at.after.MayBeTakenUp() {
			continue
		}
		earlier, now := at.before.Services(), at.after.Services()
		moved.Former = addMissing(moved.Former, at.after, earlier, now)
		moved.Added = addMissing(moved.Added, at.after, now, earlier)
	}
	slices.SortFunc(moved.Former, compareRouteServices)
	slices.SortFunc(moved.Added, compareRouteServices)
	return Moved{Former: slices.Compact(moved.Former), Added: slices.Compact(moved.Added)}
}

// addMissing adds the services of a route that others lack.
func addMissing(to []origin.RouteService, route *Route, services, others []string) []origin.RouteService {
	for _, service := range services {
		if !slices.Contains(others, service) {
			to = append(to, origin.RouteService{Host: strings.ToLower(route.Host), PathPrefix: route.PathPrefix, Service: service})
		}
	}
	return to
}

func compareRouteServices(a, b origin.RouteService) int {
	return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.PathPrefix, b.PathPrefix), strings.Compare(a.Service, b.Service))
}

// coveredPlace is a place at which either of two configurations has a route, and which of their routes serve the requests there.
type coveredPlace struct {
	place
	before, after *Route
}

// coveredPlaces returns the places of the routes of two configurations.
func coveredPlaces(before, after *Configuration) []coveredPlace {
	var places []coveredPlace
	for index := range before.Routes {
		route := &before.Routes[index]
		places = append(places, coveredPlace{place: place{strings.ToLower(route.Host), route.PathPrefix}, before: route})
	}
	for index := range after.Routes {
		route := &after.Routes[index]
		places = append(places, coveredPlace{place: place{strings.ToLower(route.Host), route.PathPrefix}, after: route})
	}
	slices.SortStableFunc(places, func(a, b coveredPlace) int {
		return cmp.Or(strings.Compare(a.host, b.host), strings.Compare(a.prefix, b.prefix))
	})
	// Prefixes of a place come before it, so that the places over the current one are a stack.
	var over []coveredPlace
	covered := places[:0]
	for _, at := range places {
		for len(over) > 0 && !over[len(over)-1].covers(at.place) {
			over = over[:len(over)-1]
		}
		if len(over) > 0 {
			at.before = cmp.Or(at.before, over[len(over)-1].before)
			at.after = cmp.Or(at.after, over[len(over)-1].after)
		}
		if len(covered) > 0 && covered[len(covered)-1].place == at.place {
			covered, over = covered[:len(covered)-1], over[:len(over)-1]
		}
		covered, over = append(covered, at), append(over, at)
	}
	return covered
}

// covers reports whether another place is at or beneath this one.
func (p place) covers(other place) bool {
	return p.host == other.host && strings.HasPrefix(other.prefix, p.prefix)
}
