package coordinator

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// RegionLoad is what this coordinator knows of a service's replicas in a region. Work is known to
// coordinators only where they choose the replicas.
type RegionLoad struct {
	Region  string `json:"region"`
	Service string `json:"service"`
	// Replicas on the list, of which some stand by. Of the others some read prompts, generate answers or
	// change their stage; Slots are theirs.
	Replicas   int `json:"replicas"`
	Standby    int `json:"standby"`
	Reading    int `json:"reading"`
	Generating int `json:"generating"`
	Changing   int `json:"changing"`
	Slots      int `json:"slots"`
	// Requests are those at the replicas, PlacedHere those of them that this coordinator has
	// placed for its gateways.
	Requests   int `json:"requests"`
	PlacedHere int `json:"placed_here"`
	// Own says that the coordinator is in the region. Of another, WordAgeMillis is how old the
	// newest word of its work is, -1 if none counts.
	Own           bool  `json:"own"`
	WordAgeMillis int64 `json:"word_age_ms"`
}

// RegionLoads returns what is known of each service in each region, by region and service.
func (c *Coordinator) RegionLoads() []RegionLoad {
	state, _ := c.machine.read()
	changing := map[region.Life]bool{}
	for _, change := range state.Changes {
		changing[change.Life()] = true
	}
	work := c.placement.directory.Requests()
	loads := map[stageGroup]*RegionLoad{}
	for _, listed := range state.Replicas {
		replica := listed.Replica
		load := c.loadOf(loads, &replica)
		load.Replicas++
		if listed.Standby {
			load.Standby++
			continue
		}
		load.Slots += replica.Slots
		requests := work[replica.Life().Name()]
		load.Requests += requests.All
		load.PlacedHere += requests.Own
		switch {
		case changing[replica.Life()] || replica.Stage == region.StageChanging:
			load.Changing++
		case replica.Stage == region.StagePrefill:
			load.Reading++
		case replica.Stage == region.StageDecode:
			load.Generating++
		}
	}
	sorted := make([]RegionLoad, 0, len(loads))
	for _, load := range loads {
		sorted = append(sorted, *load)
	}
	slices.SortFunc(sorted, func(a, b RegionLoad) int {
		return strings.Compare(a.Region+"\x00"+a.Service, b.Region+"\x00"+b.Service)
	})
	return sorted
}

// loadOf returns the load that a replica counts for.
func (c *Coordinator) loadOf(loads map[stageGroup]*RegionLoad, replica *region.Replica) *RegionLoad {
	places := c.settings.Topology
	group := stageGroup{service: replica.Service, region: places.RegionOf(replica.Zone)}
	load, found := loads[group]
	if !found {
		own := group.region == places.RegionOf(c.settings.Zone)
		load = &RegionLoad{Region: group.region, Service: group.service, Own: own}
		if !own {
			load.WordAgeMillis = wordAgeMillis(c.placement.directory.RegionWordAge(group.region))
		}
		loads[group] = load
	}
	return load
}

func wordAgeMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// otherRegions lists the regions beside this coordinator's.
func (c *Coordinator) otherRegions() []string {
	own := c.settings.Topology.RegionOf(c.settings.Zone)
	return slices.DeleteFunc(c.settings.Topology.Names(), func(name string) bool { return name == own })
}

// silentRegions counts the other regions whose work nothing is known of.
func (c *Coordinator) silentRegions() int {
	silent := 0
	for _, name := range c.otherRegions() {
		if c.placement.directory.RegionWordAge(name) < 0 {
			silent++
		}
	}
	return silent
}

// regionWordPoll is the pause between two looks whether other regions are heard.
const regionWordPoll = 500 * time.Millisecond

// logRegionWords writes a line when another region falls silent, and when it is heard again.
func (c *Coordinator) logRegionWords(ctx context.Context) {
	heard := map[string]bool{}
	for lifecycle.Sleep(ctx, regionWordPoll) {
		for _, name := range c.otherRegions() {
			age := c.placement.directory.RegionWordAge(name)
			if now := age >= 0; now != heard[name] {
				heard[name] = now
				c.logger.Info(event.RegionWord, "region", name, "heard", now, "age_ms", wordAgeMillis(age))
			}
		}
	}
}
