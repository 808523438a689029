package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
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
	// Rank is the route's; replicas read the prompts of lower ones first.
	Rank int
	// Tenant stands for the caller's tenant, 0 for none.
	Tenant uint64
	// Zone is that of the gateway which has the request.
	Zone string
	// Excluded are replicas that must not be chosen; Unlimited excludes all that name a limit.
	Excluded  []*Replica
	Unlimited bool
}

// wanted says which replicas may get the request.
func (r *ReadRequest) wanted() Wanted {
	return Wanted{Rank: r.Rank, Excluded: r.Excluded, Unlimited: r.Unlimited}
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
	// cross is what the ways to another region take.
	cross time.Duration
	// from is the replica to fetch a prefix from, nil if there is none.
	from *Replica
	// missing are the tokens to be read.
	missing int
}

// total is the time until the prompt has been read, and is known to have been.
func (e *readEstimate) total() time.Duration { return e.reading() + e.cross }

// reading is the time until the replica has read the prompt.
func (e *readEstimate) reading() time.Duration { return e.wait + e.move + e.busy }

// estimate is how long a replica takes to read a prompt of an urgency. It is called
// with the mutex held.
func (d *Directory) estimate(replica *Replica, request ReadRequest, urgency Urgency, sources []keeper, now time.Duration) readEstimate {
	missing := d.missing(replica, request.Prompt)
	estimated := readEstimate{
		replica: replica,
		wait:    d.waitBefore(replica, urgency, request, now),
		busy:    d.busyTime(replica, request, missing),
		missing: missing,
		cross:   d.crossingTime(request.Zone, replica, now),
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
