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
	// inTimeShare is the share of the remaining objective that the estimate may use; the rest is for what
	// the estimate does not include.
	inTimeShare = 0.9
	// crossZoneShare is the penalty for a replica in another zone, as a share of the objective.
	crossZoneShare = 0.01
)

// PlacePrefill leases the replica that is to prefill a prompt: a prefill replica, or the decode replica that
// also generates the answer. A prompt that no replica is expected to prefill within its objective becomes a
// late one, unless promotesLate queues it with those in time. It returns errNoReplica if there is no decode
// replica, and a noCapacityError if no replica has capacity.
func (d *Directory) PlacePrefill(service string, request PrefillRequest) (*Lease, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	d.costModel(service).Expect(request.Prompt.Tokens, request.Objective)
	all := d.replicasByStage(service, request, now)
	d.rankMeterOf(service).observe(now, all.prefill)
	d.recordArrival(service, request, now)
	if len(all.decode) == 0 {
		return nil, errNoReplica
	}
	sources := d.prefixSources(service, request.Prompt, now)
	inside, outside := d.partitionStages(all, request.Zone)
	best := d.offerPrefill(inside, request, sources, now)
	decision := crossRegionChoice{service: service, from: request.Zone, inside: best.Offer, localReplicas: inside.count()}
	if len(outside.decode) > 0 && !crossing.StaysLocal(best.Offer, request.Objective) {
		remote := d.offerPrefill(outside, request, sources, now)
		decision.outside = remote.Offer
		if decision.reason = crossing.LeaveReason(best.Offer, remote.Offer, request.Objective); decision.reason != crossing.Local {
			best = remote
		}
	}
	if best.Outcome == crossing.AtCapacity {
		// A refused prompt counts as demand, too.
		d.notePrefill(service, best.times(request, 0))
		return nil, newNoCapacityError(request, &best.prefillEstimate)
	}
	decision.lease = d.leasePrefill(best.prefillEstimate, request, best.urgency(), all.count())
	d.logCrossRegion(decision, now)
	return decision.lease, nil
}

// prefillOffer is the best estimate for a prompt, inside or outside a region.
type prefillOffer struct {
	crossing.Offer
	prefillEstimate
}

// urgency returns the class in which the prompt would be prefilled.
func (o *prefillOffer) urgency() Urgency {
	if o.Outcome == crossing.InTime {
		return InTime
	}
	return Late
}

// offerPrefill returns the best estimate among replicas that include at least one decode replica: for the
// prompt as one in time, else as a late one, else with the outcome crossing.AtCapacity. The caller must hold
// d.mutex.
func (d *Directory) offerPrefill(among stageReplicas, request PrefillRequest, sources []prefixSource, now time.Duration) prefillOffer {
	best := d.bestEstimate(among.prefill, among.decode, request, InTime, sources, now)
	service := among.decode[0].Service
	inTime := prefillOffer{crossing.Offer{Outcome: crossing.InTime, ServiceTime: best.total()}, best}
	if d.inTime(service, request, &best) {
		return inTime
	}
	best = d.bestEstimate(among.prefill, among.decode, request, Late, sources, now)
	offered := prefillOffer{crossing.Offer{Outcome: crossing.Late, ServiceTime: best.total()}, best}
	if d.acceptsLate(&best, request, now) || d.disabled[mechanism.EarlyRefusal] {
		return offered
	}
	if d.promotesLate(service, request, &inTime.prefillEstimate) {
		return inTime
	}
	offered.Outcome = crossing.AtCapacity
	return offered
}

// acceptsLate reports whether a replica may be given a late prompt: its prefill must complete before the
// caller is expected to give up, although on-time prompts arrive meanwhile (or at once, on an idle prefill
// replica), and less than lateShare of its slots may be taken, so that on-time prompts find capacity. The
// caller must hold d.mutex.
func (d *Directory) acceptsLate(e *prefillEstimate, request PrefillRequest, now time.Duration) bool {
	if request.Software.IsSet() {
		// The stream goes on at one of few replicas or nowhere.
		return e.total() < request.lateLeft()
	}
	taken := float64(e.replica.totalInFlight(now))
	completes := d.lateTotal(e) < request.lateLeft() || (e.total() < request.lateLeft() && d.mayBeginLate(e, now))
	return completes && taken < lateShare*float64(max(e.replica.Slots, 1))
}

// newNoCapacityError returns the refusal of a prompt for which no replica has capacity. The caller should retry
// when the best replica will have completed the prefills before it, but not before defaultRetryAfter, and
// within a third of its remaining time.
func newNoCapacityError(request PrefillRequest, best *prefillEstimate) error {
	return &noCapacityError{
		until: min(max(best.wait, defaultRetryAfter), request.Left/retryDivisor),
		busy:  best.busy / prefillSlowdown(best.replica),
	}
}

// noCapacityError is the refusal of a prompt; until is the time after which capacity is expected, and busy how
// long the prefill would have taken on a prefill replica.
type noCapacityError struct{ until, busy time.Duration }

// Error implements error.
func (*noCapacityError) Error() string { return "no replica has room for the prompt" }

// errSoftwareGone says that a stream can't go on, wherever it is taken up.
var errSoftwareGone = failure.New(failure.StreamNotResumed, "no replica runs the software that has begun the stream")

var errNoReplica = failure.New(failure.NoBackEnd, "no replica of the service is left to try")

const (
	// lateShare is the share of a replica's slots beyond which it gets no late prompts.
	lateShare = 0.5
	// retryDivisor limits the retry delay to a third of the caller's remaining time, the longest that
	// callers wait before a retry.
	retryDivisor = 3
)

// bestEstimate returns the better of a prefill on a prefill replica and one on the decode replica that
// generates the answer. The latter must be short, keep the inter-token gaps of the replica's streams within
// bounds, and not be expected to take longer, unless there are no prefill replicas. The caller must hold
// d.mutex.
func (d *Directory) bestEstimate(prefillReplicas, decodeReplicas []*Replica, request PrefillRequest, urgency Urgency, sources []prefixSource, now time.Duration) prefillEstimate {
	direct, harmless := d.bestDecodeReplica(decodeReplicas, request, urgency, sources, now)
	if len(prefillReplicas) == 0 || d.disabled[mechanism.ReadingApart] {
		return direct
	}
	separate := d.bestPrefillReplica(prefillReplicas, request, urgency, sources, now)
	service := decodeReplicas[0].Service
	handover := d.costModel(service).Overhead() + d.handoverTimes[service].average()
	short := direct.busy <= time.Duration(directGapShare*float64(request.TargetTokenGap))
	directTime := direct.total() + interferenceWeight*direct.busy + d.typicalOverrun(service, region.StageDecode)
	separateTime := separate.total() + handover + d.typicalOverrun(service, region.StagePrefill)
	if short && harmless && directTime <= separateTime && !d.disabled[mechanism.DirectReading] {
		return direct
	}
	return separate
}

// bestDecodeReplica returns the estimate of the decode replica with the lowest prefillScore plus a penalty for
// its occupancy, and whether the inter-token gaps of its streams stay within bounds during the prefill. The
// caller must hold d.mutex.
func (d *Directory) bestDecodeReplica(decodeReplicas []*Replica, request PrefillRequest, urgency Urgency, sources []prefixSource, now time.Duration) (prefillEstimate, bool) {
	var best prefillEstimate
	var bestScore time.Duration
	for index, replica := range decodeReplicas {
		estimated := d.estimatePrefill(replica, request, urgency, sources, now)
		score := d.prefillScore(&estimated, request, false, now) + time.Duration(occupancyShare*replica.occupancy(now)*float64(request.Objective))
		if index == 0 || score < bestScore {
			best, bestScore = estimated, score
		}
	}
	gap := best.wait + best.busy + best.replica.tokenGap.longest(now)
	return best, gap <= time.Duration(prefillGapShare*float64(request.TargetTokenGap))
}

const (
	// occupancyShare is the penalty for a full decode replica, as a share of the objective.
	occupancyShare = 0.2
	// interferenceWeight is the additional weight of the time for which a prefill on a decode replica
	// delays its streams.
	interferenceWeight = 2
	// directGapShare is the longest prefill on a decode replica, as a share of the target inter-token gap.
	// A gateway can't observe the gaps of streams that it does not relay, which are most of them where
	// there are many gateways.
	directGapShare = 0.08
	// prefillGapShare is the share of the target inter-token gap that prefills between the streams' tokens
	// may use.
	prefillGapShare = 0.6
)

// leasePrefill leases a replica for the prefill of a prompt. The caller must hold d.mutex.
func (d *Directory) leasePrefill(estimated prefillEstimate, request PrefillRequest, urgency Urgency, candidates int) *Lease {
	choice := estimated.replica.choice(d.clock(), candidates)
	lease := d.lease(estimated.replica)
	lease.Choice = choice
	lease.startPrefill(request, estimated, urgency)
	return lease
}

// PlaceDirect leases a decode replica that is to prefill a prompt itself, or returns nil.
func (d *Directory) PlaceDirect(service string, request PrefillRequest) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	decodeReplicas := d.healthyCandidates(service, request.wanted(), ofStage(region.StageDecode), now)
	if len(decodeReplicas) == 0 {
		return nil
	}
	sources := d.prefixSources(service, request.Prompt, now)
	inside, outside := d.partitionByRegion(decodeReplicas, request.Zone)
	best := d.offerDecode(inside, request, sources, now)
	decision := crossRegionChoice{service: service, from: request.Zone, inside: best.Offer, localReplicas: len(inside)}
	if len(outside) > 0 && !crossing.StaysLocal(best.Offer, request.Objective) {
		remote := d.offerDecode(outside, request, sources, now)
		decision.outside = remote.Offer
		if decision.reason = crossing.LeaveReason(best.Offer, remote.Offer, request.Objective); decision.reason != crossing.Local {
			best = remote
		}
	}
	decision.lease = d.leasePrefill(best.prefillEstimate, request, best.urgency(), len(decodeReplicas))
	d.logCrossRegion(decision, now)
	return decision.lease
}

// offerDecode returns the best of the decode replicas for prefilling the prompt itself. The caller must
// hold d.mutex.
func (d *Directory) offerDecode(decodeReplicas []*Replica, request PrefillRequest, sources []prefixSource, now time.Duration) prefillOffer {
	if len(decodeReplicas) == 0 {
		return prefillOffer{Offer: crossing.Offer{Outcome: crossing.NoReplica}}
	}
	best, _ := d.bestDecodeReplica(decodeReplicas, request, InTime, sources, now)
	offered := prefillOffer{crossing.Offer{Outcome: crossing.InTime, ServiceTime: best.total()}, best}
	if !d.inTime(decodeReplicas[0].Service, request, &best) {
		offered.Outcome = crossing.Late
	}
	return offered
}

// inTime reports whether a prompt is expected to be answered within its objective. The caller must hold
// d.mutex.
func (d *Directory) inTime(service string, request PrefillRequest, estimated *prefillEstimate) bool {
	needed := estimated.total() + d.costModel(service).Overhead() + d.handoverTimes[service].average()
	return needed <= time.Duration(inTimeShare*float64(request.ObjectiveLeft))
}

// bestPrefillReplica returns the estimate of the candidate with the lowest prefillScore, except that a replica
// without a rate limit is returned instead of a better one with a limit if sparesLimitedReplica says so. The
// preferred replicas of the prompt's shared prefix get a bonus for the part of it that they do not have cached,
// so that prompts with the same prefix from all gateways of a region tend to be prefilled on the same replica.
// The caller must hold d.mutex.
func (d *Directory) bestPrefillReplica(candidates []*Replica, request PrefillRequest, urgency Urgency, sources []prefixSource, now time.Duration) prefillEstimate {
	preferred := d.preferredReplicas(candidates[0].Service, region.StagePrefill, request.Prompt, now)
	var best, unlimited ratedEstimate
	for _, replica := range candidates {
		estimated := d.estimatePrefill(replica, request, urgency, sources, now)
		rated := ratedEstimate{estimated, d.prefillScore(&estimated, request, slices.Contains(preferred, replica), now)}
		best = best.better(rated)
		if !replica.limit.declared {
			unlimited = unlimited.better(rated)
		}
	}
	if best.replica.limit.declared && unlimited.replica != nil && d.sparesLimitedReplica(request, &best.prefillEstimate, &unlimited.prefillEstimate) {
		return unlimited.prefillEstimate
	}
	return best.prefillEstimate
}

// ratedEstimate is an estimate with its score; it is empty if it has no replica.
type ratedEstimate struct {
	prefillEstimate
	score time.Duration
}

// better returns the one of two with the lower score.
func (r ratedEstimate) better(other ratedEstimate) ratedEstimate {
	if r.replica == nil || other.score < r.score {
		return other
	}
	return r
}

// sparesLimitedReplica reports whether a prompt should go to a replica without a rate limit although one with
// a limit scores better. Rate limits count requests, so they are best spent on prompts with the longest
// prefill: a prompt is diverted if its prefill is shorter than typical and the replica without a limit is
// expected to answer it in time. The caller must hold d.mutex.
func (d *Directory) sparesLimitedReplica(request PrefillRequest, limited, unlimited *prefillEstimate) bool {
	service := unlimited.replica.Service
	return limited.busy < d.rankMeterOf(service).typical() && d.inTime(service, request, unlimited)
}

// prefillScore scores an estimate; the lowest score is the best. It is the expected time until the prefill is
// complete, less the bonus of a preferred replica, plus penalties for another zone, for recent errors and for
// an expected refusal, and a small random jitter. The caller must hold d.mutex.
func (d *Directory) prefillScore(estimated *prefillEstimate, request PrefillRequest, isPreferred bool, now time.Duration) time.Duration {
	score := estimated.total()
	if shared := estimated.missing - request.Prompt.unsharedTokens(); isPreferred && shared > 0 {
		score -= time.Duration(preferredCacheShare * float64(estimated.busy) * float64(shared) / float64(estimated.missing))
	}
	if estimated.replica.Zone != request.Zone {
		score += time.Duration(crossZoneShare * float64(request.Objective))
	}
	score += time.Duration(errorWeight * estimated.replica.errorRate * float64(request.Objective))
	if estimated.replica.refuses(now) {
		score += time.Duration(refusalShare * float64(request.Objective))
	}
	return score + time.Duration(d.random()*float64(scoreJitter))
}

// refusalShare is the penalty for a replica that is expected to refuse, as a share of the objective: it is
// tried where others would hardly complete the prefill in time.
const refusalShare = 0.5

// preferredCacheShare is the share of the uncached part of a prefix that counts as cached on its preferred replica.
const preferredCacheShare = 0.5

// scoreJitter breaks ties between replicas with about the same score.
const scoreJitter = 10 * time.Microsecond
