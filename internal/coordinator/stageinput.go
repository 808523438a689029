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
func (k *stagePlanner) inputsFor(now time.Duration, service string, replicas []region.Replica, changes []region.StageChange) []*stageplan.RegionInput {
	byRegion := map[string][]region.Replica{}
	for _, replica := range replicas {
		regionName := k.settings.Topology.Group(replica.Zone)
		byRegion[regionName] = append(byRegion[regionName], replica)
	}
	var inputs []*stageplan.RegionInput
	for _, regionName := range slices.Sorted(maps.Keys(byRegion)) {
		group := stageGroup{service: service, region: regionName}
		demand := k.demandIn(now, group, func(reporting int) int { return k.gatewayCount(now, group, reporting) })
		if demand.Gateways == 0 && k.settings.Topology.Spans() {
			continue
		}
		input := k.inputFor(now, group, demand, byRegion[regionName], changes)
		inputs = append(inputs, &stageplan.RegionInput{Region: regionName, Input: input})
	}
	for _, input := range inputs {
		input.Rules = k.rulesFor(now, stageGroup{service: service, region: input.Region}, input, inputs)
	}
	return inputs
}

// gatewayCount returns the number of gateways to which a region's demand is extrapolated. If there
// are several regions, it is the recent maximum of the gateways that reported: the region of the
// others is not known.
func (k *stagePlanner) gatewayCount(now time.Duration, group stageGroup, reporting int) int {
	if !k.settings.Topology.Spans() {
		return len(k.gateways.all(now).addresses)
	}
	recent, found := k.reportingGateways[group]
	if !found {
		recent = &recentMaximum{}
		k.reportingGateways[group] = recent
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

// inputFor returns the planner's input for the replicas of a group and the demand for them.
func (k *stagePlanner) inputFor(now time.Duration, group stageGroup, demand region.ServiceDemand, replicas []region.Replica, changes []region.StageChange) stageplan.Input {
	input := stageplan.Input{
		RunningStreams:  demand.Generating,
		ExpectedStreams: demand.Expected,
		PrefillLoad:     demand.Reading,
		Standby:         k.standby[group],
	}
	unreachable, refusing := reportedByEnough(demand.Unreachable), reportedByEnough(demand.Refusing)
	if demand.Gateways > 0 {
		k.demandReportedAt[group] = now
	}
	k.noteListChange(now, group, replicas)
	changedAt, any := k.listChangedAt[group]
	input.Unstable = any && now-changedAt < listChangeHold
	if input.RunningStreams > 0 {
		if _, reported := k.demandSince[group]; !reported {
			k.demandSince[group] = now
		}
	}
	since, reported := k.demandSince[group]
	input.DemandKnown = reported && now-since > demandSettleTime
	for _, replica := range replicas {
		incarnation := replica.Incarnation()
		name := incarnation.Name()
		if now < k.ordersHeldUntil[name] {
			continue
		}
		planned := stageplan.Replica{ID: name, Slots: replica.Slots, Decodes: replica.Stage == region.StageDecode}
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

// noteListChange records when the replicas of a group were last added or removed. Changes before
// demand was first reported don't count, since the list is still incomplete then.
func (k *stagePlanner) noteListChange(now time.Duration, group stageGroup, replicas []region.Replica) {
	names := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		names = append(names, replica.Incarnation().Name())
	}
	slices.Sort(names)
	current := strings.Join(names, ",")
	previous, found := k.lastReplicas[group]
	k.lastReplicas[group] = current
	if _, reported := k.demandSince[group]; found && reported && previous != current {
		k.listChangedAt[group] = now
	}
}
