package coordinator

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// rulesFor is what the policy in force says of the changes of a service's replicas in a region.
// The service stands for the model, and all regions together for the zone, so that bounds on a
// zone's engines hold over all.
func (k *stageKeeper) rulesFor(now time.Duration, group stageGroup, input *stageplan.RegionInput, all []*stageplan.RegionInput) stageplan.Rules {
	if k.settings.Policy == nil {
		return stageplan.Rules{}
	}
	program := k.settings.Policy()
	if program == nil {
		return stageplan.Rules{}
	}
	rule := program.Document().RoleChange
	zone := k.zoneFor(all)
	age := k.demandAge(now, group)
	return stageplan.Rules{
		Bounded:      true,
		MaximumAway:  rule.MaximumAway,
		MinimumDwell: time.Duration(rule.MinimumDwellSeconds * float64(time.Second)),
		Permits: func(change stageplan.Change) bool {
			return program.PermitsChange(policy.RoleChangeVariables{
				Change: changeVariables(group.service, change, input.Input),
				Demand: policy.Demand{Age: age.Seconds()},
				Zone:   zone,
				Clock:  policy.ClockAt(time.Now()),
			})
		},
	}
}

// zoneFor describes the replicas of a service as those of a zone.
func (k *stageKeeper) zoneFor(all []*stageplan.RegionInput) policy.Zone {
	zone := policy.Zone{Name: k.settings.Zone, Gateways: len(k.gateways.all(k.now()).addresses)}
	for _, input := range all {
		for _, replica := range input.Replicas {
			zone.AddEngine(string(roleOf(replica.Generates)), replica.Changing)
		}
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

// demandAge is how long no gateway of a region has told demand for a service; the time since the
// leader's election if none ever has.
func (k *stageKeeper) demandAge(now time.Duration, group stageGroup) time.Duration {
	heard, known := k.heard[group]
	if !known {
		return now - k.leadsSince
	}
	return now - heard
}
