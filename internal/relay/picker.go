package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/internal/crossing"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// Wanted restricts which replicas may get a request.
type Wanted struct {
	// Rank is that of the request's route.
	Rank int
	// Excluded are replicas that must not be chosen.
	Excluded []*Replica
	// Unlimited excludes all replicas that declare a rate limit.
	Unlimited bool
	// Software excludes all replicas that run something else, if it is set.
	Software origin.Software
	// BeginsStream excludes the replicas at whose software streams may not begin yet.
	BeginsStream bool
}

// excludes reports whether a replica may not get the request now.
func (w *Wanted) excludes(replica *Replica, now time.Duration) bool {
	if w.Software.IsSet() && replica.software() != w.Software {
		return true
	}
	if limit := &replica.limit; limit.declared && (w.Unlimited || limit.denied(w.Rank, now)) {
		return true
	}
	return slices.Contains(w.Excluded, replica)
}

// pick returns a lease on the best replica of a service that satisfies wanted and a filter, or nil. Avoided
// replicas are chosen only if there is no other.
func (d *Directory) pick(service string, wanted Wanted, passes func(*Replica) bool, rating loadScore) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	candidates := d.healthyCandidates(service, wanted, passes, now)
	if len(candidates) == 0 {
		return nil
	}
	return d.leaseLowest(service, candidates, rating, now)
}

// leaseLowest leases the candidate with the lowest score, inside the region of the rating's zone unless the
// rules of package crossing prefer one outside. The caller must hold d.mutex.
func (d *Directory) leaseLowest(service string, candidates []*Replica, rating loadScore, now time.Duration) *Lease {
	inside, outside := d.partitionByRegion(candidates, rating.zone)
	if len(outside) == 0 {
		return d.leaseChosen(lowest(inside, rating, now), len(candidates), now)
	}
	best, offer := bestOffer(inside, rating, now)
	decision := crossRegionChoice{service: service, from: rating.zone, inside: offer, localReplicas: len(inside)}
	if !crossing.StaysLocal(offer, 0) {
		remote, offered := bestOffer(outside, rating, now)
		decision.outside = offered
		if decision.reason = crossing.LeaveReason(offer, offered, 0); decision.reason != crossing.Local {
			best = remote
		}
	}
	decision.lease = d.leaseChosen(best, len(candidates), now)
	d.logCrossRegion(decision, now)
	return decision.lease
}

// leaseChosen leases a replica that was chosen among a number of candidates. The caller must hold d.mutex.
func (d *Directory) leaseChosen(best *Replica, candidates int, now time.Duration) *Lease {
	choice := best.choice(now, candidates)
	lease := d.lease(best)
	lease.Choice = choice
	return lease
}

// bestOffer returns the candidate with the lowest score, and what it offers. If any candidate has a free slot,
// only those with one are compared, even if a full one has a lower score: they can start at once
// (crossing.InTime). If all are full, the offer is crossing.AtCapacity; without candidates, the replica is nil
// and the offer is crossing.NoReplica.
func bestOffer(candidates []*Replica, rating loadScore, now time.Duration) (*Replica, crossing.Offer) {
	if len(candidates) == 0 {
		return nil, crossing.Offer{Outcome: crossing.NoReplica}
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(r *Replica) bool { return r.occupancy(now) >= 1 })
	if len(free) == 0 {
		return lowest(candidates, rating, now), crossing.Offer{Outcome: crossing.AtCapacity}
	}
	return lowest(free, rating, now), crossing.Offer{Outcome: crossing.InTime}
}

// healthyCandidates returns the candidates that are not avoided and do not keep rejecting requests, or all if there
// are none or ejection is disabled. The caller must hold d.mutex.
func (d *Directory) healthyCandidates(service string, wanted Wanted, passes func(*Replica) bool, now time.Duration) []*Replica {
	candidates := d.candidates(service, wanted, passes, now)
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(r *Replica) bool { return r.avoided(now) || r.keepsRejecting(now) })
	if len(healthy) > 0 && !d.disabled[mechanism.Ejection] {
		return healthy
	}
	return candidates
}

// candidates returns the replicas of a service that may get a request, those that are leaving only if there are
// no others. Replicas at the learned limit are left out, except for a stream that goes on. The caller must hold d.mutex.
func (d *Directory) candidates(service string, wanted Wanted, passes func(*Replica) bool, now time.Duration) []*Replica {
	var candidates, leaving []*Replica
	asking := d.gateNow()
	for _, replica := range d.services[service] {
		if replica.Draining || replica.removed || !passes(replica) || replica.inBackoff(asking) || wanted.excludes(replica, now) ||
			wanted.BeginsStream && d.runsNewSoftware(replica, now) {
			continue
		}
		if !replica.isLeavingForGood() {
			candidates = append(candidates, replica)
		} else if d.acceptsAsLast(replica) {
			leaving = append(leaving, replica)
		}
	}
	if len(candidates) == 0 {
		// A replica that is leaving, and still accepts work, is better than none.
		candidates = leaving
	}
	if wanted.Software.IsSet() {
		// It has no other candidates: one that is full may still take it, or rejects it.
		return candidates
	}
	return d.leaveRoom(d.belowLearnedLimit(candidates, wanted.Rank, now), now)
}

const (
	// scarceReplicas is the number of candidates with the same software up to which they are scarce: streams that have begun
	// there can go on at few replicas.
	scarceReplicas = 2
	// scarceOccupancy is the occupancy up to which new requests are sent to scarce replicas.
	scarceOccupancy = 0.75
)

// leaveRoom returns the candidates without those that are kept for streams that go on there: replicas whose software
// hardly any other runs, once most of their slots are in use. The caller must hold d.mutex.
func (d *Directory) leaveRoom(candidates []*Replica, now time.Duration) []*Replica {
	if !severalVersions(candidates) {
		return candidates
	}
	running := map[string]int{}
	for _, replica := range candidates {
		running[replica.Version]++
	}
	roomy := slices.DeleteFunc(slices.Clone(candidates), func(r *Replica) bool {
		return running[r.Version] <= scarceReplicas && r.occupancy(now) >= scarceOccupancy
	})
	if len(roomy) == 0 {
		return candidates
	}
	return roomy
}

// severalVersions reports whether replicas run more than one version.
func severalVersions(replicas []*Replica) bool {
	return slices.ContainsFunc(replicas, func(r *Replica) bool { return r.Version != replicas[0].Version })
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
	// InFlight is the number of requests there, of all gateways, and PeersAge the age of the oldest report
	// of another gateway that it includes.
	InFlight int
	PeersAge time.Duration
	// Occupancy is the estimated share of its slots in use.
	Occupancy float64
	// LoadAge is the age of the load that the replica itself reported, negative if that is missing or too
	// old to count.
	LoadAge time.Duration
}

// choice returns what is known of a replica that is chosen.
func (r *Replica) choice(now time.Duration, candidates int) Choice {
	chosen := Choice{Candidates: candidates, InFlight: r.totalInFlight(now), Occupancy: r.occupancy(now), LoadAge: now - r.loadAt}
	if r.load.Slots == 0 || chosen.LoadAge > loadReportLifetime {
		chosen.LoadAge = -time.Millisecond
	}
	for _, work := range r.peers {
		if age := now - work.at; age < peerReportLifetime {
			chosen.PeersAge = max(chosen.PeersAge, age)
		}
	}
	return chosen
}

// loadScore scores replicas by their estimated occupancy, from 0 (idle) upwards; 1 is a full replica.
// Distance, failures, expected refusals and latency add to the score; a connection and unused capacity under a
// rate limit lower it.
type loadScore struct {
	zone string
	// distance is added for a replica in another zone.
	distance float64
	// typicalLatency is that of the service's replicas in seconds, 0 if unknown.
	typicalLatency float64
	// random breaks ties between replicas with about the same score.
	random func() float64
	// connected reports whether there is a connection to an incarnation; nil if connections don't count.
	connected func(address, incarnation string) bool
}

const (
	errorWeight    = 2.0
	slownessWeight = 0.1
	jitterWeight   = 0.02
	// refusingPenalty is added to the score of a replica that is expected to refuse, in shares of its
	// slots: it is tried once the others are full, unless it keeps rejecting.
	refusingPenalty = 1
	// connectedBonus is subtracted from the score of a replica that this process is connected to, in shares
	// of its slots. It is less than one request adds at a small replica, so that load has precedence.
	// Without it, each of many gateways rarely uses a replica twice, and each request waits for a new
	// connection.
	connectedBonus = 0.1
	// unusedLimitBonus is subtracted from the score of a replica that declares a rate limit and has
	// capacity under it, in shares of its slots. It exceeds connectedBonus, so that a replica that gets few
	// requests, and so has no connection, is not passed over for that.
	unusedLimitBonus = 0.15
)

func (s loadScore) score(replica *Replica, now time.Duration) float64 {
	score := replica.occupancy(now) + errorWeight*replica.errorRate + jitterWeight*s.random()
	if replica.Zone != s.zone {
		score += s.distance
	}
	if replica.refuses(now) {
		score += refusingPenalty
	}
	if s.connected != nil && s.connected(replica.Address, replica.name) {
		score -= connectedBonus
	}
	if replica.limit.declared {
		// Its few answers are too small a sample to compare its latency.
		return score - unusedLimitBonus
	}
	if s.typicalLatency > 0 && replica.latency > s.typicalLatency {
		score += slownessWeight * (replica.latency/s.typicalLatency - 1)
	}
	return score
}

// unsharedTokens returns the tokens of the last part, which other prompts do not share.
func (p *Prompt) unsharedTokens() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// sharedPart returns the id of the last part that other prompts may share, empty if there is none.
func (p *Prompt) sharedPart() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// preferredReplicas returns the replicas of a stage that are preferred for a prompt's shared prefix, one in
// each region, none if there is no such prefix. They are selected by rendezvous hashing of the longest shared
// prefix and the replicas' ids, so that all gateways select the same, among the replicas that are neither
// leaving nor avoided by this process. The caller must hold d.mutex.
func (d *Directory) preferredReplicas(service, stage string, prompt *Prompt, now time.Duration) []*Replica {
	key := prompt.sharedPart()
	if key == "" || d.disabled[mechanism.Homes] {
		return nil
	}
	var preferred []weightedReplica
	for _, replica := range d.services[service] {
		if replica.isLeavingForGood() || replica.removed || replica.Stage != stage || now < replica.avoidUntil {
			continue
		}
		preferred = d.addIfHeaviest(preferred, weightedReplica{replica, xxhash.Sum64String(key + "/" + replica.ID)})
	}
	replicas := make([]*Replica, len(preferred))
	for index, each := range preferred {
		replicas[index] = each.replica
	}
	return replicas
}

// weightedReplica is a replica with its rendezvous hash for a prefix.
type weightedReplica struct {
	replica *Replica
	weight  uint64
}

// addIfHeaviest replaces the replica of the same region if the new one has a greater weight, or adds it if
// there is none of its region.
func (d *Directory) addIfHeaviest(preferred []weightedReplica, found weightedReplica) []weightedReplica {
	for index := range preferred {
		if d.regions.Between(preferred[index].replica.Zone, found.replica.Zone) == topology.OtherRegion {
			continue
		}
		if found.weight > preferred[index].weight {
			preferred[index] = found
		}
		return preferred
	}
	return append(preferred, found)
}

// typicalLatency returns the median latency of a service's replicas in seconds, 0 if none is known.
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
	rating := loadScore{zone: d.zone, distance: 0.2, typicalLatency: d.typicalLatency(service), random: d.random, connected: d.connected}
	return d.pick(service, wanted, anyReplica, rating)
}

// PickDecode leases a decode replica, near a zone, for a prompt that has been prefilled.
func (d *Directory) PickDecode(service string, wanted Wanted, zone string) *Lease {
	return d.pick(service, wanted, ofStage(region.StageDecode), loadScore{zone: zone, distance: 0.05, random: d.random})
}

// PickWithCapacity leases a decode replica for a stream that must move away from its present replica, which
// wanted excludes. It prefers replicas in or near zone, the zone of the present replica. It returns nil if no
// replica has capacity.
func (d *Directory) PickWithCapacity(service string, wanted Wanted, zone string) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	candidates := slices.DeleteFunc(d.candidates(service, wanted, ofStage(region.StageDecode), now), func(r *Replica) bool {
		return r.avoided(now) || r.refuses(now) || r.occupancy(now) > maximumMoveOccupancy
	})
	if len(candidates) == 0 {
		return nil
	}
	return d.leaseLowest(service, candidates, loadScore{zone: zone, distance: 0.05, random: d.random}, now)
}

func anyReplica(*Replica) bool { return true }

func ofStage(stage string) func(*Replica) bool {
	return func(replica *Replica) bool { return replica.Stage == stage }
}
