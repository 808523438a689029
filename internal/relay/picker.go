package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/internal/crossing"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// Wanted says which replicas may get a request.
type Wanted struct {
	// Rank is that of the request's route.
	Rank int
	// Excluded are replicas that must not be chosen.
	Excluded []*Replica
	// Unlimited excludes all replicas that name a limit.
	Unlimited bool
}

// excludes reports whether a replica may not get the request now.
func (w *Wanted) excludes(replica *Replica, now time.Duration) bool {
	if limit := &replica.limit; limit.named && (w.Unlimited || limit.denied(w.Rank, now)) {
		return true
	}
	return slices.Contains(w.Excluded, replica)
}

// pick returns a lease on the best replica of a service that is wanted and passes a filter, or
// nil. Avoided ones get something only if there is no other.
func (d *Directory) pick(service string, wanted Wanted, passes func(*Replica) bool, rating loadScore) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	candidates := d.soundCandidates(service, wanted, passes, now)
	if len(candidates) == 0 {
		return nil
	}
	return d.leaseLowest(service, candidates, rating, now)
}

// leaseLowest leases the candidate with the lowest score, in the region of the rating's zone if
// the rule on crossings does not have it leave. It is called with the mutex held.
func (d *Directory) leaseLowest(service string, candidates []*Replica, rating loadScore, now time.Duration) *Lease {
	inside, outside := d.split(candidates, rating.zone)
	if len(outside) == 0 {
		return d.leaseChosen(lowest(inside, rating, now), len(candidates), now)
	}
	best, offer := bestOffer(inside, rating, now)
	left := departure{service: service, from: rating.zone, inside: offer, places: len(inside)}
	if !crossing.Stay(offer, 0) {
		there, offered := bestOffer(outside, rating, now)
		left.outside = offered
		if left.reason = crossing.Leave(offer, offered, 0); left.reason != crossing.Stays {
			best = there
		}
	}
	left.lease = d.leaseChosen(best, len(candidates), now)
	d.noteDeparture(left, now)
	return left.lease
}

// leaseChosen leases a replica that was chosen among candidates. It is called with the mutex
// held.
func (d *Directory) leaseChosen(best *Replica, candidates int, now time.Duration) *Lease {
	choice := best.choice(now, candidates)
	lease := d.lease(best)
	lease.Choice = choice
	return lease
}

// bestOffer returns the replica with the lowest score of one side, nil if there is none, and
// what it offers: a replica with a free slot begins at once.
func bestOffer(candidates []*Replica, rating loadScore, now time.Duration) (*Replica, crossing.Offer) {
	if len(candidates) == 0 {
		return nil, crossing.Offer{Outcome: crossing.Nowhere}
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(r *Replica) bool { return r.occupancy(now) >= 1 })
	if len(free) == 0 {
		return lowest(candidates, rating, now), crossing.Offer{Outcome: crossing.Full}
	}
	return lowest(free, rating, now), crossing.Offer{Outcome: crossing.InTime}
}

// soundCandidates are the candidates that are not avoided, or all if there are none such.
// It is called with the mutex held.
func (d *Directory) soundCandidates(service string, wanted Wanted, passes func(*Replica) bool, now time.Duration) []*Replica {
	candidates := d.candidates(service, wanted, passes, now)
	sound := slices.DeleteFunc(slices.Clone(candidates), func(r *Replica) bool { return r.avoided(now) })
	if len(sound) > 0 && !d.off[mechanism.Ejection] {
		return sound
	}
	return candidates
}

// candidates are the replicas of a service that may get a request. It is called
// with the mutex held.
func (d *Directory) candidates(service string, wanted Wanted, passes func(*Replica) bool, now time.Duration) []*Replica {
	var candidates, ending []*Replica
	asking := d.askingNow()
	for _, replica := range d.services[service] {
		if replica.Draining || replica.gone || !passes(replica) || replica.rests(asking) || wanted.excludes(replica, now) {
			continue
		}
		if !replica.ends() {
			candidates = append(candidates, replica)
		} else if d.takesLast(replica) {
			ending = append(ending, replica)
		}
	}
	if len(candidates) == 0 {
		// Better served by one that leaves than by none.
		candidates = ending
	}
	return d.withRoom(candidates, wanted.Rank, now)
}

// lowest returns the candidate with the lowest score.
func lowest(candidates []*Replica, rating loadScore, now time.Duration) *Replica {
	best := candidates[0]
	bestScore := rating.score(best, now)
	for _, replica := range candidates[1:] {
		if score := rating.score(replica, now); score < bestScore {
			best, bestScore = replica, score
		}
	}
	return best
}

// Choice is what was known when a replica was chosen for a send.
type Choice struct {
	// Candidates is the number of replicas that could have been chosen.
	Candidates int
	// InFlight are the requests there, of all gateways, and PeersAge is how old the
	// oldest word of another gateway that counts is.
	InFlight int
	PeersAge time.Duration
	// Occupancy is the estimated share of its slots in use.
	Occupancy float64
	// LoadAge is how old the replica's own account is, negative if it counts for
	// nothing.
	LoadAge time.Duration
}

// choice notes what is known of a replica that is chosen.
func (r *Replica) choice(now time.Duration, candidates int) Choice {
	chosen := Choice{Candidates: candidates, InFlight: r.allInFlight(now), Occupancy: r.occupancy(now), LoadAge: now - r.loadAt}
	if r.load.Slots == 0 || chosen.LoadAge > loadMemory {
		chosen.LoadAge = -time.Millisecond
	}
	for _, work := range r.peers {
		if age := now - work.at; age < peerMemory {
			chosen.PeersAge = max(chosen.PeersAge, age)
		}
	}
	return chosen
}

// loadScore rates by the estimated occupancy, from 0 (idle) upwards; 1 is a full
// replica. Distance, failures and slowness add to it.
type loadScore struct {
	zone string
	// distance is added for another zone.
	distance float64
	// typicalLatency of the service's replicas in seconds, 0 if unknown.
	typicalLatency float64
	// draw decides between replicas that are rated alike.
	draw func() float64
	// connected reports whether there is a connection to a life; nil if it counts for nothing.
	connected func(address, life string) bool
}

const (
	errorWeight    = 2.0
	slownessWeight = 0.1
	jitterWeight   = 0.02
	// refusingPenalty is what a replica that is expected to refuse counts for, in shares of its slots in use:
	// it is tried once the others are full.
	refusingPenalty = 1
	// connectedBonus is what a connection is worth, in shares of the slots in use: less than one request
	// takes at a small replica, so that load goes before it. Without it each of many gateways hardly
	// meets a replica twice, and each request waits for a connection to be made.
	connectedBonus = 0.1
	// roomBonus is what room under a limit is worth, in shares of the slots in use: more than a
	// connection, so that a replica that gets little is not left out for getting little.
	roomBonus = 0.15
)

func (s loadScore) score(replica *Replica, now time.Duration) float64 {
	score := replica.occupancy(now) + errorWeight*replica.errorRate + jitterWeight*s.draw()
	if replica.Zone != s.zone {
		score += s.distance
	}
	if replica.refuses(now) {
		score += refusingPenalty
	}
	if s.connected != nil && s.connected(replica.Address, replica.name) {
		score -= connectedBonus
	}
	if replica.limit.named {
		// Its few answers say little of how fast it is.
		return score - roomBonus
	}
	if s.typicalLatency > 0 && replica.latency > s.typicalLatency {
		score += slownessWeight * (replica.latency/s.typicalLatency - 1)
	}
	return score
}

// ownTokens are the tokens of the last part, which is not shared.
func (p *Prompt) ownTokens() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// sharedPart is the id of the last part that other prompts may share, empty if
// there is none.
func (p *Prompt) sharedPart() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// homesOf returns the replicas of a stage at which a prompt's shared prefix belongs, one in each
// region, none if it has no such prefix: those of rendezvous hashing of the longest shared
// prefix. The choice depends on the incarnations alone, so that all gateways make the same. It
// is called with the mutex held.
func (d *Directory) homesOf(service, stage string, prompt *Prompt, now time.Duration) []*Replica {
	key := prompt.sharedPart()
	if key == "" || d.off[mechanism.Homes] {
		return nil
	}
	var homes []weightedHome
	for _, replica := range d.services[service] {
		if replica.ends() || replica.gone || replica.Stage != stage || now < replica.avoidUntil {
			continue
		}
		homes = d.heaviest(homes, weightedHome{replica, xxhash.Sum64String(key + "/" + replica.ID)})
	}
	replicas := make([]*Replica, len(homes))
	for index, home := range homes {
		replicas[index] = home.replica
	}
	return replicas
}

// weightedHome is a replica with its weight for a prefix.
type weightedHome struct {
	replica *Replica
	weight  uint64
}

// heaviest takes a replica among the homes if it has the greatest weight of its region.
func (d *Directory) heaviest(homes []weightedHome, found weightedHome) []weightedHome {
	for index := range homes {
		if d.places.Between(homes[index].replica.Zone, found.replica.Zone) == topology.OtherRegion {
			continue
		}
		if found.weight > homes[index].weight {
			homes[index] = found
		}
		return homes
	}
	return append(homes, found)
}

// typicalLatency is the median over a service's replicas, in seconds; 0 if there
// is none yet.
func (d *Directory) typicalLatency(service string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	latencies := make([]float64, 0, len(d.services[service]))
	for _, replica := range d.services[service] {
		if replica.latency > 0 {
			latencies = append(latencies, replica.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// PickAny leases a replica for a request that is not for model engines.
func (d *Directory) PickAny(service string, wanted Wanted) *Lease {
	rating := loadScore{zone: d.zone, distance: 0.2, typicalLatency: d.typicalLatency(service), draw: d.draw, connected: d.connected}
	return d.pick(service, wanted, anyReplica, rating)
}

// PickGenerator leases a replica that generates, near a zone, for a prompt that has
// been read.
func (d *Directory) PickGenerator(service string, wanted Wanted, zone string) *Lease {
	return d.pick(service, wanted, ofStage(region.StageDecode), loadScore{zone: zone, distance: 0.05, draw: d.draw})
}

// PickRoom leases a replica that has room for a stream that an excluded one in a zone has to
// give up, nil if there is none.
func (d *Directory) PickRoom(service string, wanted Wanted, zone string) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	candidates := slices.DeleteFunc(d.candidates(service, wanted, ofStage(region.StageDecode), now), func(r *Replica) bool {
		return r.avoided(now) || r.refuses(now) || r.occupancy(now) > moveLimit
	})
	if len(candidates) == 0 {
		return nil
	}
	return d.leaseLowest(service, candidates, loadScore{zone: zone, distance: 0.05, draw: d.draw}, now)
}

func anyReplica(*Replica) bool { return true }

func ofStage(stage string) func(*Replica) bool {
	return func(replica *Replica) bool { return replica.Stage == stage }
}
