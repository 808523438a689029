package daemon

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// coordinators lists the coordinators that may be sent queries: first the polled one, then the
// others, nearest first.
func (v *viewClient) coordinators() []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	listed := slices.Clone(v.members)
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	polled := v.polled.Load()
	slices.SortStableFunc(listed, func(a, b string) int { return v.distance(a) - v.distance(b) })
	if polled == nil {
		return listed
	}
	listed = slices.DeleteFunc(listed, func(address string) bool { return address == *polled })
	return append([]string{*polled}, listed...)
}

// updateMembers applies a view's list of coordinators and their zones. The caller must hold
// v.mutex.
func (v *viewClient) updateMembers(view *region.View) {
	if len(view.Coordinators) == 0 {
		return
	}
	v.members, v.membersHash = view.Coordinators, view.MembersHash
	for index, zone := range view.CoordinatorZones {
		if zone != "" && index < len(view.Coordinators) {
			v.zones[view.Coordinators[index]] = zone
		}
	}
}

// markFailed records that a coordinator has not answered or had no fresh view.
func (v *viewClient) markFailed(coordinator string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.failedAt[coordinator] = v.now()
}

// markHealthy records that a coordinator has answered with a fresh view.
func (v *viewClient) markHealthy(coordinator string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.failedAt, coordinator)
}

// preferred returns the coordinator to poll: the nearest available one, and among equally near ones
// the one that rendezvous hashing selects for this gateway. Without the hashing, each of the seeds,
// which are the same for all gateways, would keep all gateways of its zone.
func (v *viewClient) preferred(polled string) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	best := polled
	for _, candidate := range v.members {
		_, located := v.zones[candidate]
		_, failed := v.failedAt[candidate]
		if located && !failed && v.ranksBefore(candidate, best) {
			best = candidate
		}
	}
	return best
}

// ranksBefore reports whether candidate is preferred to other. The caller must hold v.mutex.
func (v *viewClient) ranksBefore(candidate, other string) bool {
	if distance, otherDistance := v.distance(candidate), v.distance(other); distance != otherDistance {
		return distance < otherDistance
	}
	return v.rendezvousWeight(candidate) > v.rendezvousWeight(other)
}

// rendezvousWeight returns the rendezvous hash of a coordinator for this gateway.
func (v *viewClient) rendezvousWeight(coordinator string) uint64 {
	return xxhash.Sum64String(v.settings.PeerListen + "/" + coordinator)
}

// nextCoordinator returns the coordinator to poll after another has failed: first those of the
// gateway's zone, then those of its region, those whose zone is unknown, and the rest. Coordinators
// that have failed come last, the earliest failure first, so that all are tried in turn while none
// answers.
func (v *viewClient) nextCoordinator(failed string) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	candidates := slices.DeleteFunc(v.candidates(), func(c string) bool { return c == failed })
	if len(candidates) == 0 {
		return failed
	}
	return slices.MinFunc(candidates, v.compareForRetry)
}

// compareForRetry orders coordinators by which to poll first. The caller must hold v.mutex.
func (v *viewClient) compareForRetry(a, b string) int {
	failedAtA, failedA := v.failedAt[a]
	failedAtB, failedB := v.failedAt[b]
	switch {
	case failedA && failedB:
		return cmp.Compare(failedAtA, failedAtB)
	case failedA:
		return 1
	case failedB:
		return -1
	default:
		return v.distance(a) - v.distance(b)
	}
}

// candidates returns all known coordinators in random order. The caller must hold v.mutex.
func (v *viewClient) candidates() []string {
	candidates := slices.Clone(v.members)
	for _, seed := range v.settings.Seeds() {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// distance ranks coordinators by proximity; the nearest has the lowest value. A coordinator whose
// zone is unknown may be near, so it ranks before those of other regions. The caller must hold
// v.mutex.
func (v *viewClient) distance(coordinator string) int {
	zone, known := v.zones[coordinator]
	if !known {
		return 2
	}
	switch v.settings.Topology.Between(v.settings.Zone, zone) {
	case topology.SameZone:
		return 0
	case topology.SameRegion:
		return 1
	default:
		return 3
	}
}

// probeInterval is the mean interval between probes of coordinators whose zone is unknown and of
// preferred ones that have failed. It is short against the time for which a distant coordinator
// would be asked for placements, and costs one call per second for a coordinator that stays down.
const probeInterval = time.Second

// probeCoordinators checks whether coordinators that are not polled answer, and learns their zones,
// so that the nearest one is polled soon: those of other regions take ten times as long to answer
// each call.
func (v *viewClient) probeCoordinators(ctx context.Context) {
	for lifecycle.Sleep(ctx, probeInterval/2+rand.N(probeInterval)) {
		if polled := v.polled.Load(); polled != nil {
			var calls sync.WaitGroup
			for _, coordinator := range v.probeTargets(*polled) {
				calls.Go(func() { v.probeCoordinator(ctx, coordinator) })
			}
			calls.Wait()
		}
	}
}

// maximumProbes limits the concurrent probes. A few are enough to find a coordinator of the
// gateway's zone; without the limit, each of many gateways would connect to all coordinators.
const maximumProbes = 3

// probeTargets returns up to maximumProbes coordinators whose zone is unknown, or that have failed
// and are preferred to the polled one.
func (v *viewClient) probeTargets(polled string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	targets := slices.DeleteFunc(v.candidates(), func(coordinator string) bool {
		_, located := v.zones[coordinator]
		_, failed := v.failedAt[coordinator]
		return coordinator == polled || located && !(failed && v.ranksBefore(coordinator, polled))
	})
	return targets[:min(len(targets), maximumProbes)]
}

// probeCoordinator learns the zone of a coordinator and whether it may be polled. The view in its
// answer is not applied.
func (v *viewClient) probeCoordinator(ctx context.Context, coordinator string) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	request := &region.ViewRequest{
		Gateway: v.settings.Name,
		Address: v.settings.PeerListen,
		// The maximum versions keep the answer short, as nothing is newer.
		Version: math.MaxUint64, ListRevision: math.MaxUint64, PoisonRevision: math.MaxUint64,
		PeersHash: v.placementMode.peers.AddressesHash(),
	}
	var view region.View
	if err := v.client.Call(ctx, coordinator, region.PathView, request, &view); err != nil {
		// The next round probes it again.
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.zones[coordinator] = view.Zone
	if age := time.Duration(view.AgeMillis) * time.Millisecond; age >= 0 && age < staleAge {
		delete(v.failedAt, coordinator)
	}
}
