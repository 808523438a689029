package coordinator

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// rulesFor returns the rules that the policy in force sets for stage changes of a service's replicas
// in a region. In the policy's terms, the service is the model, and all regions together are the zone,
// so that bounds on a zone's engines apply to all regions together.
func (p *stagePlanner) rulesFor(now time.Duration, group stageGroup, input *stageplan.RegionInput, all []*stageplan.RegionInput) stageplan.Rules {
	if p.settings.Policy == nil {
		return stageplan.Rules{}
	}
	program := p.settings.Policy()
	if program == nil {
		return stageplan.Rules{}
	}
	rule := program.Document().RoleChange
	zone := p.zoneFor(all)
	age := p.demandAge(now, group)
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

// zoneFor describes the replicas of a service in all regions as one zone.
func (p *stagePlanner) zoneFor(all []*stageplan.RegionInput) policy.Zone {
	zone := policy.Zone{Name: p.settings.Zone, Gateways: len(p.gateways.all(p.now()).addresses)}
	for _, input := range all {
		for _, replica := range input.Replicas {
			zone.AddEngine(string(roleOf(replica.Decodes)), replica.Changing)
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
	readers := max(len(input.Replicas)-change.DecodeReplicas, 1)
	slots := 1
	for _, replica := range input.Replicas {
		slots = max(slots, replica.Slots)
	}
	return policy.Change{
		Model:              service,
		From:               string(roleOf(!change.Decodes)),
		To:                 string(roleOf(change.Decodes)),
		PrefillUtilisation: change.PrefillPeak / float64(readers),
		DecodeUtilisation:  change.StreamPeak / float64(slots*max(change.DecodeReplicas, 1)),
		SinceLast:          change.SinceLast.Seconds(),
	}
}

// demandAge returns the time since a gateway last reported demand for a service in a region, or
// since the start of this leader's term if none has yet.
func (p *stagePlanner) demandAge(now time.Duration, group stageGroup) time.Duration {
	reportedAt, reported := p.demandReportedAt[group]
	if !reported {
		return now - p.leaderSince
	}
	return now - reportedAt
}
