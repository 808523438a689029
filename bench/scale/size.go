package scale

import (
	"fmt"
	"slices"
)

// Fault is the kind of loss that a run injects.
type Fault string

// Faults of a run.
const (
	FaultNone       Fault = ""
	FaultController Fault = "controller"
	FaultZone       Fault = "zone"
	FaultRack       Fault = "rack"
	FaultRegionLink Fault = "region-link"
)

func faults() []Fault {
	return []Fault{FaultNone, FaultController, FaultZone, FaultRack, FaultRegionLink}
}

// Size is the size of a simulated deployment.
type Size struct {
	// Nodes is the number of gateways, hollow and real ones together.
	Nodes int `json:"nodes"`
	// Replicas is the number of hollow engines.
	Replicas int `json:"replicas"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	// Controllers is the number of control machines.
	Controllers int `json:"controllers"`
	Tenants     int `json:"tenants"`
	Models      int `json:"models"`
	// ChangesPerMinute is the rate of configuration changes.
	ChangesPerMinute float64 `json:"changes_per_minute"`
	// ClaimsPerSecond is the rate of once-only claims of the whole fleet.
	ClaimsPerSecond float64 `json:"claims_per_second"`
}

// The target deployment; docs/CAPACITY.md evaluates it for each role.
const (
	targetNodes         = 480
	targetReplicas      = 3700
	targetZones         = 7
	targetRegions       = 2
	targetControllers   = 20
	targetTenants       = 460
	targetModels        = 13
	targetChangesPerDay = 7800
	targetRequests      = 60_000 // a second
	prefillShare        = 0.23
	minutesPerDay       = 24 * 60
)

// Composition of a run.
const (
	controllersPerZone  = 3
	realGatewaysPerZone = 1
	rackNodes           = 40
	maximumProcesses    = 200
)

// TargetSize returns the size of the target deployment.
func TargetSize() Size {
	return Size{
		Nodes:            targetNodes,
		Replicas:         targetReplicas,
		Zones:            targetZones,
		Regions:          targetRegions,
		Controllers:      targetControllers,
		Tenants:          targetTenants,
		Models:           targetModels,
		ChangesPerMinute: float64(targetChangesPerDay) / minutesPerDay,
	}
}

// check returns an error for the first invalid field.
func (s Size) check() error {
	switch {
	case s.Zones < 1 || s.Zones > 40:
		return fmt.Errorf("zones: %d is not between 1 and 40", s.Zones)
	case s.Regions < 1 || s.Regions > s.Zones:
		return fmt.Errorf("regions: %d is not between 1 and the number of zones", s.Regions)
	case s.Nodes < s.Zones*(realGatewaysPerZone+1):
		return fmt.Errorf("nodes: %d is fewer than two a zone", s.Nodes)
	case s.Replicas < s.Zones:
		return fmt.Errorf("replicas: %d is fewer than one a zone", s.Replicas)
	case s.Controllers < s.Zones:
		return fmt.Errorf("controllers: %d is fewer than one a zone", s.Controllers)
	case s.Tenants < 1 || s.Models < 1:
		return fmt.Errorf("tenants and models: at least one of each is needed")
	case s.processes() > maximumProcesses:
		return fmt.Errorf("%d processes are more than %d", s.processes(), maximumProcesses)
	}
	return nil
}

// processes returns the number of operating-system processes of a run.
func (s Size) processes() int {
	const platformProcesses, workersPerZone = 2, 2
	return platformProcesses + s.Zones*(controllersPerZone+realGatewaysPerZone+workersPerZone)
}

// split divides a number as evenly as possible; the first parts are larger.
func split(total, parts int) []int {
	shares := make([]int, parts)
	for index := range shares {
		shares[index] = total / parts
		if index < total%parts {
			shares[index]++
		}
	}
	return shares
}

// regionOf returns the region of a zone. If the zones don't divide evenly, the first regions have one more.
func (s Size) regionOf(zone int) int {
	counts := split(s.Zones, s.Regions)
	for region, count := range counts {
		if zone < count {
			return region
		}
		zone -= count
	}
	return len(counts) - 1
}

// machineOf returns the number of the control machine that runs a controller. With fewer than three machines per zone,
// the last zones have two of their own, and the third replica of their group runs as the witness on a machine of a
// neighboring zone in the same region.
func (s Size) machineOf(zone, controller int) int {
	own := s.machinesPerZone()
	if controller < own[zone] {
		first := 0
		for _, count := range own[:zone] {
			first += count
		}
		return first + controller
	}
	neighbour := s.neighbourOf(zone)
	return s.machineOf(neighbour, (controller-own[zone])%own[neighbour])
}

// machinesPerZone distributes the control machines among the zones, at most three to each.
func (s Size) machinesPerZone() []int {
	return split(min(s.Controllers, s.Zones*controllersPerZone), s.Zones)
}

// neighbourOf returns another zone of the same region, or of any region if there is none.
func (s Size) neighbourOf(zone int) int {
	var candidates []int
	for other := range s.Zones {
		if other != zone && s.regionOf(other) == s.regionOf(zone) {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return (zone + 1) % s.Zones
	}
	larger := slices.IndexFunc(candidates, func(other int) bool { return other > zone })
	if larger < 0 {
		return candidates[len(candidates)-1]
	}
	return candidates[larger]
}
