package coordinator

import (
	"slices"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

const (
	// maximumMovedRoutes bounds the services of routes that a change of the configuration names. Beyond it, it stands for all.
	maximumMovedRoutes = 1024
	// maximumKeptRoutes bounds those that the state keeps.
	maximumKeptRoutes = 4096
)

// noteRoutes records in a state at which services of routes streams may begin no more, or not yet, by a change of the
// configuration.
func noteRoutes(state *region.State, change *region.ConfigurationCommand) {
	switch {
	case change.At == 0:
		state.FormerRoutes, state.RoutesSince, state.NewRoutes = nil, 0, nil
		return
	case state.Version == 0:
		state.RoutesSince = sinceEver
	case state.RoutesSince == 0:
		state.RoutesSince = change.At
	}
	former := slices.DeleteFunc(slices.Clone(state.FormerRoutes), func(each region.FormerRoute) bool {
		return change.At-each.Until >= int64(origin.Window+clockSlack)
	})
	for _, at := range change.Former {
		former = append(former, region.FormerRoute{RouteService: at, Until: change.At})
	}
	if len(former) > maximumKeptRoutes {
		former, state.RoutesSince = nil, change.At
	}
	added := slices.Clone(state.NewRoutes)
	for _, at := range change.Added {
		added = append(added, region.NewRoute{RouteService: at, Version: change.Version})
	}
	if len(added) > maximumKeptRoutes {
		added = []region.NewRoute{{RouteService: origin.AnyRouteService, Version: change.Version}}
	}
	state.FormerRoutes, state.NewRoutes = former, added
}

// formerRoutes returns the services at which streams of routes have begun within origin.Window by earlier configurations, and
// whether that is all.
func (c *Coordinator) formerRoutes(state *region.State) (former []region.FormerRoute, complete bool) {
	now := c.usage.clock.Now().UnixNano()
	for _, each := range state.FormerRoutes {
		if now-each.Until < int64(origin.Window+clockSlack) {
			former = append(former, each)
		}
	}
	return former, c.isCompleteSince(state.RoutesSince, now)
}

// configurationCommand returns the command that puts a configuration into effect in place of that of a state.
func (c *Coordinator) configurationCommand(state *region.State, request *region.ReplaceRequest) (*region.ConfigurationCommand, error) {
	command := &region.ConfigurationCommand{Version: request.Version, Document: request.Document}
	if !c.gatesSoftware(state) {
		return command, nil
	}
	command.At, command.Base = c.usage.clock.Now().UnixNano(), state.Version
	if state.Version == 0 {
		return command, nil
	}
	moved, err := c.movedStreams(state.Document, request.Document)
	if err != nil {
		return nil, err
	}
	command.Former, command.Added = boundRoutes(moved.Former), boundRoutes(moved.Added)
	return command, nil
}

// movedStreams returns where streams begin no more by a document, and where they did not begin by the one before. An earlier
// build may have accepted one that this one can't read: then they may have begun anywhere.
func (c *Coordinator) movedStreams(before, after []byte) (traffic.Moved, error) {
	read, err := decodeConfiguration(c.settings.Codec, after)
	if err != nil {
		return traffic.Moved{}, err
	}
	earlier, err := decodeConfiguration(c.settings.Codec, before)
	if err != nil {
		c.logger.Info(event.ConfigurationRefused, "reason", err.Error(), "bytes", len(before))
		all := []origin.RouteService{origin.AnyRouteService}
		return traffic.Moved{Former: all, Added: all}, nil
	}
	return traffic.MovedStreams(earlier, read), nil
}

// boundRoutes returns services of routes or, if they are too many, what stands for all.
func boundRoutes(moved []origin.RouteService) []origin.RouteService {
	if len(moved) > maximumMovedRoutes {
		return []origin.RouteService{origin.AnyRouteService}
	}
	return moved
}
