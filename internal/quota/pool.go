package quota

import (
	"slices"
	"time"
)

const (
	// beatShare of a lease is the pause between two messages to the holder: four may be lost in a
	// row before the lease ends.
	beatShare = 0.2
	// holderWaitShare of a lease is how long the holder is waited for. What it costs a caller when
	// a leader has just gone has to be small against any objective.
	holderWaitShare = 0.125
	// batchPause is how long questions wait for others to go with them to the holder: far less
	// than a request takes at a replica, and a bound on the messages.
	batchPause = 2 * time.Millisecond
	// maximumBatch bounds the questions, answers and amounts of a message, so that it stays below
	// datagram.MaximumBytes with names of usual length.
	maximumBatch = 50
	// maximumWaiting bounds the questions that wait for the holder: three times what one of 20
	// coordinators is asked in 60 ms at 60,000 requests a second. Further ones are decided as if the
	// holder were silent.
	maximumWaiting = 600
)

// Options are what a Pool is made from.
type Options struct {
	// Address is the coordinator's, and Life the start of its process.
	Address string
	Life    int64
	// Lease is for how long a part counts at the holder after its last message.
	Lease time.Duration
	Terms Terms
}

// Pool is a coordinator's count of what tenants use. Its methods take the time on one clock that
// never goes back and counts suspensions. What is to be sent is taken by Ready.
type Pool struct {
	options Options
	limits  map[string]Limit
	buckets map[string]*bucket
	members []string
	leader  string

	// freeFrom is when no other pool counts this coordinator's part any more.
	freeFrom time.Duration
	// holder is the one that answered last, in the life holderLife at its time holderTime.
	holder     string
	holderLife int64
	holderTime int64
	// attached are the coordinators whose parts count here; ownSince is since when the own part does,
	// meaningful if hasOwn is set.
	attached map[string]attachment
	hasOwn   bool
	ownSince time.Duration
	// parts are those that count here, as of the last refresh.
	parts countedParts

	beatAt  time.Duration
	flushAt time.Duration
	// handing is what the pool had when it attached, to be handed in; handed are the debts of
	// messages that the holder has not acknowledged, by the messages' times.
	handing []Amount
	handed  map[int64][]Amount
	// sentAt is the Time of the last message.
	sentAt int64
	lastID uint64
	// waiting are the questions that the holder has been asked, and asking those to be sent.
	waiting map[uint64]waitingQuestion
	asking  []Question
	// late are questions that were decided here since the holder did not answer in time.
	late map[uint64]lateQuestion
	// answered are the questions of gateways, and at the holder those of coordinators.
	answered *memory
	output   Output
}

// attachment is a time for which a coordinator's part counts at the holder.
type attachment struct {
	since, until time.Duration
}

// waitingQuestion is a gateway's question that was passed on to the holder.
type waitingQuestion struct {
	from     string
	question Question
	until    time.Duration
	// againAt is when the holder is asked once more, 0 once it has been.
	againAt time.Duration
}

// lateQuestion is one whose answer comes to nothing.
type lateQuestion struct {
	amount Amount
	until  time.Duration
}

// Output is what a pool has decided and wants to be sent.
type Output struct {
	Decisions []Decision
	Messages  []PeerMessage
	// To are the receivers of Messages, one each.
	To []string
	// Modes are the changes of the pool's mode, oldest first.
	Modes []ModeChange
}

// Decision is the answer to a question of a gateway.
type Decision struct {
	From     string
	Question Question
	Answer   Answer
	Mode     Mode
	// Silent says that the holder was to decide and did not answer in time.
	Silent bool
	// Again says that the question has come again, and gets the answer that it had.
	Again bool
}

// ModeChange says that the pool decides in another way.
type ModeChange struct {
	Mode   Mode
	Parts  int
	Of     int
	Holder string
}

// NewPool returns the pool of a process that begins now, with empty buckets: what an earlier
// process had counted is not known, and the part may count elsewhere for the time of a lease.
func NewPool(now time.Duration, options Options) *Pool {
	return &Pool{
		options:  options,
		limits:   map[string]Limit{},
		buckets:  map[string]*bucket{},
		freeFrom: now + options.Lease,
		attached: map[string]attachment{},
		waiting:  map[uint64]waitingQuestion{},
		late:     map[uint64]lateQuestion{},
		handed:   map[int64][]Amount{},
		// Names of an earlier process's questions are never used again.
		lastID:   uint64(options.Life),
		answered: newMemory(options.Lease),
	}
}

// SetLimits takes the limits of a configuration over, by tenant. Tenants without one are not
// counted.
func (p *Pool) SetLimits(now time.Duration, limits map[string]Limit) {
	p.refresh(now)
	p.settle(now)
	p.limits = limits
	for tenant := range p.buckets {
		if _, limited := limits[tenant]; !limited {
			delete(p.buckets, tenant)
		}
	}
	for tenant, limit := range limits {
		if known := p.buckets[tenant]; known != nil {
			known.limit = limit
			known.cut(p.share(tenant))
			continue
		}
		p.buckets[tenant] = &bucket{limit: limit, at: now}
	}
}

// SetLimit sets the limit of one account, and RemoveLimit ends it. A pool is used with these or with
// SetLimits.
func (p *Pool) SetLimit(now time.Duration, account string, limit Limit) {
	p.refresh(now)
	known := p.buckets[account]
	if known == nil {
		known = &bucket{at: now}
		p.buckets[account] = known
	}
	known.refill(now, p.share(account))
	p.limits[account] = limit
	known.limit = limit
	known.cut(p.share(account))
}

// RemoveLimit ends the limit of an account: it is not counted any more.
func (p *Pool) RemoveLimit(account string) {
	delete(p.limits, account)
	delete(p.buckets, account)
}

// SetGroup says who leads the group of coordinators, empty if nobody is known to, and who its
// members are.
func (p *Pool) SetGroup(now time.Duration, leader string, members []string) {
	if leader == p.leader && slices.Equal(members, p.members) {
		return
	}
	p.refresh(now)
	p.settle(now)
	if leader != p.leader {
		p.beatAt = now
		clear(p.attached)
	}
	p.leader, p.members = leader, slices.Clone(members)
	p.refresh(now)
	// The parts may be as many as before, of another number of members.
	p.settle(now)
}

// Ask takes a gateway's question. A coordinator that does not know the group yet answers nothing:
// it can't tell its part, and the gateway asks another one.
func (p *Pool) Ask(now time.Duration, from string, q Question) {
	if len(p.members) == 0 {
		return
	}
	p.refresh(now)
	if answer, known := p.answered.begin(now, asker{from, q.ID}); known {
		if answer != nil {
			p.output.Decisions = append(p.output.Decisions, Decision{From: from, Question: q, Answer: *answer, Mode: p.Mode(now), Again: true})
		}
		return
	}
	limited := p.buckets[q.Account]
	switch {
	case limited == nil:
		p.answer(now, from, q, p.answerUnknown(q))
	case p.Mode(now) == ModeAttached && len(p.waiting) < maximumWaiting:
		p.passOn(now, from, q)
	default:
		p.answer(now, from, q, p.decideHere(now, limited, q))
	}
}

// answerForHolder decides a question that the holder was to decide.
func (p *Pool) answerForHolder(now time.Duration, asked waitingQuestion) {
	answer := p.answerUnknown(asked.question)
	if limited := p.buckets[asked.question.Account]; limited != nil {
		answer = p.decideHere(now, limited, asked.question)
		answer.Unsure = !answer.Admitted
	}
	p.answer(now, asked.from, asked.question, answer)
	p.output.Decisions[len(p.output.Decisions)-1].Silent = true
}

// answerUnknown is the answer on an account without a limit. Where limits are strict who asks knows of
// one that has not been heard of here yet: to let it through would let through all that are asked about
// until then.
func (p *Pool) answerUnknown(q Question) Answer {
	if p.options.Terms.Strict {
		return Answer{ID: q.ID, WaitMicros: p.options.Lease.Microseconds()}
	}
	return Answer{ID: q.ID, Admitted: true}
}

// decideHere decides with what this pool has.
func (p *Pool) decideHere(now time.Duration, limited *bucket, q Question) Answer {
	if p.parts.all == 0 {
		// A debt counts here until it is known to count at the holder: else each message that is
		// lost would let the pool use up its part of the tolerance again.
		silent := p.silentShareOf(q.Account)
		silent.owed = limited.handed
		return limited.decide(now, q, silent)
	}
	return limited.decide(now, q, p.share(q.Account))
}

func (p *Pool) answer(now time.Duration, from string, q Question, answer Answer) {
	answer.ID = q.ID
	p.answered.end(asker{from, q.ID}, answer)
	p.output.Decisions = append(p.output.Decisions, Decision{From: from, Question: q, Answer: answer, Mode: p.Mode(now)})
}

// passOn has the holder asked.
func (p *Pool) passOn(now time.Duration, from string, q Question) {
	p.lastID++
	wait := p.holderWait()
	p.waiting[p.lastID] = waitingQuestion{from: from, question: q, until: now + wait, againAt: now + wait/2}
	p.askHolder(now, p.lastID, q)
}

// askHolder has a question sent with the next message, under the pool's own name for it.
func (p *Pool) askHolder(now time.Duration, id uint64, q Question) {
	if len(p.asking) == 0 {
		p.flushAt = now + batchPause
	}
	q.ID = id
	p.asking = append(p.asking, q)
}

func (p *Pool) holderWait() time.Duration {
	return time.Duration(holderWaitShare * float64(p.options.Lease))
}

// Give takes units back that were charged, or charges some that were not if they are negative.
func (p *Pool) Give(now time.Duration, amount Amount) {
	p.refresh(now)
	limited := p.buckets[amount.Account]
	if limited == nil {
		return
	}
	held := p.share(amount.Account)
	limited.refill(now, held)
	limited.level += amount.Units
	limited.even += amount.Units
	// What comes back to an attached pool waits here for its next message to the holder.
	held.parts = max(held.parts, 1/float64(max(len(p.members), 1)))
	limited.cut(held)
}
