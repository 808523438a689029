package daemon

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// routeHistory remembers to which services the requests of routes have gone within origin.Window.
type routeHistory map[routePlace]*routeServices

// routePlace identifies a route over configurations.
type routePlace struct{ host, prefix string }

func placeOf(route *traffic.Route) routePlace { return routePlace{route.Host, route.PathPrefix} }

// routeServices is where the requests of a route go, and when they last went elsewhere.
type routeServices struct {
	present []string
	former  map[string]time.Duration
}

// note records a route of a configuration that takes effect. It returns the services that the route had before, if it has
// others now.
func (h routeHistory) note(now time.Duration, route *traffic.Route) (changed []string) {
	known := h[placeOf(route)]
	if known == nil {
		known = &routeServices{}
		h[placeOf(route)] = known
	}
	for service, left := range known.former {
		if now-left >= origin.Window {
			delete(known.former, service)
		}
	}
	before := known.present
	known.present = servicesOf(route)
	for _, service := range before {
		if slices.Contains(known.present, service) {
			continue
		}
		if known.former == nil {
			known.former = map[string]time.Duration{}
		}
		known.former[service] = now
	}
	if slices.Equal(slices.Sorted(slices.Values(before)), slices.Sorted(slices.Values(known.present))) {
		return nil
	}
	return before
}

// prune forgets the routes that a configuration no longer has.
func (h routeHistory) prune(configuration *traffic.Configuration) {
	present := make(map[routePlace]bool, len(configuration.Routes))
	for index := range configuration.Routes {
		present[placeOf(&configuration.Routes[index])] = true
	}
	for place := range h {
		if !present[place] {
			delete(h, place)
		}
	}
}

// services returns the services at which streams of a route may have begun within origin.Window.
func (h routeHistory) services(now time.Duration, route *traffic.Route) []string {
	services := servicesOf(route)
	known := h[placeOf(route)]
	if known == nil {
		return services
	}
	for service, left := range known.former {
		if now-left < origin.Window && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// servicesOf returns the services that requests of a route go to.
func servicesOf(route *traffic.Route) []string {
	var services []string
	for _, part := range route.Split {
		if part.Weight > 0 {
			services = append(services, part.Service)
		}
	}
	return services
}
