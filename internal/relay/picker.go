package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/internal/region"
)

// scorer rates a replica for a request; the lowest score is the best.
type scorer interface {
	score(replica *Replica, now time.Duration) float64
}

// pick returns a lease on the best replica of a service that passes a filter, or
// nil. Replicas in excluded get nothing; avoided ones only if there is no other.
func (d *Directory) pick(service string, excluded []*Replica, passes func(*Replica) bool, rating scorer, toRead *Prompt) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	candidates := d.candidates(service, excluded, passes)
	sound := slices.DeleteFunc(slices.Clone(candidates), func(r *Replica) bool { return r.avoided(now) })
	if len(sound) > 0 {
		candidates = sound
	}
	if len(candidates) == 0 {
		return nil
	}
	best := lowest(candidates, rating, now)
	choice := best.choice(now, len(candidates))
	lease := d.lease(best, toRead)
	lease.Choice = choice
	return lease
}

// candidates are the replicas of a service that may get a request. It is called
// with the mutex held.
func (d *Directory) candidates(service string, excluded []*Replica, passes func(*Replica) bool) []*Replica {
	var candidates []*Replica
	for _, replica := range d.services[service] {
		if !replica.Draining && !replica.gone && passes(replica) && !slices.Contains(excluded, replica) {
			candidates = append(candidates, replica)
		}
	}
	return candidates
}

// lowest returns the candidate with the lowest score.
func lowest(candidates []*Replica, rating scorer, now time.Duration) *Replica {
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
}

const (
	errorWeight    = 2.0
	slownessWeight = 0.1
	jitterWeight   = 0.02
)

func (s loadScore) score(replica *Replica, now time.Duration) float64 {
	score := replica.occupancy(now) + errorWeight*replica.errorRate + jitterWeight*rand.Float64()
	if replica.Zone != s.zone {
		score += s.distance
	}
	if s.typicalLatency > 0 && replica.latency > s.typicalLatency {
		score += slownessWeight * (replica.latency/s.typicalLatency - 1)
	}
	return score
}

// readScore rates replicas that read prompts by the tokens to be read there
// before the prompt is, from 0 upwards: those of other prompts, and the prompt's own
// that the replica does not keep. Prompts with equal prefixes prefer the same
// replica, by rendezvous hashing of the longest shared prefix, on all gateways
// alike.
type readScore struct {
	prompt *Prompt
	home   *Replica
	zone   string
	// mostKept are the tokens that a replica may fetch from another.
	mostKept int
}

// A prompt whose prefix is not known to be kept by a replica goes to its home, so
// that prompts with one prefix meet there from all gateways, also from those that do
// not hear of each other: the home counts as keeping homeShare of the prefix, and
// homeBonus tokens at least.
const (
	homeShare = 0.5
	homeBonus = 1000
)

// crossZoneTokens is what a move of the memory between zones costs, in tokens.
const crossZoneTokens = 200

func (s readScore) score(replica *Replica, now time.Duration) float64 {
	own := replica.prefixes.missing(s.prompt)
	if fetched := s.prompt.Tokens - s.mostKept; own > fetched+leastFetched {
		own = fetched + fetchTokens
	}
	if shared := own - s.prompt.ownTokens(); replica == s.home && shared > 0 {
		own -= max(homeBonus, int(homeShare*float64(shared)))
	}
	score := float64(own) + replica.allTokens(now) + errorWeight*replica.errorRate*float64(s.prompt.Tokens)
	if replica.Zone != s.zone {
		score += crossZoneTokens
	}
	return score + rand.Float64()
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

// home returns the replica of a stage at which a prompt's shared prefix belongs,
// nil if it has none. The choice depends on the incarnations alone.
func (d *Directory) home(service, stage string, prompt *Prompt) *Replica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.homeOf(service, stage, prompt, d.clock())
}

// homeOf is home, called with the mutex held.
func (d *Directory) homeOf(service, stage string, prompt *Prompt, now time.Duration) *Replica {
	key := prompt.sharedPart()
	if key == "" {
		return nil
	}
	var home *Replica
	var highest uint64
	for _, replica := range d.services[service] {
		if replica.Draining || replica.gone || replica.Stage != stage || now < replica.avoidUntil {
			continue
		}
		if weight := xxhash.Sum64String(key + "/" + replica.ID); home == nil || weight > highest {
			home, highest = replica, weight
		}
	}
	return home
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
func (d *Directory) PickAny(service string, excluded []*Replica) *Lease {
	rating := loadScore{zone: d.zone, distance: 0.2, typicalLatency: d.typicalLatency(service)}
	return d.pick(service, excluded, anyReplica, rating, nil)
}

// PickReader leases a replica that reads prompts for others, or returns nil.
func (d *Directory) PickReader(service string, excluded []*Replica, prompt *Prompt) *Lease {
	rating := readScore{
		prompt: prompt,
		home:   d.home(service, region.StagePrefill, prompt),
		zone:   d.zone,

		mostKept: d.mostKept(service, prompt),
	}
	return d.pick(service, excluded, ofStage(region.StagePrefill), rating, prompt)
}

// PickGenerator leases a replica that generates, near a zone. With a prompt, it
// has to read what it does not keep of it.
func (d *Directory) PickGenerator(service string, excluded []*Replica, zone string, prompt *Prompt) *Lease {
	rating := generateScore{loadScore: loadScore{zone: zone, distance: 0.05}, prompt: prompt}
	return d.pick(service, excluded, ofStage(region.StageDecode), rating, prompt)
}

// generateScore is a loadScore that adds the share of a full batch's time that
// reading a prompt takes.
type generateScore struct {
	loadScore
	prompt *Prompt
}

// tokensPerOccupancy is the number of prompt tokens whose reading weighs as much
// as a full batch.
const tokensPerOccupancy = 4096

func (s generateScore) score(replica *Replica, now time.Duration) float64 {
	score := s.loadScore.score(replica, now)
	if s.prompt == nil {
		return score
	}
	return score + (float64(replica.prefixes.missing(s.prompt))+replica.allTokens(now))/tokensPerOccupancy
}

func anyReplica(*Replica) bool { return true }

func ofStage(stage string) func(*Replica) bool {
	return func(replica *Replica) bool { return replica.Stage == stage }
}

// pace returns how fast a service's replicas read prompts, in tokens a second.
func (d *Directory) pace(service string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.paces[service].tokensPerSecond()
}

// readingOutlook is what decides where a prompt is read.
type readingOutlook struct {
	// missing are the prompt's tokens that no generating replica keeps.
	missing int
	// backlog is the smallest of the readers', in tokens.
	backlog float64
	// pace of the readers, in tokens a second.
	pace float64
}

// readingOutlook looks at a service's replicas for a prompt.
func (d *Directory) readingOutlook(service string, prompt *Prompt) readingOutlook {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	outlook := readingOutlook{
		missing: prompt.Tokens,
		backlog: math.Inf(1),
		pace:    d.paces[service].tokensPerSecond(),
	}
	for _, replica := range d.services[service] {
		if replica.Draining || replica.gone || replica.avoided(now) {
			continue
		}
		switch replica.Stage {
		case region.StagePrefill:
			outlook.backlog = min(outlook.backlog, replica.allTokens(now))
		case region.StageDecode:
			outlook.missing = min(outlook.missing, replica.prefixes.missing(prompt))
		}
	}
	return outlook
}
