package stageplan

import "time"

// Regions plans a service whose replicas run in several regions. Each region is planned from its
// own demand, since the KV cache of a prefilled prompt is slow to transfer out of a region.
type Regions struct {
	// NewPlanner returns the planner of a region.
	NewPlanner func() *Planner

	planners map[string]*Planner
	// nextIndex is the index of the region that may change a replica first. It rotates, so that
	// bounds over all regions leave changes to each in turn.
	nextIndex int
}

// RegionInput is the planner's input for one region.
type RegionInput struct {
	Region string
	Input
}

// Step returns the next change of any region, with the region and its planner, or nil if there is
// none. The caller must pass the regions in the same order at each step.
func (r *Regions) Step(now time.Duration, regions []*RegionInput) (*RegionInput, *Change, *Planner) {
	for tried := range regions {
		index := (r.nextIndex + tried) % len(regions)
		region := regions[index]
		region.OtherRegions = otherRegions(regions, region)
		planner := r.planner(region.Region)
		if change := planner.Step(now, region.Input); change != nil {
			r.nextIndex = index + 1
			return region, change, planner
		}
	}
	return nil, nil, nil
}

// otherRegions counts the replicas of all regions but one.
func otherRegions(regions []*RegionInput, excluded *RegionInput) OtherRegions {
	var counted OtherRegions
	for _, region := range regions {
		if region == excluded {
			continue
		}
		_, changing := countDecode(region.Replicas)
		counted.Replicas += len(region.Replicas)
		counted.Changing += changing
	}
	return counted
}

func (r *Regions) planner(region string) *Planner {
	planner, found := r.planners[region]
	if !found {
		if r.planners == nil {
			r.planners = map[string]*Planner{}
		}
		planner = r.NewPlanner()
		r.planners[region] = planner
	}
	return planner
}
