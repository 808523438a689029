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

// coordinators lists the coordinators that may be asked: the one that is polled, then the others,
// near ones first.
func (k *viewKeeper) coordinators() []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	listed := slices.Clone(k.members)
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	asked := k.asked.Load()
	slices.SortStableFunc(listed, func(a, b string) int { return k.distance(a) - k.distance(b) })
	if asked == nil {
		return listed
	}
	listed = slices.DeleteFunc(listed, func(address string) bool { return address == *asked })
	return append([]string{*asked}, listed...)
}

// takeMembers takes over which coordinators there are, and their zones. It is called with the mutex held.
func (k *viewKeeper) takeMembers(view *region.View) {
	if len(view.Coordinators) == 0 {
		return
	}
	k.members, k.membersHash = view.Coordinators, view.MembersHash
	for index, zone := range view.CoordinatorZones {
		if zone != "" && index < len(view.Coordinators) {
			k.zones[view.Coordinators[index]] = zone
		}
	}
}

// leave notes that a coordinator has not answered, or was not fresh.
func (k *viewKeeper) leave(coordinator string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.leftAt[coordinator] = k.now()
}

// trust notes that a coordinator has answered, and was fresh.
func (k *viewKeeper) trust(coordinator string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.leftAt, coordinator)
}

// preferred returns the coordinator to poll rather than another that answers: the nearest one, and of
// several the one on which rendezvous hashing puts this gateway. All gateways begin with the same
// seeds, of which each would otherwise keep a whole zone's.
func (k *viewKeeper) preferred(polled string) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	best := polled
	for _, candidate := range k.members {
		_, located := k.zones[candidate]
		_, left := k.leftAt[candidate]
		if located && !left && k.before(candidate, best) {
			best = candidate
		}
	}
	return best
}

// before reports whether a coordinator is to be polled rather than another. It is called with the mutex
// held.
func (k *viewKeeper) before(candidate, other string) bool {
	if here, there := k.distance(candidate), k.distance(other); here != there {
		return here < there
	}
	return k.weight(candidate) > k.weight(other)
}

// weight is that of a coordinator for this gateway.
func (k *viewKeeper) weight(coordinator string) uint64 {
	return xxhash.Sum64String(k.settings.PeerListen + "/" + coordinator)
}

// nextCoordinator returns the one to ask after another has been left: those of the gateway's own
// zone first, then those of its region, those whose zone is not known, and the others. Those that
// have been left come last, the longest ago first: all are tried in turn while none answers.
func (k *viewKeeper) nextCoordinator(before string) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	candidates := slices.DeleteFunc(k.candidates(), func(c string) bool { return c == before })
	if len(candidates) == 0 {
		return before
	}
	return slices.MinFunc(candidates, k.order)
}

// order orders coordinators by which is to be asked first. It is called with the mutex held.
func (k *viewKeeper) order(a, b string) int {
	leftA, wasLeftA := k.leftAt[a]
	leftB, wasLeftB := k.leftAt[b]
	switch {
	case wasLeftA && wasLeftB:
		return cmp.Compare(leftA, leftB)
	case wasLeftA:
		return 1
	case wasLeftB:
		return -1
	default:
		return k.distance(a) - k.distance(b)
	}
}

// candidates are the coordinators that may be asked, in a random order. It is called with the
// mutex held.
func (k *viewKeeper) candidates() []string {
	candidates := slices.Clone(k.members)
	for _, seed := range k.settings.Seeds() {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// distance orders coordinators: the nearest is the lowest. It is called with the mutex held.
func (k *viewKeeper) distance(coordinator string) int {
	zone, known := k.zones[coordinator]
	if !known {
		return 2
	}
	switch k.settings.Topology.Between(k.settings.Zone, zone) {
	case topology.SameZone:
		return 0
	case topology.SameRegion:
		return 1
	default:
		return 3
	}
}

// locatePause is the pause between two looks for coordinators whose zone is not known, and for
// nearer ones that answer again: short against the time in which a far one is asked for placements,
// and a call a second where one is down for long.
const locatePause = time.Second

// locate asks coordinators that are not polled whether they answer, and for their zones, so that the
// nearest is polled soon: those of other regions take ten times as long to answer each question.
func (k *viewKeeper) locate(ctx context.Context) {
	for lifecycle.Sleep(ctx, locatePause/2+rand.N(locatePause)) {
		if asked := k.asked.Load(); asked != nil {
			var calls sync.WaitGroup
			for _, coordinator := range k.unsure(*asked) {
				calls.Go(func() { k.askZone(ctx, coordinator) })
			}
			calls.Wait()
		}
	}
}

// locatedAtOnce bounds the coordinators that are asked for their zones at the same time: one of the
// gateway's own zone is found among a few, and each of many gateways would otherwise connect to all.
const locatedAtOnce = 3

// unsure are some of the coordinators whose zone is not known, and of those that have been left and would
// be polled rather than the one that is.
func (k *viewKeeper) unsure(polled string) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	unsure := slices.DeleteFunc(k.candidates(), func(coordinator string) bool {
		_, located := k.zones[coordinator]
		_, left := k.leftAt[coordinator]
		return coordinator == polled || located && !(left && k.before(coordinator, polled))
	})
	return unsure[:min(len(unsure), locatedAtOnce)]
}

// askZone learns the zone of a coordinator, and whether it may be polled. Its view is not taken
// over.
func (k *viewKeeper) askZone(ctx context.Context, coordinator string) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	request := &region.ViewRequest{
		Gateway: k.settings.Name,
		Address: k.settings.PeerListen,
		// There is nothing newer, so that the answer is short.
		Version: math.MaxUint64, ListRevision: math.MaxUint64, PoisonRevision: math.MaxUint64,
		PeersHash: k.deciders.peers.Known(),
	}
	var view region.View
	if err := k.client.Call(ctx, coordinator, region.PathView, request, &view); err != nil {
		// It is asked again.
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.zones[coordinator] = view.Zone
	if age := time.Duration(view.AgeMillis) * time.Millisecond; age >= 0 && age < staleAge {
		delete(k.leftAt, coordinator)
	}
}
