package relay

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
)

// RateLimit is what a replica's response says of its rate limit.
type RateLimit struct {
	// Declared is set if the response declares a limit, and Unreadable if it declares one that can't be parsed.
	Declared, Unreadable bool
	// Rate is the requests a second that the replica accepts from all gateways together.
	Rate float64
}

// isGiven reports whether the response says anything of a limit.
func (l RateLimit) isGiven() bool { return l.Declared || l.Unreadable }

// ReplicaLimits enforces the limits that replicas declare, across all gateways.
type ReplicaLimits struct {
	// Ask requests a permit to send a request to a replica.
	Ask func(ctx context.Context, asked PermitRequest) Permit
	// Count counts a message that was sent to an incarnation of a replica without a permit.
	Count func(incarnation string)
}

// PermitRequest asks for a permit to send a request to a replica that declares a limit.
type PermitRequest struct {
	// Request is the request ID.
	Request string
	// Life is the replica's incarnation, by Incarnation.Name, and Rate the limit that it declares.
	Life string
	Rate float64
	// Rank is the priority rank of the request's route.
	Rank int
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	Granted bool
	// Wait is the expected time until the replica has capacity, if the permit is not granted.
	Wait time.Duration
	// By names the process that decided.
	By string
	// Return returns an unused permit: the request was not sent, and is not counted.
	Return func()
}

const (
	// limitLogInterval is the minimum time between two log lines about one replica's limit, which may
	// change with every response.
	limitLogInterval = time.Second
	// minimumDenialTime is the minimum time before a permit is requested again for a replica without capacity.
	minimumDenialTime = 5 * time.Millisecond
	// noLimit is the value of Lease.Limit for a replica without a limit, also in log lines.
	noLimit = -1.0
)

// declaredLimit is the limit that a replica declares, as this process knows it, and the ranks that were denied
// under it. It is guarded by the Directory's mutex.
type declaredLimit struct {
	declared bool
	rate     float64
	// deniedUntil is, by rank, the time until which requests are denied.
	deniedUntil [LastRank]time.Duration
	// nextLogAt is when the next line may be logged, and omitted the number of lines skipped since the last.
	nextLogAt time.Duration
	omitted   int
}

// denied reports whether requests of a rank are denied now: a denial of one rank also applies to all lower
// priorities, which have higher rank numbers.
func (l *declaredLimit) denied(rank int, now time.Duration) bool {
	if !l.declared {
		return false
	}
	for each := 0; each <= rank; each++ {
		if now < l.deniedUntil[each] {
			return true
		}
	}
	return false
}

// OnLimit sets a function that is called with what replicas' responses report of their limits. It must be called
// before first use.
func (d *Directory) OnLimit(notify func(report ratelimit.Report)) { d.onLimit = notify }

// NoteLimit records what the replica's response says of a limit. A response without a limit to a request that
// was not run is ignored: a rejection may come from a component that does not declare limits.
func (l *Lease) NoteLimit(limit RateLimit, ran bool) {
	d := l.directory
	if !limit.Unreadable && !limit.Declared && (!ran || d.limited.Load() == 0) {
		return
	}
	report, hasReport := d.noteLimit(l.Replica, limit)
	if hasReport && d.onLimit != nil {
		d.onLimit(report)
	}
}

// noteLimit records what a response says, and returns a limit report for other processes, if there is one.
func (d *Directory) noteLimit(replica *Replica, limit RateLimit) (report ratelimit.Report, hasReport bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if limit.Unreadable {
		d.logLimit(replica, event.LimitUnreadable)
		return report, false
	}
	if next := d.successor(replica); next != nil && next.age() >= 0 {
		replica = next
	}
	if !limit.Declared && !replica.limit.declared {
		return report, false
	}
	report = ratelimit.Report{Replica: replica.name, Declared: limit.Declared, Rate: limit.Rate}
	d.mergeLimit(report, d.clock())
	return report, true
}

// MergeLimits merges the limit reports of another process.
func (d *Directory) MergeLimits(reports []ratelimit.Report) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, report := range reports {
		d.mergeLimit(report, now)
	}
}

// mergeLimit merges a limit report. A changed limit lifts all denials. The caller must hold d.mutex.
func (d *Directory) mergeLimit(report ratelimit.Report, now time.Duration) {
	replica, listed := d.replicas[report.Replica]
	if !listed || !d.limits.Merge(now, report) {
		return
	}
	known := &replica.limit
	if known.declared != report.Declared {
		d.countLimited(report.Declared)
	}
	known.declared, known.rate = report.Declared, report.Rate
	known.deniedUntil = [LastRank]time.Duration{}
	d.logLimit(replica, event.LimitNamed)
}

// logLimit logs a replica's limit, at most one line per limitLogInterval. The caller must hold d.mutex.
func (d *Directory) logLimit(replica *Replica, what event.Event) {
	known, now := &replica.limit, d.clock()
	if now < known.nextLogAt {
		known.omitted++
		return
	}
	d.logger.Info(what, "replica", replica.ID, "named", known.declared, "rate", known.rate, "omitted", known.omitted)
	known.nextLogAt, known.omitted = now+limitLogInterval, 0
}

// countLimited updates the number of replicas with a limit. declared is true after a replica has declared a
// limit, and false after one has dropped its limit or was removed with it.
func (d *Directory) countLimited(declared bool) {
	if declared {
		d.limited.Add(1)
		return
	}
	d.limited.Add(-1)
}

// LimitedCount is the number of replicas that declare a limit, as this process knows it.
func (d *Directory) LimitedCount() int { return int(d.limited.Load()) }

// LimitedReplicasHash is ratelimit.Table.ReplicasHash of what this process knows, 0 if no replica declares a limit.
func (d *Directory) LimitedReplicasHash() uint64 {
	if d.limited.Load() == 0 {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limits.ReplicasHash()
}

// LimitsDropped counts the limit reports that were discarded because the table was full.
func (d *Directory) LimitsDropped() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limits.Dropped
}

// LimitReports returns limit reports of all that this process knows.
func (d *Directory) LimitReports() []ratelimit.Report {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limits.Reports(d.clock())
}

// NoteDenial records that a replica has no capacity for requests of a rank for a time.
func (d *Directory) NoteDenial(incarnation string, rank int, wait time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica, listed := d.replicas[incarnation]; listed && replica.limit.declared {
		replica.limit.deniedUntil[rankOf(rank)] = d.clock() + max(wait, minimumDenialTime)
	}
}

// Limit is the rate that the lease's replica declares, negative if it declares none.
func (l *Lease) Limit() float64 {
	if !l.directory.declaresLimit(l.Replica) {
		return noLimit
	}
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.limit.rate
}

// declaresLimit reports whether a replica declares a limit.
func (d *Directory) declaresLimit(replica *Replica) bool {
	if d.limited.Load() == 0 {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return replica.limit.declared
}

// decodeReplicasLimited reports whether the service has decode replicas that may get a request now, and each of
// them declares a limit.
func (d *Directory) decodeReplicasLimited(service string) bool {
	if d.limited.Load() == 0 {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	limited := false
	for _, replica := range d.candidates(service, Wanted{}, ofStage(region.StageDecode), d.clock()) {
		if !replica.limit.declared {
			return false
		}
		limited = true
	}
	return limited
}

// limitRetryAfter is the Retry-After of a caller whose request no replica of a service has capacity for under
// its limit; zero if none of them declares a limit. Prefill replicas and those that are leaving are left out.
// The retries of rejected callers are spread: they follow each other at this process's share of the sum of all
// limits.
func (d *Directory) limitRetryAfter(service string, rank int) time.Duration {
	if d.limited.Load() == 0 {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	rate, earliest := 0.0, time.Duration(-1)
	for _, replica := range d.services[service] {
		limit := &replica.limit
		if !limit.declared || replica.isLeavingForGood() || replica.removed || replica.Stage == region.StagePrefill {
			continue
		}
		rate += limit.rate
		if wait := limit.denialLeft(rank, now); earliest < 0 || wait < earliest {
			earliest = wait
		}
	}
	if earliest < 0 {
		return 0
	}
	pace := maximumRetryAfter
	if rate > 0 {
		pace = time.Duration(min(float64(d.placerCount())/rate, maximumRetryAfter.Seconds()) * float64(time.Second))
	}
	return d.scheduleRetry(service, now+max(earliest, minimumDenialTime), pace, now+maximumRetryAfter) - now
}

// maximumRetryAfter bounds the Retry-After of a caller that is rejected because of replicas' limits, and, from
// the end of the first backoff on, of one that is rejected because of backoffs.
const maximumRetryAfter = ratelimit.Window

// denialLeft is the time until requests of a rank are no longer denied.
func (l *declaredLimit) denialLeft(rank int, now time.Duration) time.Duration {
	var until time.Duration
	for each := 0; each <= rank; each++ {
		until = max(until, l.deniedUntil[each])
	}
	return max(until-now, 0)
}
