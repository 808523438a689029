package controller

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/pierhaven/pierhaven/internal/api/platformapi"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

// watchMachines polls the platform's list of machines until the term ends. It
// returns at once if there is no list.
func (c *Controller) watchMachines(ctx context.Context, t *term) {
	if c.settings.MachineListAddress == "" {
		return
	}
	for {
		var list platformapi.MachineList
		err := c.backEnds.get(ctx, c.settings.MachineListAddress, platformapi.PathMachines, &list)
		if err == nil {
			c.directory.updateListed(list.Machines)
			t.machinesListed(&list)
		} else {
			c.logger.V(1).Info("could not read machine list", "error", err.Error())
		}
		if !lifecycle.Sleep(ctx, c.settings.PlatformPollInterval) {
			return
		}
	}
}

// directory holds the addresses of each zone's controllers: those of the
// settings and, as a hint, those of the platform's machine list. It may be used
// concurrently.
type directory struct {
	configured map[string][]string

	mutex  sync.Mutex
	listed map[string][]string
}

func newDirectory(settings Settings) *directory {
	d := &directory{configured: map[string][]string{}, listed: map[string][]string{}}
	for _, zone := range settings.OtherZones {
		d.configured[zone.Zone] = append(d.configured[zone.Zone], zone.Controllers...)
	}
	d.configured[settings.Zone] = append(d.configured[settings.Zone], settings.ZoneVoters...)
	return d
}

func (d *directory) updateListed(machines []platformapi.Machine) {
	listed := map[string][]string{}
	for _, machine := range machines {
		if machine.Kind == platformapi.KindController && machine.State != platformapi.MachineGone {
			listed[machine.Zone] = append(listed[machine.Zone], machine.Address)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.listed = listed
}

// controllers returns the known addresses of a zone's controllers, those of the
// settings first.
func (d *directory) controllers(zone string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return concatUnique(d.configured[zone], d.listed[zone])
}

// concatUnique concatenates lists without repeated or empty values.
func concatUnique(lists ...[]string) []string {
	seen := map[string]bool{}
	joined := []string{}
	for _, list := range lists {
		for _, value := range list {
			if value != "" && !seen[value] {
				seen[value] = true
				joined = append(joined, value)
			}
		}
	}
	return joined
}

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
