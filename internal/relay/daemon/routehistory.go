package daemon

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// routeHistory remembers at which services streams of routes began by earlier configurations, within origin.Window.
type routeHistory struct {
	// former has until when.
	former map[origin.RouteService]time.Duration
	// complete is set once a coordinator has told what was before the first configuration here.
	complete bool
}

// noteConfiguration records a configuration that takes effect after another one, nil for the first. It returns the services of
// the routes whose services have changed.
func (h *routeHistory) noteConfiguration(now time.Duration, before, after *traffic.Configuration) (changed []string) {
	maps.DeleteFunc(h.former, func(_ origin.RouteService, until time.Duration) bool { return now-until >= origin.Window })
	moved := traffic.MovedStreams(before, after)
	for _, at := range moved.Former {
		h.add(at, now)
	}
	for _, at := range slices.Concat(moved.Former, moved.Added) {
		for index := range before.Routes {
			if route := &before.Routes[index]; at.MayServe(strings.ToLower(route.Host), route.PathPrefix) {
				changed = append(changed, route.Services()...)
			}
		}
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// noteView records what a coordinator tells of earlier configurations.
func (h *routeHistory) noteView(now time.Duration, view *region.View) {
	for _, each := range view.FormerRoutes {
		h.add(each.RouteService, now-time.Duration(max(view.RegionNanos-each.Until, 0)))
	}
	h.complete = h.complete || view.RoutesComplete
}

func (h *routeHistory) add(at origin.RouteService, until time.Duration) {
	if h.former == nil {
		h.former = map[origin.RouteService]time.Duration{}
	}
	if known, found := h.former[at]; !found || known < until {
		h.former[at] = until
	}
}

// services returns the services at which streams of a route may have begun within origin.Window, and whether these are all that
// can be told from the configurations.
func (h *routeHistory) services(now time.Duration, route *traffic.Route) (services []string, complete bool) {
	services, complete = route.Services(), h.complete
	host := strings.ToLower(route.Host)
	for at, until := range h.former {
		switch {
		case now-until >= origin.Window || !at.MayServe(host, route.PathPrefix):
		case at == origin.AnyRouteService:
			complete = false
		case !slices.Contains(services, at.Service):
			services = append(services, at.Service)
		}
	}
	return services, complete
}
