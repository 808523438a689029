package coordinator

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/pierhaven/pierhaven/internal/fleetplan"
)

// FleetReport explains the number of replicas of each service, as the leader plans it.
type FleetReport struct {
	// Leader is the leader's address, empty if it is not known; only the leader's report has services.
	Leader   string         `json:"leader"`
	Services []ServiceFleet `json:"services"`
}

// ServiceFleet is a service's part of a FleetReport.
type ServiceFleet struct {
	Service string `json:"service"`
	// Learned is false while the number of replicas that were there at the start counts as sufficient.
	Learned bool `json:"learned"`
	// Wanted is the number of replicas wanted, Readers the number of prefill replicas, and Enough the
	// number up to which stable replicas replace preempted ones.
	Wanted  int `json:"wanted"`
	Readers int `json:"readers"`
	Enough  int `json:"enough"`
	// Busy is the number of replicas that the load keeps busy. Prompts and Delayed are the prompts
	// that arrive and those that wait too long, per second.
	Busy    float64 `json:"busy"`
	Prompts float64 `json:"prompts_per_second"`
	Delayed float64 `json:"delayed_per_second"`
	// Late is the number of prompts a second that are expected to be late, NextWorth by how many one
	// more replica would reduce it, and NextPrice the cost of that replica in the same unit.
	Late      float64 `json:"late_per_second"`
	NextWorth float64 `json:"next_worth"`
	NextPrice float64 `json:"next_price"`
}

// fleetExplanations holds the leader's planning results by service.
type fleetExplanations struct {
	mutex    sync.Mutex
	services map[string]fleetplan.Explanation
}

func (f *fleetExplanations) note(service string, explanation fleetplan.Explanation) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.services == nil {
		f.services = map[string]fleetplan.Explanation{}
	}
	f.services[service] = explanation
}

func (f *fleetExplanations) all() map[string]fleetplan.Explanation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return maps.Clone(f.services)
}

// Fleet returns the reasons for the number of replicas of each service.
func (c *Coordinator) Fleet() FleetReport {
	report := FleetReport{Leader: c.group.LeaderAddress(), Services: []ServiceFleet{}}
	if !c.Leads() {
		return report
	}
	for service, explanation := range c.explanations.all() {
		report.Services = append(report.Services, ServiceFleet{
			Service:   service,
			Learned:   explanation.Learned,
			Wanted:    explanation.Wanted,
			Readers:   explanation.PrefillReplicas,
			Enough:    explanation.Sufficient,
			Busy:      explanation.Load.Busy,
			Prompts:   explanation.Load.Prompts,
			Delayed:   explanation.Load.Delayed,
			Late:      explanation.Late,
			NextWorth: explanation.NextWorth,
			NextPrice: explanation.NextPrice,
		})
	}
	slices.SortFunc(report.Services, func(a, b ServiceFleet) int { return strings.Compare(a.Service, b.Service) })
	return report
}

// fleetSum adds a figure up over all services. It is 0 at coordinators that do not lead.
func (c *Coordinator) fleetSum(figure func(ServiceFleet) float64) float64 {
	sum := 0.0
	for _, service := range c.Fleet().Services {
		sum += figure(service)
	}
	return sum
}
