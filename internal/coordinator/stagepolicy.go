package coordinator

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// rulesFor is what the policy in force says of the changes of a service's replicas.
// The service stands for the model, and the region for the zone.
func (k *stageKeeper) rulesFor(now time.Duration, service string, input stageplan.Input) stageplan.Rules {
	if k.settings.Policy == nil {
		return stageplan.Rules{}
	}
	program := k.settings.Policy()
	if program == nil {
		return stageplan.Rules{}
	}
	rule := program.Document().RoleChange
	zone := k.zoneFor(input)
	age := k.demandAge(now, service)
	return stageplan.Rules{
		Bounded:      true,
		MaximumAway:  rule.MaximumAway,
		MinimumDwell: time.Duration(rule.MinimumDwellSeconds * float64(time.Second)),
		Permits: func(change stageplan.Change) bool {
			return program.PermitsChange(policy.RoleChangeVariables{
				Change: changeVariables(service, change, input),
				Demand: policy.Demand{Age: age.Seconds()},
				Zone:   zone,
				Clock:  policy.ClockAt(time.Now()),
			})
		},
	}
}

// zoneFor describes the region's replicas of a service as those of a zone.
func (k *stageKeeper) zoneFor(input stageplan.Input) policy.Zone {
	zone := policy.Zone{Name: k.settings.Zone, Gateways: len(k.gateways.all(k.now()))}
	for _, replica := range input.Replicas {
		zone.AddEngine(string(roleOf(replica.Generates)), replica.Changing)
	}
	return zone
}

func roleOf(generates bool) engineapi.Role {
	if generates {
		return engineapi.RoleDecode
	}
	return engineapi.RolePrefill
}

func changeVariables(service string, change stageplan.Change, input stageplan.Input) policy.Change {
	readers := max(len(input.Replicas)-change.Generators, 1)
	slots := 1
	for _, replica := range input.Replicas {
		slots = max(slots, replica.Slots)
	}
	return policy.Change{
		Model:              service,
		From:               string(roleOf(!change.Generates)),
		To:                 string(roleOf(change.Generates)),
		PrefillUtilisation: change.Reading / float64(readers),
		DecodeUtilisation:  change.Generating / float64(slots*max(change.Generators, 1)),
		SinceLast:          change.SinceLast.Seconds(),
	}
}

// demandAge is how long no gateway has told demand for a service; the time since the
// leader's election if none ever has.
func (k *stageKeeper) demandAge(now time.Duration, service string) time.Duration {
	heard, known := k.heard[service]
	if !known {
		return now - k.leadsSince
	}
	return now - heard
}
