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

// RegionLoad is what this coordinator knows of a service's replicas in a region. Coordinators know the
// requests at replicas only where they select the replicas.
type RegionLoad struct {
	Region  string `json:"region"`
	Service string `json:"service"`
	// Replicas is the number of replicas on the list, and Standby how many of these are on standby. Of the
	// active ones, Reading are prefill replicas, Generating decode replicas, and Changing those that change
	// their stage; Slots is the sum of the active replicas' slots.
	Replicas   int `json:"replicas"`
	Standby    int `json:"standby"`
	Reading    int `json:"reading"`
	Generating int `json:"generating"`
	Changing   int `json:"changing"`
	Slots      int `json:"slots"`
	// Requests is the number of requests at the replicas, PlacedHere how many of them this coordinator
	// has placed for its gateways.
	Requests   int `json:"requests"`
	PlacedHere int `json:"placed_here"`
	// Own is set if the coordinator is in the region. For other regions, ReportAgeMillis is the age of the
	// newest report of the region's work, -1 if there is none that still counts.
	Own             bool  `json:"own"`
	ReportAgeMillis int64 `json:"word_age_ms"`
}

// RegionLoads returns the load of each service in each region, sorted by region and service.
func (c *Coordinator) RegionLoads() []RegionLoad {
	state, _ := c.machine.read()
	changing := map[region.Incarnation]bool{}
	for _, change := range state.Changes {
		changing[change.Incarnation()] = true
	}
	requestsByReplica := c.placement.directory.Requests()
	loads := map[stageGroup]*RegionLoad{}
	for _, listed := range state.Replicas {
		replica := listed.Replica
		load := c.regionLoadFor(loads, &replica)
		load.Replicas++
		if listed.Standby {
			load.Standby++
			continue
		}
		load.Slots += replica.Slots
		requests := requestsByReplica[replica.Incarnation().Name()]
		load.Requests += requests.All
		load.PlacedHere += requests.Own
		switch {
		case changing[replica.Incarnation()] || replica.Stage == region.StageChanging:
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

// regionLoadFor returns the entry of loads for a replica's service and region, and adds it if there is none.
func (c *Coordinator) regionLoadFor(loads map[stageGroup]*RegionLoad, replica *region.Replica) *RegionLoad {
	regions := c.settings.Topology
	group := stageGroup{service: replica.Service, region: regions.RegionOf(replica.Zone)}
	load, found := loads[group]
	if !found {
		own := group.region == regions.RegionOf(c.settings.Zone)
		load = &RegionLoad{Region: group.region, Service: group.service, Own: own}
		if !own {
			load.ReportAgeMillis = reportAgeMillis(c.placement.directory.RegionReportAge(group.region))
		}
		loads[group] = load
	}
	return load
}

func reportAgeMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// otherRegions lists the regions other than this coordinator's.
func (c *Coordinator) otherRegions() []string {
	own := c.settings.Topology.RegionOf(c.settings.Zone)
	return slices.DeleteFunc(c.settings.Topology.Names(), func(name string) bool { return name == own })
}

// regionsWithoutReport counts the other regions without a report of their work that still counts.
func (c *Coordinator) regionsWithoutReport() int {
	count := 0
	for _, name := range c.otherRegions() {
		if c.placement.directory.RegionReportAge(name) < 0 {
			count++
		}
	}
	return count
}

// regionReportCheckInterval is the interval at which the reports of other regions are checked.
const regionReportCheckInterval = 500 * time.Millisecond

// logRegionReports logs when the reports of another region stop, and when they resume.
func (c *Coordinator) logRegionReports(ctx context.Context) {
	reporting := map[string]bool{}
	for lifecycle.Sleep(ctx, regionReportCheckInterval) {
		for _, name := range c.otherRegions() {
			age := c.placement.directory.RegionReportAge(name)
			if now := age >= 0; now != reporting[name] {
				reporting[name] = now
				c.logger.Info(event.RegionWord, "region", name, "heard", now, "age_ms", reportAgeMillis(age))
			}
		}
	}
}
