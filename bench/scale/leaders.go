package scale

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
)

// controllerRole says which groups a controller leads.
type controllerRole int

const (
	roleFollower controllerRole = iota
	roleZoneLeader
	roleConfigLeader
	controllerRoles
)

// leaders holds the names of the controllers that lead groups.
type leaders struct {
	config string
	zones  map[string]string
}

// leaders queries which controllers lead the groups.
func (s *stage) leaders(ctx context.Context) (*leaders, error) {
	found := &leaders{zones: make(map[string]string)}
	list, err := s.operator.client.Zones(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "list the zones")
	}
	for _, zone := range list.Zones {
		if process := s.fleet.ControllerAt(zone.Group.LeaderAddress); process != nil {
			found.zones[zone.Zone] = process.Name
		}
	}
	members, err := s.operator.client.Members(ctx, operatorapi.GroupConfig)
	if err != nil {
		return nil, merry.Prepend(err, "list the config group")
	}
	if process := s.fleet.ControllerAt(members.Group.LeaderAddress); process != nil {
		found.config = process.Name
	}
	return found, nil
}

func (l *leaders) roleOf(process string) controllerRole {
	if process == l.config {
		return roleConfigLeader
	}
	for _, leader := range l.zones {
		if leader == process {
			return roleZoneLeader
		}
	}
	return roleFollower
}

// machineOf returns the number of a controller's control machine.
func (s *stage) machineOf(process string) int {
	for zone, places := range s.fleet.Layout().Zones {
		for index, place := range places.Controllers {
			if place.Name == process {
				return s.settings.Size.machineOf(zone, index)
			}
		}
	}
	return -1
}

// controllersOf returns the controllers on the machines of a zone, including the witness that one of them may run for
// another zone.
func (s *stage) controllersOf(zone int) []*fleet.Process {
	own := make(map[int]bool)
	count := s.settings.Size.machinesPerZone()[zone]
	for index := range count {
		own[s.settings.Size.machineOf(zone, index)] = true
	}
	var found []*fleet.Process
	for _, process := range s.fleet.OfKind(fleet.KindController, "") {
		if own[s.machineOf(process.Name)] {
			found = append(found, process)
		}
	}
	return found
}
