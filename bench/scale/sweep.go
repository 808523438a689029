package scale

import (
	"time"
)

// Sweep is a series of runs that differ in one variable.
type Sweep struct {
	Name string
	// Variable is the name of x, and Target its value at the target deployment.
	Variable string
	Target   float64
	Duration time.Duration
	Sizes    []Size
	x        func(Size) float64
}

const (
	// usageCycle is the time in which a gateway reports each tenant once. Windows in which its bytes are measured
	// last a multiple of it.
	usageCycle  = 30 * time.Second
	shortWindow = 20 * time.Second
	// reducedNodes is the number of nodes in sweeps of other variables.
	reducedNodes = 60
)

// sweeps returns the sweeps of docs/CAPACITY.md.
func sweeps() []Sweep {
	return []Sweep{changeSweep(), sizeSweep(), claimSweep(), tenantSweep()}
}

// sized returns the target with fewer nodes, and replicas in proportion.
func sized(nodes int) Size {
	size := TargetSize()
	size.Nodes = nodes
	size.Replicas = targetReplicas * nodes / targetNodes
	return size
}

func sizeSweep() Sweep {
	sweep := Sweep{
		Name: "size", Variable: "nodes, with replicas in proportion", Target: targetNodes, Duration: usageCycle,
		x: func(s Size) float64 { return float64(s.Nodes) },
	}
	for _, nodes := range []int{60, 120, 240, 480} {
		sweep.Sizes = append(sweep.Sizes, sized(nodes))
	}
	return sweep
}

func changeSweep() Sweep {
	sweep := Sweep{
		Name: "changes", Variable: "configuration changes a second", Target: float64(targetChangesPerDay) / (24 * 3600), Duration: shortWindow,
		x: func(s Size) float64 { return s.ChangesPerMinute / 60 },
	}
	for _, rate := range []float64{0, 60, 120, 240} {
		size := sized(reducedNodes)
		size.ChangesPerMinute = rate
		sweep.Sizes = append(sweep.Sizes, size)
	}
	return sweep
}

// claimSweep has no target, since no rate of application calls is given. It is evaluated at a hundred claims a second in
// each zone.
func claimSweep() Sweep {
	sweep := Sweep{
		Name: "claims", Variable: "once-only claims a second in a zone", Target: 100, Duration: shortWindow,
		x: func(s Size) float64 { return s.ClaimsPerSecond / float64(s.Zones) },
	}
	for _, perZone := range []float64{0, 25, 50, 100} {
		size := sized(reducedNodes)
		size.ClaimsPerSecond = perZone * float64(size.Zones)
		sweep.Sizes = append(sweep.Sizes, size)
	}
	return sweep
}

func tenantSweep() Sweep {
	sweep := Sweep{
		Name: "tenants", Variable: "tenants", Target: targetTenants, Duration: usageCycle,
		x: func(s Size) float64 { return float64(s.Tenants) },
	}
	for _, tenants := range []int{115, 230, 345, 460} {
		size := sized(reducedNodes)
		size.Tenants = tenants
		sweep.Sizes = append(sweep.Sizes, size)
	}
	return sweep
}
