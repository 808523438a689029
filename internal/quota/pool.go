package quota

import (
	"slices"
	"time"
)

const (
	// heartbeatFraction of a lease is the interval between messages to the holder: four in a row may
	// be lost before the lease ends.
	heartbeatFraction = 0.2
	// holderWaitFraction of a lease is the timeout of queries to the holder. The delay that it causes
	// for a caller when a leader has just stopped has to be small compared with any objective.
	holderWaitFraction = 0.125
	// batchDelay is how long queries wait to be batched with others to the holder: far less than a
	// request takes at a replica, and a bound on the number of messages.
	batchDelay = 2 * time.Millisecond
	// maximumBatch bounds the queries, answers and amounts of a message, so that it stays below
	// datagram.MaximumBytes with names of usual length.
	maximumBatch = 50
	// maximumPending bounds the queries that wait for the holder: three times what one of 20
	// coordinators is asked in 60 ms at 60,000 requests a second. Further ones are decided as if the
	// holder had not answered in time.
	maximumPending = 600
)

// Options configure a Pool.
type Options struct {
	// Address is the coordinator's, and Incarnation the start time of its process.
	Address     string
	Incarnation int64
	// Lease is for how long a share counts at the holder after the sender's last message.
	Lease       time.Duration
	Enforcement Enforcement
}

// Pool is a coordinator's count of what tenants use. Its methods take the time on one clock that is
// monotonic and includes time for which the machine was suspended. Ready returns what is to be sent.
type Pool struct {
	options Options
	limits  map[string]Limit
	buckets map[string]*bucket
	members []string
	leader  string

	// leaseEnd is when no other pool counts this coordinator's share any more.
	leaseEnd time.Duration
	// holder is the one that answered last, in its incarnation holderIncarnation at its time
	// holderTime.
	holder            string
	holderIncarnation int64
	holderTime        int64
	// attached are the coordinators whose shares count here. ownSince is since when the own share
	// counts here, valid only if countsOwn is set.
	attached  map[string]attachment
	countsOwn bool
	ownSince  time.Duration
	// shares are those that count here, as of the last updateShares.
	shares shareCount

	heartbeatAt time.Duration
	flushAt     time.Duration
	// unsentAmounts are the levels that the pool had when it attached, to be sent to the holder.
	// unacknowledged are the debts of messages that the holder has not acknowledged, by the
	// messages' Time.
	unsentAmounts  []Amount
	unacknowledged map[int64][]Amount
	// sentAt is the Time of the last message.
	sentAt int64
	lastID uint64
	// pending are the queries that are waiting for the holder's answer, and outgoing those to be sent.
	pending  map[uint64]pendingQuery
	outgoing []Query
	// timedOut are queries that were decided here because the holder did not answer in time.
	timedOut map[uint64]timedOutQuery
	// answers are those to queries of gateways, and at the holder also to those of coordinators.
	answers *answerCache
	output  Output
}

// attachment is the time for which a coordinator's share counts at the holder.
type attachment struct {
	since, until time.Duration
}

// pendingQuery is a gateway's query that was forwarded to the holder.
type pendingQuery struct {
	from  string
	query Query
	until time.Duration
	// resendAt is when the query is sent to the holder once more, 0 once it has been.
	resendAt time.Duration
}

// timedOutQuery is a query whose answer is no longer used. If the holder has admitted it, amount is
// returned.
type timedOutQuery struct {
	amount Amount
	until  time.Duration
}

// Output is what a pool has decided and the messages to send.
type Output struct {
	Decisions []Decision
	Messages  []PeerMessage
	// Recipients are the recipients of Messages, one each.
	Recipients []string
	// ShareChanges are the changes of the number of shares that count here, oldest first.
	ShareChanges []ShareChange
}

// Decision is the answer to a gateway's query.
type Decision struct {
	From   string
	Query  Query
	Answer Answer
	Mode   Mode
	// HolderTimedOut means that the holder was to decide and did not answer in time.
	HolderTimedOut bool
	// Repeated means that the query was received before, and gets the same answer.
	Repeated bool
}

// ShareChange reports that the number of shares that count here has changed.
type ShareChange struct {
	Mode    Mode
	Shares  int
	Members int
	Holder  string
}

// NewPool returns the pool of a process that begins now. Each bucket is created with its limit, and
// starts at level 0: what an earlier process had counted is not known. The process's own share does not
// count here for the time of a lease, in which it may still count elsewhere.
func NewPool(now time.Duration, options Options) *Pool {
	return &Pool{
		options:        options,
		limits:         map[string]Limit{},
		buckets:        map[string]*bucket{},
		leaseEnd:       now + options.Lease,
		attached:       map[string]attachment{},
		pending:        map[uint64]pendingQuery{},
		timedOut:       map[uint64]timedOutQuery{},
		unacknowledged: map[int64][]Amount{},
		// IDs of an earlier process's queries are never used again.
		lastID:  uint64(options.Incarnation),
		answers: newAnswerCache(options.Lease),
	}
}

// SetLimits replaces all limits by those of a configuration, by tenant. Tenants without a limit are
// not counted.
func (p *Pool) SetLimits(now time.Duration, limits map[string]Limit) {
	p.updateShares(now)
	p.refillAll(now)
	p.limits = limits
	for tenant := range p.buckets {
		if _, limited := limits[tenant]; !limited {
			delete(p.buckets, tenant)
		}
	}
	for tenant, limit := range limits {
		if b := p.buckets[tenant]; b != nil {
			b.limit = limit
			b.clamp(p.allowance(tenant))
			continue
		}
		p.buckets[tenant] = &bucket{limit: limit, updatedAt: now}
	}
}

// SetLimit sets the limit of one account, and RemoveLimit removes it. A pool is used either with these
// or with SetLimits.
func (p *Pool) SetLimit(now time.Duration, account string, limit Limit) {
	p.updateShares(now)
	b := p.buckets[account]
	if b == nil {
		b = &bucket{updatedAt: now}
		p.buckets[account] = b
	}
	b.refill(now, p.allowance(account))
	p.limits[account] = limit
	b.limit = limit
	b.clamp(p.allowance(account))
}

// RemoveLimit removes the limit of an account, which is no longer counted.
func (p *Pool) RemoveLimit(account string) {
	delete(p.limits, account)
	delete(p.buckets, account)
}

// SetGroup sets the leader of the group of coordinators, empty if none is known, and its members.
func (p *Pool) SetGroup(now time.Duration, leader string, members []string) {
	if leader == p.leader && slices.Equal(members, p.members) {
		return
	}
	p.updateShares(now)
	p.refillAll(now)
	if leader != p.leader {
		p.heartbeatAt = now
		clear(p.attached)
	}
	p.leader, p.members = leader, slices.Clone(members)
	p.updateShares(now)
	// The number of shares may be the same as before while the number of members has changed.
	p.refillAll(now)
}

// HandleQuery handles a gateway's query. A coordinator that does not know the group yet gives no
// answer: it does not know its share, and the gateway asks another one.
func (p *Pool) HandleQuery(now time.Duration, from string, q Query) {
	if len(p.members) == 0 {
		return
	}
	p.updateShares(now)
	if answer, known := p.answers.reserve(now, queryKey{from, q.ID}); known {
		if answer != nil {
			p.output.Decisions = append(p.output.Decisions, Decision{From: from, Query: q, Answer: *answer, Mode: p.Mode(now), Repeated: true})
		}
		return
	}
	b := p.buckets[q.Account]
	switch {
	case b == nil:
		p.respond(now, from, q, p.answerWithoutLimit(q))
	case p.Mode(now) == ModeAttached && len(p.pending) < maximumPending:
		p.forward(now, from, q)
	default:
		p.respond(now, from, q, p.decideFromBucket(now, b, q))
	}
}

// decideForHolder decides a query that the holder was to decide.
func (p *Pool) decideForHolder(now time.Duration, forwarded pendingQuery) {
	answer := p.answerWithoutLimit(forwarded.query)
	if b := p.buckets[forwarded.query.Account]; b != nil {
		answer = p.decideFromBucket(now, b, forwarded.query)
		answer.Unsure = !answer.Admitted
	}
	p.respond(now, forwarded.from, forwarded.query, answer)
	p.output.Decisions[len(p.output.Decisions)-1].HolderTimedOut = true
}

// answerWithoutLimit returns the answer for an account without a limit. With strict limits, the sender
// knows of a limit that has not been received here yet: admitting the request would admit all requests
// for the account until then.
func (p *Pool) answerWithoutLimit(q Query) Answer {
	if p.options.Enforcement.Strict {
		return Answer{ID: q.ID, WaitMicros: p.options.Lease.Microseconds()}
	}
	return Answer{ID: q.ID, Admitted: true}
}

// decideFromBucket decides a query from the account's bucket here, with the shares that count here.
// Without any, it may use this pool's part of the tolerance for holder timeouts, less the debts that
// the holder has not acknowledged.
func (p *Pool) decideFromBucket(now time.Duration, b *bucket, q Query) Answer {
	if p.shares.total == 0 {
		// A debt counts here until it is known to count at the holder: otherwise the pool could use
		// up its part of the tolerance again with each message that is lost.
		current := p.holderTimeoutAllowance(q.Account)
		current.unacknowledged = b.unacknowledged
		return b.decide(now, q, current)
	}
	return b.decide(now, q, p.allowance(q.Account))
}

func (p *Pool) respond(now time.Duration, from string, q Query, answer Answer) {
	answer.ID = q.ID
	p.answers.store(queryKey{from, q.ID}, answer)
	p.output.Decisions = append(p.output.Decisions, Decision{From: from, Query: q, Answer: answer, Mode: p.Mode(now)})
}

// forward sends a query on to the holder.
func (p *Pool) forward(now time.Duration, from string, q Query) {
	p.lastID++
	wait := p.holderWait()
	p.pending[p.lastID] = pendingQuery{from: from, query: q, until: now + wait, resendAt: now + wait/2}
	p.enqueueForHolder(now, p.lastID, q)
}

// enqueueForHolder adds a query to the next message, under the pool's own ID for it.
func (p *Pool) enqueueForHolder(now time.Duration, id uint64, q Query) {
	if len(p.outgoing) == 0 {
		p.flushAt = now + batchDelay
	}
	q.ID = id
	p.outgoing = append(p.outgoing, q)
}

func (p *Pool) holderWait() time.Duration {
	return time.Duration(holderWaitFraction * float64(p.options.Lease))
}

// Adjust refunds units that were charged to an account, or charges further ones if they are negative.
// It does nothing for an account without a limit.
func (p *Pool) Adjust(now time.Duration, amount Amount) {
	p.updateShares(now)
	b := p.buckets[amount.Account]
	if b == nil {
		return
	}
	current := p.allowance(amount.Account)
	b.refill(now, current)
	b.level += amount.Units
	b.sustained += amount.Units
	// What is returned to an attached pool waits here for its next message to the holder.
	current.fraction = max(current.fraction, 1/float64(max(len(p.members), 1)))
	b.clamp(current)
}
