package replicalist

import "time"

// Pace is how fast the list is read.
type Pace struct {
	// CallsPerSecond bounds the calls of this process; 0 for no bound.
	CallsPerSecond float64
	// Interval is the time from the start of a round to that of the next one.
	Interval time.Duration
	// Bound is the time within which a round should be whole; 0 for no bound.
	Bound time.Duration
}

const (
	// firstRetryShare and lastRetryShare of the interval are the least and the longest pause before a page is called for
	// again; it doubles with each failure.
	firstRetryShare = 1.0 / 64
	lastRetryShare  = 1.0 / 2
	// minimumTimeoutShare and maximumTimeoutShares of the interval bound the time for which an answer is awaited. It doubles
	// with every other failure, so that a platform that is slow is read in the end.
	minimumTimeoutShare  = 1.0 / 8
	maximumTimeoutShares = 4
	// spacingDecay is the factor by which the time between calls falls with each page that is read, after it was doubled by a
	// refusal.
	spacingDecay = 0.95
	// timeoutFactor is the ratio of that time to the longest recent time for a page, which decays by pageTimeDecay with each page.
	timeoutFactor = 4
	pageTimeDecay = 0.95
	// maximumPageFailures is the number of failures in a row after which a page is passed over, so that it does not hide those
	// that follow it, or the round begins anew if it is not known which one follows.
	maximumPageFailures = 4
)

// Round is the progress of one round.
type Round struct {
	StartedAt time.Duration
	// Pages were read and Skipped passed over. Refused calls were rejected by the platform, or held back until it wants to
	// be called again; Failed ones got no page.
	Pages, Skipped, Refused, Failed int
	// Abandoned says that the round was given up before its last page.
	Abandoned bool
	// Late is by how much a whole round ended after the bound, 0 if it did not.
	Late time.Duration
}

// Whole reports whether all pages of a round that has ended were read.
func (r *Round) Whole() bool { return r.Skipped == 0 && !r.Abandoned }

// Rounds decides which page to read next, and when. Times are by the caller's clock.
type Rounds struct {
	pace  Pace
	round Round
	// token names the page to read next; failures are those of it in a row.
	token    string
	failures int
	// calledAt is when the last call was made, and callAt the earliest time of the next one.
	calledAt, callAt time.Duration
	// spacing is the time between calls that refusals have led to, 0 for none.
	spacing time.Duration
	// pageTime is the longest recent time for a page, 0 before the first.
	pageTime time.Duration
	// following are the tokens that followed each page when it was last read.
	following map[string]string
	// lastPages is the number of pages of the last round, 0 if there was none.
	lastPages int
	// skippedBefore is set if the page before was passed over.
	skippedBefore bool
	// wholeDueAt is when a round has to be whole: Bound after the start of the first one since the last whole one.
	// overdueAt is from when on Overdue says that it is not.
	wholeDueAt, overdueAt time.Duration
}

// NewRounds returns Rounds whose first one begins now.
func NewRounds(pace Pace, now time.Duration) *Rounds {
	due := now + pace.Bound
	return &Rounds{pace: pace, following: map[string]string{}, round: Round{StartedAt: now}, callAt: now, wholeDueAt: due, overdueAt: due}
}

// Round returns the progress of the round.
func (r *Rounds) Round() Round { return r.round }

// SetPace changes the pace.
func (r *Rounds) SetPace(pace Pace) { r.pace = pace }

// Next returns the token of the page to read next, empty for the first one, and the earliest time to do so. The pages of
// a round are spread, over the interval at most, except in the first round: whoever reads them has other work.
func (r *Rounds) Next() (token string, at time.Duration) {
	return r.token, max(r.callAt, r.round.StartedAt+r.offset(r.round.Pages+r.round.Skipped))
}

// offset returns the time after the start of the round at which a page, by its number, is due.
func (r *Rounds) offset(number int) time.Duration {
	if r.lastPages == 0 {
		return 0
	}
	return time.Duration(min(number, r.lastPages)) * min(r.pace.Interval/time.Duration(r.lastPages), pageTimes*r.pageTime)
}

// pageTimes is the number of times that a page takes which pass from one to the next if the interval allows it.
const pageTimes = 3

// Call records that the page is called for. It returns the time for which to await the answer.
func (r *Rounds) Call(now time.Duration) (timeout time.Duration) {
	spacing := r.spacing
	if r.pace.CallsPerSecond > 0 {
		spacing = max(spacing, time.Duration(float64(time.Second)/r.pace.CallsPerSecond))
	}
	r.calledAt, r.callAt = now, now+spacing
	timeout = r.pace.Interval
	if r.pageTime > 0 {
		timeout = max(timeoutFactor*r.pageTime, r.share(minimumTimeoutShare))
	}
	return min(timeout<<min(r.failures/2, maximumDoublings), r.share(maximumTimeoutShares))
}

// maximumDoublings is more than any bound allows.
const maximumDoublings = 8

func (r *Rounds) share(of float64) time.Duration { return time.Duration(of * float64(r.pace.Interval)) }

// Read records that the page was read, and which one follows it, empty if none. It returns the round if that was its last
// page; the next round has then begun.
func (r *Rounds) Read(now time.Duration, next string) (ended *Round) {
	r.pageTime = max(now-r.calledAt, time.Duration(pageTimeDecay*float64(r.pageTime)))
	r.spacing = time.Duration(spacingDecay * float64(r.spacing))
	r.round.Pages++
	r.following[r.token] = next
	r.skippedBefore = false
	return r.proceed(now, next)
}

// Refuse records that the platform has rejected the call, or wants none yet.
func (r *Rounds) Refuse(now time.Duration) {
	r.round.Refused++
	r.spacing = min(max(2*r.spacing, r.share(firstRetryShare)), r.share(lastRetryShare))
	r.callAt = max(r.callAt, now+r.spacing)
}

// Retry has the page read again, since what it shows could not be taken.
func (r *Rounds) Retry(now time.Duration) { r.callAt = max(r.callAt, now+r.share(firstRetryShare)) }

// Fail records that the call has brought no page. It returns the round if it ends with that.
func (r *Rounds) Fail(now time.Duration) (ended *Round) {
	r.round.Failed++
	pause := min(r.share(firstRetryShare)<<min(r.failures, maximumDoublings), r.share(lastRetryShare))
	r.callAt = max(r.callAt, now+pause)
	r.failures++
	if r.failures < maximumPageFailures || r.skippedBefore {
		return nil
	}
	if next, known := r.following[r.token]; known {
		r.round.Skipped++
		r.skippedBefore = true
		return r.proceed(now, next)
	}
	if r.token == "" {
		return nil
	}
	// The page may no longer exist.
	clear(r.following)
	return r.GiveUp(now)
}

// GiveUp gives the round up, and returns it. The next one begins with the next call.
func (r *Rounds) GiveUp(now time.Duration) (ended *Round) {
	r.round.Abandoned = true
	return r.begin(now)
}

// Failing reports whether the page has failed so often that the list counts as out of reach.
func (r *Rounds) Failing() bool { return r.failures >= maximumPageFailures }

// proceed goes on to the page that follows, or to the next round.
func (r *Rounds) proceed(now time.Duration, next string) (ended *Round) {
	r.failures = 0
	if next != "" {
		r.token = next
		return nil
	}
	r.lastPages = r.round.Pages + r.round.Skipped
	return r.begin(now)
}

// begin begins the next round, and returns the one before.
func (r *Rounds) begin(now time.Duration) (ended *Round) {
	before := r.round
	startAt := now
	if !before.Abandoned {
		startAt = max(now, before.StartedAt+r.pace.Interval)
	}
	if before.Whole() && r.pace.Bound > 0 {
		before.Late = max(now-r.wholeDueAt, 0)
		r.wholeDueAt = startAt + r.pace.Bound
		r.overdueAt = r.wholeDueAt
	}
	r.round = Round{StartedAt: startAt}
	r.token, r.failures, r.skippedBefore = "", 0, false
	return &before
}

// Overdue returns by how much a whole round is late, once for each Bound that it is, else 0.
func (r *Rounds) Overdue(now time.Duration) time.Duration {
	if r.pace.Bound <= 0 || now <= r.overdueAt {
		return 0
	}
	r.overdueAt = now + r.pace.Bound
	return now - r.wholeDueAt
}
