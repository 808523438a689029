package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// inputsFor describes a service's replicas by region, with the demand there, in the order of the
// regions. A region of which no gateway is heard is left out and keeps its stages: it may be cut
// off, and serves on with what it has.
func (k *stageKeeper) inputsFor(now time.Duration, service string, replicas []region.Replica, changes []region.StageChange) []*stageplan.RegionInput {
	byRegion := map[string][]region.Replica{}
	for _, replica := range replicas {
		where := k.settings.Topology.Group(replica.Zone)
		byRegion[where] = append(byRegion[where], replica)
	}
	var inputs []*stageplan.RegionInput
	for _, where := range slices.Sorted(maps.Keys(byRegion)) {
		group := stageGroup{service: service, region: where}
		demand := k.demandIn(now, group, func(telling int) int { return k.knownGateways(now, group, telling) })
		if demand.Gateways == 0 && k.settings.Topology.Spans() {
			continue
		}
		input := k.inputFor(now, group, demand, byRegion[where], changes)
		inputs = append(inputs, &stageplan.RegionInput{Region: where, Input: input})
	}
	for _, input := range inputs {
		input.Rules = k.rulesFor(now, stageGroup{service: service, region: input.Region}, input, inputs)
	}
	return inputs
}

// knownGateways is the number of the gateways whose demand a region's demand stands for. Where
// there are several regions, those count that have told of late: of the others it is not known
// which region they are in.
func (k *stageKeeper) knownGateways(now time.Duration, group stageGroup, telling int) int {
	if !k.settings.Topology.Spans() {
		return len(k.gateways.all(now).addresses)
	}
	most, found := k.telling[group]
	if !found {
		most = &recentMost{}
		k.telling[group] = most
	}
	return most.note(now, telling)
}

// reportedByMany are the replicas that enough gateways have reported, of one entry for each report.
func reportedByMany(reports []string) map[string]bool {
	counts := map[string]int{}
	for _, replica := range reports {
		counts[replica]++
	}
	reported := map[string]bool{}
	for replica, count := range counts {
		if count >= unreachableReports {
			reported[replica] = true
		}
	}
	return reported
}

// inputFor describes the replicas of a group and the demand for them.
func (k *stageKeeper) inputFor(now time.Duration, group stageGroup, demand region.ServiceDemand, replicas []region.Replica, changes []region.StageChange) stageplan.Input {
	input := stageplan.Input{
		Generating: demand.Generating,
		Expected:   demand.Expected,
		Reading:    demand.Reading,
		Spares:     k.spares[group],
	}
	unreachable, refusing := reportedByMany(demand.Unreachable), reportedByMany(demand.Refusing)
	if demand.Gateways > 0 {
		k.heard[group] = now
	}
	k.noteMoves(now, group, replicas)
	moved, any := k.moved[group]
	input.Restless = any && now-moved < restlessTime
	if input.Generating > 0 {
		if _, told := k.demandFrom[group]; !told {
			k.demandFrom[group] = now
		}
	}
	from, told := k.demandFrom[group]
	input.Known = told && now-from > demandSettle
	for _, replica := range replicas {
		life := replica.Life()
		name := life.Name()
		if now < k.holds[name] {
			continue
		}
		planned := stageplan.Replica{ID: name, Slots: replica.Slots, Generates: replica.Stage == region.StageDecode}
		planned.Unsettled = unreachable[name]
		planned.Refuses = refusing[name]
		input.Restless = input.Restless || planned.Unsettled
		for _, change := range changes {
			if change.Life() == life {
				planned.Changing = true
				planned.Generates = change.Stage == region.StageDecode
			}
		}
		input.Replicas = append(input.Replicas, planned)
	}
	return input
}

// noteMoves notes when the replicas of a group last came or went. Before demand
// is known all of them are coming.
func (k *stageKeeper) noteMoves(now time.Duration, group stageGroup, replicas []region.Replica) {
	names := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		names = append(names, replica.Life().Name())
	}
	slices.Sort(names)
	joined := strings.Join(names, ",")
	before, found := k.known[group]
	k.known[group] = joined
	if _, told := k.demandFrom[group]; found && told && before != joined {
		k.moved[group] = now
	}
}
