package experiment

import (
	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// ChooserKind is a way to choose engines.
type ChooserKind int

// Ways to choose engines.
const (
	// ChooseRouter is the product's routing.
	ChooseRouter ChooserKind = iota
	// ChooseRoundRobin takes engines in turn.
	ChooseRoundRobin
)

// Setup is everything that differs between two runs of one trace.
type Setup struct {
	Name      string
	Chooser   ChooserKind
	Routing   routing.Options
	Admission admission.Options
	Retry     retry.Options
	// Queueing holds requests at the gateway while engines are full.
	Queueing bool
	// EarlyRefusal refuses what can't be answered in time.
	EarlyRefusal bool
	// Priorities of tenants are kept, else all are equal.
	Priorities bool
	// Spill hands requests to another zone when the own one is full.
	Spill bool
	// Migration moves streams away from engines that are to change.
	Migration bool
	// Initial is the split of each zone at the start.
	Initial []planner.Split
	// Controller makes the strategy of one zone.
	Controller func(zone int) strategy
}

// productSetup is the product as it is, but for its control of roles.
func productSetup(name string, initial []planner.Split) Setup {
	return Setup{
		Name:         name,
		Routing:      routing.DefaultOptions(),
		Admission:    admission.DefaultOptions(),
		Retry:        retry.DefaultOptions(),
		Queueing:     true,
		EarlyRefusal: true,
		Priorities:   true,
		Spill:        true,
		Migration:    true,
		Initial:      initial,
	}
}

// staticSetup keeps the splits as they are.
func staticSetup(splits []planner.Split) Setup {
	return productSetup("static", splits)
}

// plannerSetup is the whole product.
func plannerSetup(deployment Deployment) Setup {
	setup := productSetup("planner", uniform(deployment, shippedSplit(deployment)))
	setup.Controller = func(int) strategy { return &product{planner.New(planner.DefaultOptions())} }
	return setup
}

// reactiveSetup replaces the planner by the threshold rule.
func reactiveSetup(deployment Deployment) Setup {
	setup := productSetup("reactive", uniform(deployment, shippedSplit(deployment)))
	setup.Controller = func(int) strategy { return &reactive{} }
	return setup
}

// balancer strips a setup to a plain load balancer over the best static split:
// no queue, no refusals, no priorities, no spill.
func balancer(name string, splits []planner.Split) Setup {
	setup := productSetup(name, splits)
	setup.Queueing = false
	setup.EarlyRefusal = false
	setup.Priorities = false
	setup.Spill = false
	return setup
}

func roundRobinSetup(splits []planner.Split) Setup {
	setup := balancer("round-robin", splits)
	setup.Chooser = ChooseRoundRobin
	return setup
}

func leastLoadedSetup(splits []planner.Split) Setup {
	setup := balancer("least-loaded", splits)
	setup.Routing.SampleSize = 0
	setup.Routing.Weights = routing.Weights{Queue: 1}
	return setup
}

func (s Setup) priority(tenant Tenant) int {
	if !s.Priorities {
		return 0
	}
	return tenant.Priority
}

// uniform gives every zone the same split.
func uniform(deployment Deployment, split planner.Split) []planner.Split {
	all := make([]planner.Split, deployment.Zones)
	for index := range all {
		all[index] = split
	}
	return all
}

// shippedSplit is the split that the deployments' files start with: two mixed
// engines for each decode engine.
func shippedSplit(deployment Deployment) planner.Split {
	decode := deployment.Engines / 3
	return planner.Split{Decode: decode, Mixed: deployment.Engines - decode}
}
