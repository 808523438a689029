package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/origin"
)

// PrefillRequest is a prompt to be prefilled, with the limits of its request.
type PrefillRequest struct {
	Prompt *Prompt
	// Objective is the route's objective for the time to the first event.
	Objective time.Duration
	// TargetTokenGap is the longest inter-token gap that the route's streams should have.
	TargetTokenGap time.Duration
	// ObjectiveLeft is the time until the objective is missed, Left the time until the caller's deadline.
	ObjectiveLeft time.Duration
	Left          time.Duration
	// Rank is the route's; replicas prefill prompts of lower ranks first.
	Rank int
	// Tenant identifies the caller's tenant, 0 for none.
	Tenant uint64
	// Zone is that of the gateway that received the request.
	Zone string
	// Excluded are replicas that must not be chosen; Unlimited excludes all that declare a rate limit.
	Excluded  []*Replica
	Unlimited bool
	// Software is that of the replicas which may run the request, if it is set. BeginsStream is set if a stream begins there
	// that callers may take up.
	Software     origin.Software
	BeginsStream bool
}

// wanted returns the restrictions on which replicas may get the request.
func (r *PrefillRequest) wanted() Wanted {
	return Wanted{Rank: r.Rank, Excluded: r.Excluded, Unlimited: r.Unlimited, Software: r.Software, BeginsStream: r.BeginsStream}
}

// Urgency is the scheduling class of a prefill. Replicas process the prompts of an earlier class first.
type Urgency int

const (
	// InTime prompts are expected to be answered within their objective.
	InTime Urgency = iota
	// Late prompts are not, and are processed when no others wait.
	Late
	urgencyCount
)

// prefillWork is the prefill work of a replica as a duration, by urgency.
type prefillWork [urgencyCount]time.Duration

// before returns the work that is done before a prompt of an urgency.
func (w prefillWork) before(urgency Urgency) time.Duration {
	var sum time.Duration
	for class := InTime; class <= urgency; class++ {
		sum += w[class]
	}
	return sum
}

// prefillEstimate is the expected time until a replica has completed the prefill of a prompt, by its parts.
type prefillEstimate struct {
	replica *Replica
	// wait is for the prompts before it, transfer for that of a fetched prefix, and busy for the replica's
	// own work on it.
	wait, transfer, busy time.Duration
	// crossRegion is the delay of crossing to another region.
	crossRegion time.Duration
	// from is the replica to fetch a prefix from, nil if there is none.
	from *Replica
	// missing is the number of tokens to prefill.
	missing int
}

// total returns the time until the prefill is complete, waiting included, plus the delay of crossing to another
// region.
func (e *prefillEstimate) total() time.Duration { return e.prefillTime() + e.crossRegion }

// prefillTime returns the time until the replica has completed the prefill, waiting and the transfer of a
// fetched prefix included, without the delay of crossing to another region.
func (e *prefillEstimate) prefillTime() time.Duration { return e.wait + e.transfer + e.busy }

// estimatePrefill estimates how long a replica takes to prefill a prompt of an urgency, waiting included. It
// includes the fetch of a cached prefix from one of the sources if that is expected to be faster. The caller
// must hold d.mutex.
func (d *Directory) estimatePrefill(replica *Replica, request PrefillRequest, urgency Urgency, sources []prefixSource, now time.Duration) prefillEstimate {
	missing := d.missing(replica, request.Prompt)
	estimated := prefillEstimate{
		replica:     replica,
		wait:        d.queueingTime(replica, urgency, request, now),
		busy:        d.prefillTime(replica, request, missing),
		missing:     missing,
		crossRegion: d.crossRegionDelay(request.Zone, replica, now),
	}
	own := replica.prefixes.cachedTokens(request.Prompt, now)
	for _, source := range sources {
		if source.replica == replica || source.cached <= own {
			continue
		}
		left := request.Prompt.Tokens - source.cached
		busy := d.prefillTime(replica, request, left)
		transfer := d.transferTime(source.replica, replica, source.cached-own, estimated.busy-busy)
		if busy+transfer < estimated.busy+estimated.transfer {
			estimated.busy, estimated.transfer, estimated.from, estimated.missing = busy, transfer, source.replica, left
		}
	}
	return estimated
}

// missing returns the tokens of a prompt that a replica is expected to prefill. The caller must hold
// d.mutex.
func (d *Directory) missing(replica *Replica, prompt *Prompt) int {
	if d.disabled[mechanism.PrefixAffinity] {
		return prompt.Tokens
	}
	return replica.prefixes.uncachedTokens(prompt)
}

// prefixSource is a replica that has the prefix of a prompt cached.
type prefixSource struct {
	replica *Replica
	cached  int
}

// prefixSources returns, for each zone, the replica with the longest cached prefix of a prompt that can be
// fetched. The caller must hold d.mutex.
func (d *Directory) prefixSources(service string, prompt *Prompt, now time.Duration) []prefixSource {
	if d.disabled[mechanism.Fetching] {
		return nil
	}
	var best []prefixSource
	for _, replica := range d.services[service] {
		if !replica.canServeFetches(now) {
			continue
		}
		if cached := replica.prefixes.cachedTokens(prompt, now); cached > 0 {
			best = keepLongest(best, prefixSource{replica: replica, cached: cached})
		}
	}
	return best
}

func keepLongest(best []prefixSource, found prefixSource) []prefixSource {
	for index := range best {
		if best[index].replica.Zone == found.replica.Zone {
			if found.cached > best[index].cached {
				best[index] = found
			}
			return best
		}
	}
	return append(best, found)
}
