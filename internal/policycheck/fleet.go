package policycheck

import (
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// Zone is a zone at the start of a replay.
type Zone struct {
	Name     string
	Gateways int
	Engines  []Engine
}

// Engine is an engine with its role and what it has loaded.
type Engine struct {
	ID       string
	Role     string
	Model    string
	Version  string
	Adapters []string
}

// deployment is the part of a deployment file that lists zones and engines.
type deployment struct {
	Zones []struct {
		Name     string `yaml:"name"`
		Gateways int    `yaml:"gateways"`
		Engines  []struct {
			Count   int    `yaml:"count"`
			Role    string `yaml:"role"`
			Model   string `yaml:"model"`
			Version string `yaml:"version"`
		} `yaml:"engines"`
	} `yaml:"zones"`
}

// maximumEngines is the maximum number of engines in a deployment.
const maximumEngines = 100_000

// ReadZones reads the zones and engines of a deployment file.
func ReadZones(file string, content []byte) (zones []Zone, err error) {
	// The YAML library (v1.19.2) panics on some malformed input.
	defer func() {
		if reason := recover(); reason != nil {
			err = Problem{File: file, Message: fmt.Sprintf("is not readable as YAML: %v", reason)}
		}
	}()
	var parsed deployment
	if err := yaml.Unmarshal(content, &parsed); err != nil {
		return nil, Document{File: file}.yamlProblem(err)
	}
	total := 0
	for _, each := range parsed.Zones {
		zone := Zone{Name: each.Name, Gateways: max(1, each.Gateways)}
		for _, group := range each.Engines {
			if total += max(group.Count, 0); total > maximumEngines {
				return nil, Problem{File: file, Message: fmt.Sprintf("more than %d engines", maximumEngines)}
			}
			for range group.Count {
				id := fmt.Sprintf("%s-engine-%d", zone.Name, len(zone.Engines)+1)
				zone.Engines = append(zone.Engines, Engine{ID: id, Role: group.Role, Model: group.Model, Version: group.Version})
			}
		}
		zones = append(zones, zone)
	}
	if total == 0 {
		return nil, Problem{File: file, Message: "zones: there are no engines"}
	}
	return zones, nil
}

// engineStatuses returns the planner's input for the engines, all serving and
// idle, sorted by ID.
func (z *Zone) engineStatuses() []planner.EngineStatus {
	statuses := make([]planner.EngineStatus, 0, len(z.Engines))
	for _, engine := range z.Engines {
		configuration := engineapi.Configuration{
			Role: engineapi.Role(engine.Role), Model: engine.Model, Version: engine.Version, Adapters: engine.Adapters,
		}
		statuses = append(statuses, planner.EngineStatus{
			ID: engine.ID, Desired: configuration, Observed: configuration,
			Phase: engineapi.PhaseServing, Reachable: true,
		})
	}
	slices.SortFunc(statuses, func(a, b planner.EngineStatus) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return statuses
}

func (z *Zone) describe() policy.Zone {
	return policyinput.DescribeZone(z.Name, z.engineStatuses(), z.Gateways)
}
