package relay

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/crossing"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// inTimeShare of what is left of the objective may be used by the estimate: what it
	// does not know of takes the rest.
	inTimeShare = 0.9
	// zoneShare of the objective is what another zone counts for.
	zoneShare = 0.01
)

// PlaceReading leases the replica that is to read a prompt: one that reads for others, or
// one that generates the answer, too. A prompt that no replica is expected to read
// within its objective becomes a late one. An error says that no replica has room.
func (d *Directory) PlaceReading(service string, request ReadRequest) (*Lease, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	d.model(service).Expect(request.Prompt.Tokens, request.Objective)
	all := d.stages(service, request, now)
	d.rankedOf(service).observe(now, all.readers)
	d.noteAsked(service, request, now)
	if len(all.generators) == 0 {
		return nil, errNoReplica
	}
	sources := d.keepers(service, request.Prompt, now)
	inside, outside := d.divide(all, request.Zone)
	best := d.offerReading(inside, request, sources, now)
	left := departure{service: service, from: request.Zone, inside: best.Offer, places: inside.count()}
	if len(outside.generators) > 0 && !crossing.Stay(best.Offer, request.Objective) {
		there := d.offerReading(outside, request, sources, now)
		left.outside = there.Offer
		if left.reason = crossing.Leave(best.Offer, there.Offer, request.Objective); left.reason != crossing.Stays {
			best = there
		}
	}
	if best.Outcome == crossing.Full {
		// It is demand all the same.
		d.noteRead(service, best.times(request, 0))
		return nil, noRoom(request, &best.readEstimate)
	}
	left.lease = d.leaseReading(best.readEstimate, request, best.urgency(), all.count())
	d.noteDeparture(left, now)
	return left.lease, nil
}

// readOffer is the best that one side of a region's border has for a prompt.
type readOffer struct {
	crossing.Offer
	readEstimate
}

// urgency is the class in which the prompt would be read.
func (o *readOffer) urgency() Urgency {
	if o.Outcome == crossing.InTime {
		return InTime
	}
	return Late
}

// offerReading returns the best place of a side with generating replicas. It is called with the
// mutex held.
func (d *Directory) offerReading(among side, request ReadRequest, sources []keeper, now time.Duration) readOffer {
	best := d.bestPlace(among.readers, among.generators, request, InTime, sources, now)
	service := among.generators[0].Service
	inTime := readOffer{crossing.Offer{Outcome: crossing.InTime, Takes: best.total()}, best}
	if d.inTime(service, request, &best) {
		return inTime
	}
	best = d.bestPlace(among.readers, among.generators, request, Late, sources, now)
	offered := readOffer{crossing.Offer{Outcome: crossing.Late, Takes: best.total()}, best}
	if d.hasLateRoom(&best, request, now) || d.off[mechanism.EarlyRefusal] {
		return offered
	}
	if d.isPutBehind(service, request, &inTime.readEstimate) {
		return inTime
	}
	offered.Outcome = crossing.Full
	return offered
}

// hasLateRoom reports whether a replica may be given a late prompt: one that will be read
// before its caller's deadline although others in time come, and leaves room for those. It is
// called with the mutex held.
func (d *Directory) hasLateRoom(e *readEstimate, request ReadRequest, now time.Duration) bool {
	taken := float64(e.replica.allInFlight(now))
	inLate := d.lateTotal(e) < request.lateLeft() || (e.total() < request.lateLeft() && d.mayBeginLate(e, now))
	return inLate && taken < lateShare*float64(max(e.replica.Slots, 1))
}

// noRoom is the refusal of a prompt for which no replica has room, with when to come back:
// once the best place will have read what it has.
func noRoom(request ReadRequest, best *readEstimate) error {
	return &noRoomError{
		until: min(max(best.wait, refusedRetryAfter), request.Left/retryDivisor),
		busy:  best.busy / slowness(best.replica),
	}
}

// noRoomError is the refusal of a prompt; until is in how long there should be room, and
// busy for how long a reader would have read it.
type noRoomError struct{ until, busy time.Duration }

// Error implements error.
func (*noRoomError) Error() string { return "no replica has room for the prompt" }

var errNoReplica = failure.New(failure.NoBackEnd, "no replica of the service is left to try")

const (
	// lateShare of a replica's slots may be taken before it gets late prompts.
	lateShare = 0.5
	// retryDivisor divides what is left of a caller's time into the longest time after
	// which it is told to come back: callers wait for no more than a third.
	retryDivisor = 3
)

// bestPlace compares reading apart with reading where the answer is generated. It is
// called with the mutex held.
func (d *Directory) bestPlace(readers, generators []*Replica, request ReadRequest, urgency Urgency, sources []keeper, now time.Duration) readEstimate {
	direct, harmless := d.bestDirect(generators, request, urgency, sources, now)
	if len(readers) == 0 || d.off[mechanism.ReadingApart] {
		return direct
	}
	apart := d.bestReader(readers, request, urgency, sources, now)
	service := generators[0].Service
	handover := d.model(service).Overhead() + d.handovers[service].typical()
	short := direct.busy <= time.Duration(shortShare*float64(request.TargetGap))
	directTime := direct.total() + directHarm*direct.busy + d.excess(service, region.StageDecode)
	apartTime := apart.total() + handover + d.excess(service, region.StagePrefill)
	if short && harmless && directTime <= apartTime && !d.off[mechanism.DirectReading] {
		return direct
	}
	return apart
}

// bestDirect returns the generating replica that is expected to have read a prompt
// first, and whether the streams there stay within their pauses meanwhile. It is called
// with the mutex held.
func (d *Directory) bestDirect(generators []*Replica, request ReadRequest, urgency Urgency, sources []keeper, now time.Duration) (readEstimate, bool) {
	var best readEstimate
	var bestScore time.Duration
	for index, replica := range generators {
		estimated := d.estimate(replica, request, urgency, sources, now)
		score := d.readScore(&estimated, request, false, now) + time.Duration(occupancyShare*replica.occupancy(now)*float64(request.Objective))
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
func (d *Directory) PlaceDirect(service string, request ReadRequest) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	generators := d.soundCandidates(service, request.wanted(), ofStage(region.StageDecode), now)
	if len(generators) == 0 {
		return nil
	}
	sources := d.keepers(service, request.Prompt, now)
	inside, outside := d.split(generators, request.Zone)
	best := d.offerDirect(inside, request, sources, now)
	left := departure{service: service, from: request.Zone, inside: best.Offer, places: len(inside)}
	if len(outside) > 0 && !crossing.Stay(best.Offer, request.Objective) {
		there := d.offerDirect(outside, request, sources, now)
		left.outside = there.Offer
		if left.reason = crossing.Leave(best.Offer, there.Offer, request.Objective); left.reason != crossing.Stays {
			best = there
		}
	}
	left.lease = d.leaseReading(best.readEstimate, request, best.urgency(), len(generators))
	d.noteDeparture(left, now)
	return left.lease
}

// offerDirect returns the best generating replica of one side that reads the prompt itself. It is
// called with the mutex held.
func (d *Directory) offerDirect(generators []*Replica, request ReadRequest, sources []keeper, now time.Duration) readOffer {
	if len(generators) == 0 {
		return readOffer{Offer: crossing.Offer{Outcome: crossing.Nowhere}}
	}
	best, _ := d.bestDirect(generators, request, InTime, sources, now)
	offered := readOffer{crossing.Offer{Outcome: crossing.InTime, Takes: best.total()}, best}
	if !d.inTime(generators[0].Service, request, &best) {
		offered.Outcome = crossing.Late
	}
	return offered
}

// inTime reports whether a prompt is expected to be answered within its objective. It
// is called with the mutex held.
func (d *Directory) inTime(service string, request ReadRequest, estimated *readEstimate) bool {
	needed := estimated.total() + d.model(service).Overhead() + d.handovers[service].typical()
	return needed <= time.Duration(inTimeShare*float64(request.AimLeft))
}

// bestReader returns the estimate of the replica that is expected to have read a prompt
// first. A prompt whose prefix no replica is known to keep prefers the prefix's home,
// so that prompts with one prefix meet there from all gateways of a region. It is called with the
// mutex held.
func (d *Directory) bestReader(candidates []*Replica, request ReadRequest, urgency Urgency, sources []keeper, now time.Duration) readEstimate {
	homes := d.homesOf(candidates[0].Service, region.StagePrefill, request.Prompt, now)
	var best, unlimited ratedEstimate
	for _, replica := range candidates {
		estimated := d.estimate(replica, request, urgency, sources, now)
		rated := ratedEstimate{estimated, d.readScore(&estimated, request, slices.Contains(homes, replica), now)}
		best = best.better(rated)
		if !replica.limit.named {
			unlimited = unlimited.better(rated)
		}
	}
	if best.replica.limit.named && unlimited.replica != nil && d.leavesRoom(request, &best.readEstimate, &unlimited.readEstimate) {
		return unlimited.readEstimate
	}
	return best.readEstimate
}

// ratedEstimate is an estimate with its score; none if it has no replica.
type ratedEstimate struct {
	readEstimate
	score time.Duration
}

// better is the one of two with the lower score.
func (r ratedEstimate) better(other ratedEstimate) ratedEstimate {
	if r.replica == nil || other.score < r.score {
		return other
	}
	return r
}

// leavesRoom reports whether a prompt leaves the room of a replica that names a limit to others: limits
// count requests, so that the room is worth most to what takes longest to read. It is called with the
// mutex held.
func (d *Directory) leavesRoom(request ReadRequest, limited, unlimited *readEstimate) bool {
	service := unlimited.replica.Service
	return limited.busy < d.rankedOf(service).typical() && d.inTime(service, request, unlimited)
}

// readScore rates an estimate; the lowest is the best. It is called with the mutex held.
func (d *Directory) readScore(estimated *readEstimate, request ReadRequest, isHome bool, now time.Duration) time.Duration {
	score := estimated.total()
	if shared := estimated.missing - request.Prompt.ownTokens(); isHome && shared > 0 {
		score -= time.Duration(homeShare * float64(estimated.busy) * float64(shared) / float64(estimated.missing))
	}
	if estimated.replica.Zone != request.Zone {
		score += time.Duration(zoneShare * float64(request.Objective))
	}
	score += time.Duration(errorWeight * estimated.replica.errorRate * float64(request.Objective))
	if estimated.replica.refuses(now) {
		score += time.Duration(refusingShare * float64(request.Objective))
	}
	return score + time.Duration(d.draw()*float64(scoreJitter))
}

// refusingShare of the objective is what a replica that is expected to refuse counts for: it is tried where
// others would hardly read the prompt in time.
const refusingShare = 0.5

// homeShare is how much of a prefix its home counts as keeping.
const homeShare = 0.5

// scoreJitter decides between replicas that are rated alike.
const scoreJitter = 10 * time.Microsecond
