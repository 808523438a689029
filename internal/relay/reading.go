package relay

import (
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/internal/costmodel"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// ReadRequest is a prompt that is to be read, with what its caller expects.
type ReadRequest struct {
	Prompt *Prompt
	// Objective is the route's, up to the first event.
	Objective time.Duration
	// TargetGap is the longest pause that the route's streams may make.
	TargetGap time.Duration
	// AimLeft is the time until the objective is missed, Left that until the caller's
	// deadline.
	AimLeft time.Duration
	Left    time.Duration
}

// Urgency is the class in which a prompt is read. Replicas read the prompts of an
// earlier class first.
type Urgency int

const (
	// InTime prompts are expected to be answered within their objective.
	InTime Urgency = iota
	// Late ones are not, and are read when no other waits.
	Late
	urgencies
)

// readingWork is the time for which prompts keep a replica busy, by their urgency.
type readingWork [urgencies]time.Duration

// before is the work that is done before a prompt of an urgency.
func (w readingWork) before(urgency Urgency) time.Duration {
	var sum time.Duration
	for class := InTime; class <= urgency; class++ {
		sum += w[class]
	}
	return sum
}

// readEstimate is how long a replica is expected to take until it has read a prompt.
type readEstimate struct {
	replica *Replica
	// wait is for the prompts before it, move for a prefix that is fetched, and busy
	// for the replica's own work on it.
	wait, move, busy time.Duration
	// from is the replica to fetch a prefix from, nil if there is none.
	from *Replica
	// missing are the tokens to be read.
	missing int
}

// total is the time until the prompt has been read.
func (e *readEstimate) total() time.Duration { return e.wait + e.move + e.busy }

const (
	// inTimeShare of what is left of the objective may be used by the estimate: what it
	// does not know of takes the rest.
	inTimeShare = 0.9
	// zoneShare of the objective is what another zone counts for.
	zoneShare = 0.01
	// moveCaution is the factor by which a fetch may take longer than the link
	// allows, because of other moves.
	moveCaution = 2
	// guessedMoveShare of the time that reading would take is what a fetch is taken
	// for if the configuration does not tell the links' speed.
	guessedMoveShare = 0.1
	// directSlowness is the factor by which a generating replica reads more slowly.
	directSlowness = 2
)

// model returns what has been learned of a service's engines. It is called with the
// mutex held.
func (d *Directory) model(service string) *costmodel.Model {
	model, found := d.models[service]
	if !found {
		model = &costmodel.Model{}
		d.models[service] = model
	}
	return model
}

// busyTime is for how long a replica reads tokens of a prompt. It is called with the
// mutex held.
func (d *Directory) busyTime(replica *Replica, request ReadRequest, missing int) time.Duration {
	work := costmodel.Work{Tokens: request.Prompt.Tokens, Missing: min(missing, request.Prompt.Tokens)}
	return d.model(replica.Service).ReadTime(work) * slowness(replica)
}

// Costs tells what has been learned here of the engines of all services.
func (d *Directory) Costs() []region.EngineCost {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var costs []region.EngineCost
	for service, model := range d.models {
		weights, samples := model.Own()
		if samples == 0 {
			continue
		}
		costs = append(costs, region.EngineCost{
			Service: service, Samples: samples, Fixed: weights.Fixed, Token: weights.Token, Pair: weights.Pair,
		})
	}
	return costs
}

// TakeCosts notes what a peer has learned of engines.
func (d *Directory) TakeCosts(costs []region.EngineCost) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.off[mechanism.LearnedCosts] {
		return
	}
	for _, each := range costs {
		if len(d.services[each.Service]) == 0 {
			continue
		}
		weights := costmodel.Weights{Fixed: each.Fixed, Token: each.Token, Pair: each.Pair}
		d.model(each.Service).Hear(weights, each.Samples)
	}
}

// wholeReading is for how long a replica reads a prompt of which it keeps nothing.
func (d *Directory) wholeReading(replica *Replica, request ReadRequest) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.busyTime(replica, request, request.Prompt.Tokens)
}

// slowness is the factor by which a replica reads more slowly than one that only reads.
func slowness(replica *Replica) time.Duration {
	if replica.Stage == region.StageDecode {
		return directSlowness
	}
	return 1
}

// moveTime is for how long a prefix is under way between replicas, read being the time
// that reading it would take. It is called with the mutex held.
func (d *Directory) moveTime(from, to *Replica, tokens int, read time.Duration) time.Duration {
	engine := d.engines[to.Service]
	if engine.LinkBitsPerSecond <= 0 || engine.TokenBytes <= 0 {
		return time.Duration(guessedMoveShare * float64(read))
	}
	seconds := moveCaution * float64(tokens) * float64(engine.TokenBytes) * bitsPerByte / engine.LinkBitsPerSecond
	if from.Zone != to.Zone {
		seconds *= 2
	}
	return time.Duration(seconds * float64(time.Second))
}

const bitsPerByte = 8

// estimate is how long a replica takes to read a prompt of an urgency. It is called
// with the mutex held.
func (d *Directory) estimate(replica *Replica, request ReadRequest, urgency Urgency, sources []keeper, now time.Duration) readEstimate {
	missing := d.missing(replica, request.Prompt)
	estimated := readEstimate{
		replica: replica,
		wait:    replica.allReading(now).before(urgency),
		busy:    d.busyTime(replica, request, missing),
		missing: missing,
	}
	own := replica.prefixes.kept(request.Prompt, now)
	for _, source := range sources {
		if source.replica == replica || source.kept <= own {
			continue
		}
		left := request.Prompt.Tokens - source.kept
		busy := d.busyTime(replica, request, left)
		move := d.moveTime(source.replica, replica, source.kept-own, estimated.busy-busy)
		if busy+move < estimated.busy+estimated.move {
			estimated.busy, estimated.move, estimated.from, estimated.missing = busy, move, source.replica, left
		}
	}
	return estimated
}

// missing are the tokens of a prompt that a replica is expected to read. It is called with
// the mutex held.
func (d *Directory) missing(replica *Replica, prompt *Prompt) int {
	if d.off[mechanism.PrefixAffinity] {
		return prompt.Tokens
	}
	return replica.prefixes.missing(prompt)
}

// keeper is a replica that keeps the beginning of a prompt.
type keeper struct {
	replica *Replica
	kept    int
}

// keepers returns, for each zone, the replica that keeps the most of a prompt's
// beginning and offers it. It is called with the mutex held.
func (d *Directory) keepers(service string, prompt *Prompt, now time.Duration) []keeper {
	if d.off[mechanism.Fetching] {
		return nil
	}
	var best []keeper
	for _, replica := range d.services[service] {
		if !replica.offers(now) {
			continue
		}
		if kept := replica.prefixes.kept(prompt, now); kept > 0 {
			best = keepMost(best, keeper{replica: replica, kept: kept})
		}
	}
	return best
}

func keepMost(best []keeper, found keeper) []keeper {
	for index := range best {
		if best[index].replica.Zone == found.replica.Zone {
			if found.kept > best[index].kept {
				best[index] = found
			}
			return best
		}
	}
	return append(best, found)
}

// PlaceReading leases the replica that is to read a prompt: one that reads for others, or
// one that generates the answer, too. A prompt that no replica is expected to read
// within its objective becomes a late one. An error says that no replica has room.
func (d *Directory) PlaceReading(service string, request ReadRequest) (*Lease, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	d.model(service).Expect(request.Prompt.Tokens, request.Objective)
	readers := d.soundCandidates(service, nil, ofStage(region.StagePrefill), now)
	generators := d.soundCandidates(service, nil, ofStage(region.StageDecode), now)
	if len(generators) == 0 {
		return nil, errNoReplica
	}
	best := d.bestPlace(service, readers, generators, request, InTime, now)
	if d.inTime(service, request, &best) {
		return d.leaseReading(best, request, InTime, len(readers)+len(generators)), nil
	}
	best = d.bestPlace(service, readers, generators, request, Late, now)
	if !best.hasLateRoom(request, now) && !d.off[mechanism.EarlyRefusal] {
		// It is demand all the same.
		d.noteRead(service, best.busy/slowness(best.replica))
		return nil, noRoom(request, &best)
	}
	return d.leaseReading(best, request, Late, len(readers)+len(generators)), nil
}

// hasLateRoom reports whether a replica may be given a late prompt: one that will be read
// before its caller's deadline if no other comes, and leaves room for those in time.
func (e *readEstimate) hasLateRoom(request ReadRequest, now time.Duration) bool {
	taken := float64(e.replica.allInFlight(now))
	return e.total() < request.Left && taken < lateShare*float64(max(e.replica.Slots, 1))
}

// noRoom is the refusal of a prompt for which no replica has room, with when to come back:
// once the best place will have read what it has.
func noRoom(request ReadRequest, best *readEstimate) error {
	return &noRoomError{until: min(max(best.wait, refusedRetryAfter), request.Left/retryShare)}
}

// noRoomError is the refusal of a prompt; until is in how long there should be room.
type noRoomError struct{ until time.Duration }

// Error implements error.
func (*noRoomError) Error() string { return "no replica has room for the prompt" }

var errNoReplica = failure.New(failure.NoBackEnd, "no replica of the service is left to try")

const (
	// lateShare of a replica's slots may be taken before it gets late prompts.
	lateShare = 0.5
	// retryShare of what is left of a caller's time, as a divisor, is the longest after
	// which it is told to come back.
	retryShare = 3
)

// bestPlace compares reading apart with reading where the answer is generated. It is
// called with the mutex held.
func (d *Directory) bestPlace(service string, readers, generators []*Replica, request ReadRequest, urgency Urgency, now time.Duration) readEstimate {
	direct, harmless := d.bestDirect(generators, request, urgency, now)
	if len(readers) == 0 || d.off[mechanism.ReadingApart] {
		return direct
	}
	apart := d.bestReader(readers, request, urgency, now)
	handover := d.model(service).Overhead() + d.handovers[service].typical()
	short := direct.busy <= time.Duration(shortShare*float64(request.TargetGap))
	directTime := direct.total() + directHarm*direct.busy + d.excess(service, region.StageDecode)
	apartTime := apart.total() + handover + d.excess(service, region.StagePrefill)
	if short && harmless && directTime <= apartTime && !d.off[mechanism.DirectReading] {
		return direct
	}
	return apart
}

// excess is by how much longer than expected a prompt takes at a stage's replicas. It is
// called with the mutex held.
func (d *Directory) excess(service, stage string) time.Duration {
	if d.off[mechanism.Excess] {
		return 0
	}
	return max(d.excesses[service+"/"+stage].typical(), 0)
}

// bestDirect returns the generating replica that is expected to have read a prompt
// first, and whether the streams there stay within their pauses meanwhile. It is called
// with the mutex held.
func (d *Directory) bestDirect(generators []*Replica, request ReadRequest, urgency Urgency, now time.Duration) (readEstimate, bool) {
	sources := d.keepers(generators[0].Service, request.Prompt, now)
	var best readEstimate
	var bestScore time.Duration
	for index, replica := range generators {
		estimated := d.estimate(replica, request, urgency, sources, now)
		score := d.readScore(&estimated, request, false) + time.Duration(occupancyShare*replica.occupancy(now)*float64(request.Objective))
		if index == 0 || score < bestScore {
			best, bestScore = estimated, score
		}
	}
	held := best.wait + best.busy + best.replica.pause.longest(now)
	return best, held <= time.Duration(pauseShare*float64(request.TargetGap))
}

const (
	// occupancyShare of the objective is what a full generating replica counts for.
	occupancyShare = 0.2
	// directHarm is how many times over the time counts for which a prompt holds up the
	// streams of a generating replica.
	directHarm = 2
	// shortShare of the pause that streams may make is the longest that a generating
	// replica reads a prompt for. It can't watch the pauses of streams that it does not
	// hear of, which are most of them where there are many gateways.
	shortShare = 0.08
	// pauseShare of the pause that streams may make is used by prompts that are read
	// between their tokens.
	pauseShare = 0.6
)

// leaseReading is called with the mutex held.
func (d *Directory) leaseReading(estimated readEstimate, request ReadRequest, urgency Urgency, candidates int) *Lease {
	choice := estimated.replica.choice(d.clock(), candidates)
	lease := d.lease(estimated.replica)
	lease.Choice = choice
	lease.readPrompt(request, estimated, urgency)
	return lease
}

// PlaceDirect leases a generating replica that is to read a prompt itself, or returns
// nil.
func (d *Directory) PlaceDirect(service string, excluded []*Replica, request ReadRequest) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	generators := d.soundCandidates(service, excluded, ofStage(region.StageDecode), now)
	if len(generators) == 0 {
		return nil
	}
	best, _ := d.bestDirect(generators, request, InTime, now)
	urgency := InTime
	if !d.inTime(service, request, &best) {
		urgency = Late
	}
	return d.leaseReading(best, request, urgency, len(generators))
}

// inTime reports whether a prompt is expected to be answered within its objective. It
// is called with the mutex held.
func (d *Directory) inTime(service string, request ReadRequest, estimated *readEstimate) bool {
	needed := estimated.total() + d.model(service).Overhead() + d.handovers[service].typical()
	return needed <= time.Duration(inTimeShare*float64(request.AimLeft))
}

// bestReader returns the estimate of the replica that is expected to have read a prompt
// first. A prompt whose prefix no replica is known to keep prefers the prefix's home,
// so that prompts with one prefix meet there from all gateways. It is called with the
// mutex held.
func (d *Directory) bestReader(candidates []*Replica, request ReadRequest, urgency Urgency, now time.Duration) readEstimate {
	service := candidates[0].Service
	sources := d.keepers(service, request.Prompt, now)
	home := d.homeOf(service, region.StagePrefill, request.Prompt, now)
	var best readEstimate
	var bestScore time.Duration
	for index, replica := range candidates {
		estimated := d.estimate(replica, request, urgency, sources, now)
		score := d.readScore(&estimated, request, replica == home)
		if index == 0 || score < bestScore {
			best, bestScore = estimated, score
		}
	}
	return best
}

// readScore rates an estimate; the lowest is the best. It is called with the mutex held.
func (d *Directory) readScore(estimated *readEstimate, request ReadRequest, isHome bool) time.Duration {
	score := estimated.total()
	if shared := estimated.missing - request.Prompt.ownTokens(); isHome && shared > 0 {
		score -= time.Duration(homeShare * float64(estimated.busy) * float64(shared) / float64(estimated.missing))
	}
	if estimated.replica.Zone != d.zone {
		score += time.Duration(zoneShare * float64(request.Objective))
	}
	score += time.Duration(errorWeight * estimated.replica.errorRate * float64(request.Objective))
	return score + rand.N(scoreJitter)
}

// homeShare is how much of a prefix its home counts as keeping.
const homeShare = 0.5

// scoreJitter decides between replicas that are rated alike.
const scoreJitter = 10 * time.Microsecond

// missing are the prompt's tokens that the replica is to read.
func (l *Lease) missing() int {
	if l.reading == nil {
		return 0
	}
	return l.reading.missing
}

// expectedWait is for how long other prompts are expected to be read before.
func (l *Lease) expectedWait() time.Duration {
	if l.reading == nil {
		return 0
	}
	return l.reading.wait
}

// Rank orders the prompt, or the stream, at its replica: by the route's priority, what is
// late behind all others.
func (l *Lease) Rank(route *traffic.Route) int {
	if l.reading != nil && l.reading.urgency == Late && !l.directory.off[mechanism.Ranks] {
		return LastRank
	}
	return min(max(route.Priority, 0), LastRank-1)
}

// pace returns how fast a service's replicas read prompts, in tokens a second; 0 while
// it is not known.
func (d *Directory) pace(service string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.model(service).TokensPerSecond()
}
