package coordinator

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
)

// SoftwareReport shows operators what the replicas of each service run, as this coordinator knows it.
type SoftwareReport struct {
	Address string          `json:"address"`
	Running []SoftwareCount `json:"running"`
	// Former is what no listed replica runs any more, and streams that have begun there may still be taken up.
	Former []FormerVersion `json:"former"`
	// Complete reports whether streams can have begun at nothing else. While it is not, gateways tell coordinators where
	// streams begin.
	Complete bool `json:"complete"`
	// Origins counts the streams whose origins this coordinator keeps, and the queries for them.
	Origins OriginCounts `json:"origins"`
}

// SoftwareCount is the number of a service's replicas that run a version, empty if it is not known.
type SoftwareCount struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Replicas counts all of them, Standby those on standby, Leaving those that leave, and Prefill those that prefill only:
	// no stream goes on there.
	Replicas int `json:"replicas"`
	Standby  int `json:"standby"`
	Leaving  int `json:"leaving"`
	Prefill  int `json:"prefill"`
}

// FormerVersion is a version that replicas of a service ran until some time ago.
type FormerVersion struct {
	Service string  `json:"service"`
	Version string  `json:"version"`
	AgoS    float64 `json:"ago_s"`
}

// OriginCounts are those of origin.Counts.
type OriginCounts struct {
	Kept    int    `json:"kept"`
	Dropped uint64 `json:"dropped"`
	Queries uint64 `json:"queries"`
	Found   uint64 `json:"found"`
}

// Software returns what the replicas of each service run.
func (c *Coordinator) Software() SoftwareReport {
	state, _ := c.machine.read()
	former, complete := c.formerSoftware(state)
	report := SoftwareReport{
		Address: c.settings.Address, Running: countSoftware(state.Replicas), Complete: complete, Origins: originCounts(c.origins.Counts()),
	}
	now := c.usage.clock.Now().UnixNano()
	for _, each := range former {
		report.Former = append(report.Former, FormerVersion{Service: each.Service, Version: each.Version, AgoS: float64(now-each.Until) / 1e9})
	}
	return report
}

func originCounts(counts origin.Counts) OriginCounts {
	return OriginCounts{Kept: counts.Kept, Dropped: counts.Dropped, Queries: counts.Queries, Found: counts.Found}
}

// countSoftware counts replicas by service and version.
func countSoftware(replicas []region.ListedReplica) []SoftwareCount {
	counts := map[serviceSoftware]*SoftwareCount{}
	for index := range replicas {
		listed := &replicas[index]
		running := serviceSoftware{listed.Replica.Service, listed.Replica.Software}
		count := counts[running]
		if count == nil {
			count = &SoftwareCount{Service: running.service, Version: running.version}
			counts[running] = count
		}
		count.Replicas++
		count.Standby += oneIf(listed.Standby)
		count.Leaving += oneIf(listed.Replica.IsLeaving())
		count.Prefill += oneIf(listed.Replica.Stage == region.StagePrefill)
	}
	sorted := make([]SoftwareCount, 0, len(counts))
	for _, each := range counts {
		sorted = append(sorted, *each)
	}
	slices.SortFunc(sorted, func(a, b SoftwareCount) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	return sorted
}

func oneIf(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
