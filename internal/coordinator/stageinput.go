package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// inputsFor returns the planner's inputs for a service's replicas and demand in each region, sorted by
// region. If there are several regions, one from which no gateway reports is left out and keeps its
// stages: it may be partitioned, and continues to serve with the replicas it has.
func (p *stagePlanner) inputsFor(now time.Duration, service string, replicas []region.Replica, changes []region.StageChange) []*stageplan.RegionInput {
	byRegion := map[string][]region.Replica{}
	for _, replica := range replicas {
		regionName := p.settings.Topology.Group(replica.Zone)
		byRegion[regionName] = append(byRegion[regionName], replica)
	}
	var inputs []*stageplan.RegionInput
	for _, regionName := range slices.Sorted(maps.Keys(byRegion)) {
		group := stageGroup{service: service, region: regionName}
		demand := p.demandIn(now, group, func(reporting int) int { return p.gatewayCount(now, group, reporting) })
		if demand.Gateways == 0 && p.settings.Topology.Spans() {
			continue
		}
		input := p.inputFor(now, group, demand, byRegion[regionName], changes)
		inputs = append(inputs, &stageplan.RegionInput{Region: regionName, Input: input})
	}
	for _, input := range inputs {
		input.Rules = p.rulesFor(now, stageGroup{service: service, region: input.Region}, input, inputs)
	}
	return inputs
}

// gatewayCount returns the number of gateways to which a region's demand is extrapolated. If there
// are several regions, it is the recent maximum of the gateways that reported: the region of the
// others is not known.
func (p *stagePlanner) gatewayCount(now time.Duration, group stageGroup, reporting int) int {
	if !p.settings.Topology.Spans() {
		return len(p.gateways.all(now).addresses)
	}
	recent, found := p.reportingGateways[group]
	if !found {
		recent = &recentMaximum{}
		p.reportingGateways[group] = recent
	}
	return recent.update(now, reporting)
}

// reportedByEnough returns the replicas with at least minimumReports entries in reports, which has one
// entry for each gateway's report of a replica.
func reportedByEnough(reports []string) map[string]bool {
	counts := map[string]int{}
	for _, replica := range reports {
		counts[replica]++
	}
	reported := map[string]bool{}
	for replica, count := range counts {
		if count >= minimumReports {
			reported[replica] = true
		}
	}
	return reported
}

// inputFor returns the planner's input for the replicas of a group and the demand for them, without
// replicas whose orders are held. It also updates the planner's records of when the group's demand was
// reported and its list of replicas changed.
func (p *stagePlanner) inputFor(now time.Duration, group stageGroup, demand region.ServiceDemand, replicas []region.Replica, changes []region.StageChange) stageplan.Input {
	input := stageplan.Input{
		RunningStreams:  demand.Generating,
		ExpectedStreams: demand.Expected,
		PrefillLoad:     demand.Reading,
		Standby:         p.standby[group],
	}
	unreachable, refusing := reportedByEnough(demand.Unreachable), reportedByEnough(demand.Refusing)
	if demand.Gateways > 0 {
		p.demandReportedAt[group] = now
	}
	p.noteListChange(now, group, replicas)
	changedAt, any := p.listChangedAt[group]
	input.Unstable = any && now-changedAt < listChangeHold
	if input.RunningStreams > 0 {
		if _, reported := p.demandSince[group]; !reported {
			p.demandSince[group] = now
		}
	}
	since, reported := p.demandSince[group]
	input.DemandKnown = reported && now-since > demandSettleTime
	for _, replica := range replicas {
		incarnation := replica.Incarnation()
		name := incarnation.Name()
		if now < p.ordersHeldUntil[name] {
			continue
		}
		planned := stageplan.Replica{ID: name, Slots: replica.Slots, Decodes: replica.Stage == region.StageDecode, Software: replica.Software}
		planned.Unsettled = unreachable[name]
		planned.Rejects = refusing[name]
		input.Unstable = input.Unstable || planned.Unsettled
		for _, change := range changes {
			if change.Incarnation() == incarnation {
				planned.Changing = true
				planned.Decodes = change.Stage == region.StageDecode
			}
		}
		input.Replicas = append(input.Replicas, planned)
	}
	return input
}

// noteListChange records when the planned replicas of a group, by incarnation, last changed. Changes
// before demand was first reported don't count, since the list is still incomplete then.
func (p *stagePlanner) noteListChange(now time.Duration, group stageGroup, replicas []region.Replica) {
	names := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		names = append(names, replica.Incarnation().Name())
	}
	slices.Sort(names)
	current := strings.Join(names, ",")
	previous, found := p.lastReplicas[group]
	p.lastReplicas[group] = current
	if _, reported := p.demandSince[group]; found && reported && previous != current {
		p.listChangedAt[group] = now
	}
}
