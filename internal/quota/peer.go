package quota

import (
	"slices"
	"time"
)

// Receive takes a message of another coordinator.
func (p *Pool) Receive(now time.Duration, message *PeerMessage) {
	p.refresh(now)
	if p.Mode(now) == ModeHolding {
		// Another holder's part counts there: each would else count the other's.
		if !message.Holding {
			p.receiveAsHolder(now, message)
		}
		return
	}
	if message.From == p.leader && message.Holding {
		p.receiveOfHolder(now, message)
	}
}

// receiveAsHolder counts the sender's part for the time of a lease, and answers its questions.
func (p *Pool) receiveAsHolder(now time.Duration, message *PeerMessage) {
	// The lease begins at a time of this process's own clock that the sender has had since: a
	// message that was held up somewhere attaches nobody.
	until := time.Duration(message.EchoTime) + p.options.Lease
	isMember := slices.Contains(p.members, message.From)
	if isMember && message.EchoLife == p.options.Life && now < until {
		p.noteAttached(now, message.From, until)
	}
	for _, each := range message.Amounts {
		p.Give(now, each)
	}
	reply := PeerMessage{EchoLife: message.Life, EchoTime: message.Time}
	for _, each := range message.Questions {
		reply.Answers = append(reply.Answers, p.answerPeer(now, message.From, each))
	}
	p.send(now, message.From, reply)
}

// noteAttached has a coordinator's part count here until a time.
func (p *Pool) noteAttached(now time.Duration, from string, until time.Duration) {
	before, known := p.attached[from]
	if !known || now >= before.until {
		before = attachment{since: now}
	}
	p.attached[from] = attachment{since: before.since, until: max(before.until, until)}
	p.refresh(now)
}

// answerPeer decides a question of an attached pool, once.
func (p *Pool) answerPeer(now time.Duration, from string, q Question) Answer {
	if answer, known := p.answered.begin(now, asker{from, q.ID}); known && answer != nil {
		return *answer
	}
	answer := p.answerUnknown(q)
	if limited := p.buckets[q.Account]; limited != nil {
		answer = p.decideHere(now, limited, q)
	}
	p.answered.end(asker{from, q.ID}, answer)
	return answer
}

// receiveOfHolder takes the holder's answers, and its lease.
func (p *Pool) receiveOfHolder(now time.Duration, message *PeerMessage) {
	if message.EchoLife == p.options.Life {
		p.acknowledge(message.EchoTime)
	}
	if p.isNews(message) {
		p.attach(now, message)
	}
	for _, each := range message.Answers {
		p.takeAnswer(now, each)
	}
}

// boundDebts forgets what a bucket owes beyond its debt: it was let through by the even rate, which
// the holder's empty buckets make up for.
func (p *Pool) boundDebts() {
	for tenant, each := range p.buckets {
		each.level = max(each.level, -p.share(tenant).debt)
	}
}

// isNews reports whether a message of the holder is newer than all before.
func (p *Pool) isNews(message *PeerMessage) bool {
	if p.holder != message.From || p.holderLife != message.Life {
		return p.holder != message.From || p.holderLife < message.Life
	}
	return p.holderTime < message.Time
}

// attach notes that the holder has answered. From the first answer on the part counts there, and
// what has counted here is handed in at once.
func (p *Pool) attach(now time.Duration, message *PeerMessage) {
	attached := p.Mode(now) == ModeAttached
	if !attached {
		p.settle(now)
		p.boundDebts()
		p.handing = append(p.handing, p.takeLevels()...)
		p.beatAt = now
	}
	p.holder, p.holderLife, p.holderTime = message.From, message.Life, message.Time
	p.freeFrom = now + p.options.Lease
	p.refresh(now)
}

// takeAnswer takes the holder's decision on a question. One that comes too late was decided here
// meanwhile: what it charged is given back.
func (p *Pool) takeAnswer(now time.Duration, answer Answer) {
	if asked, found := p.waiting[answer.ID]; found {
		delete(p.waiting, answer.ID)
		p.answer(now, asked.from, asked.question, answer)
		return
	}
	if late, found := p.late[answer.ID]; found && answer.Admitted {
		delete(p.late, answer.ID)
		p.Give(now, late.amount)
	}
}

// Tick does what is due: it decides what the holder has not answered in time, and sends.
func (p *Pool) Tick(now time.Duration) {
	p.refresh(now)
	if p.Mode(now) != ModeAttached && len(p.handed) > 0 {
		p.takeBack()
	}
	p.decideOverdue(now)
	for id, each := range p.late {
		if now >= each.until {
			delete(p.late, id)
		}
	}
	if !p.mayTell(now) {
		return
	}
	if now >= p.beatAt || len(p.asking) > 0 && now >= p.flushAt {
		p.tellHolder(now)
	}
}

// mayTell reports whether there is a holder to tell. While the part may count at the one before,
// another one is told nothing: it would count there too.
func (p *Pool) mayTell(now time.Duration) bool {
	if len(p.limits) == 0 || p.leader == "" || p.leader == p.options.Address {
		return false
	}
	return p.holder == p.leader || now >= p.freeFrom
}

// acknowledge notes that the holder counts the debts of a message.
func (p *Pool) acknowledge(sentAt int64) {
	for _, each := range p.handed[sentAt] {
		if counted := p.buckets[each.Account]; counted != nil {
			counted.handed = min(counted.handed-each.Units, 0)
		}
	}
	delete(p.handed, sentAt)
	p.takeBackBefore(sentAt - int64(p.holderWait()))
}

// takeBackBefore counts the debts of messages here again that were sent before a time: the holder
// has acknowledged a later one, so that they, or their acknowledgements, are lost. They are handed
// in anew; a debt that counts twice has less admitted, and not more.
func (p *Pool) takeBackBefore(sentAt int64) {
	for sent, amounts := range p.handed {
		if sent >= sentAt {
			continue
		}
		for _, each := range amounts {
			if counted := p.buckets[each.Account]; counted != nil {
				counted.level += each.Units
				counted.handed = min(counted.handed-each.Units, 0)
			}
		}
		delete(p.handed, sent)
	}
}

// takeBack counts debts here that the holder has not acknowledged: it may have gone.
func (p *Pool) takeBack() {
	for _, each := range p.buckets {
		each.level += each.handed
		each.handed = 0
	}
	clear(p.handed)
}

// decideOverdue decides the questions that the holder has not answered.
func (p *Pool) decideOverdue(now time.Duration) {
	for id, asked := range p.waiting {
		if now < asked.until && p.Mode(now) == ModeAttached {
			if asked.againAt > 0 && now >= asked.againAt {
				asked.againAt = 0
				p.waiting[id] = asked
				p.askHolder(now, id, asked.question)
			}
			continue
		}
		delete(p.waiting, id)
		p.asking = slices.DeleteFunc(p.asking, func(q Question) bool { return q.ID == id })
		p.late[id] = lateQuestion{
			amount: Amount{Account: asked.question.Account, Units: asked.question.Units},
			until:  now + p.options.Lease,
		}
		p.answerForHolder(now, asked)
	}
}

// tellHolder sends the holder what it is to know, in as many messages as it takes.
func (p *Pool) tellHolder(now time.Duration) {
	p.beatAt = now + time.Duration(beatShare*float64(p.options.Lease))
	amounts := p.handIn(now)
	for {
		message := PeerMessage{Amounts: cutBatch(&amounts), Questions: cutBatch(&p.asking)}
		if p.holder == p.leader {
			message.EchoLife, message.EchoTime = p.holderLife, p.holderTime
		}
		p.send(now, p.leader, message)
		p.noteHanded(message.Amounts)
		if len(amounts) == 0 && len(p.asking) == 0 {
			return
		}
	}
}

// noteHanded keeps the debts of the last message until they are acknowledged.
func (p *Pool) noteHanded(amounts []Amount) {
	for _, each := range amounts {
		if counted := p.buckets[each.Account]; counted != nil && each.Units < 0 {
			counted.handed += each.Units
			p.handed[p.sentAt] = append(p.handed[p.sentAt], each)
		}
	}
}

// handIn takes what an attached pool has: the holder counts it.
func (p *Pool) handIn(now time.Duration) []Amount {
	if p.Mode(now) != ModeAttached {
		return nil
	}
	amounts := append(p.handing, p.takeLevels()...)
	p.handing = nil
	return amounts
}

// takeLevels empties all buckets.
func (p *Pool) takeLevels() []Amount {
	var amounts []Amount
	for tenant, each := range p.buckets {
		if each.level != 0 {
			amounts = append(amounts, Amount{Account: tenant, Units: each.level})
			each.level, each.even = 0, 0
		}
	}
	return amounts
}

// cutBatch takes the first part of a list that a message holds.
func cutBatch[T any](list *[]T) []T {
	count := min(len(*list), maximumBatch)
	batch := (*list)[:count:count]
	*list = (*list)[count:]
	return batch
}

func (p *Pool) send(now time.Duration, to string, message PeerMessage) {
	message.From = p.options.Address
	message.Holding = p.Mode(now) == ModeHolding
	message.Life = p.options.Life
	p.sentAt = max(int64(now), p.sentAt+1)
	message.Time = p.sentAt
	p.output.Messages = append(p.output.Messages, message)
	p.output.To = append(p.output.To, to)
}

// Ready takes what is to be sent.
func (p *Pool) Ready() Output {
	ready := p.output
	p.output = Output{}
	return ready
}

// Due is when Tick is to be called next, as of a time.
func (p *Pool) Due(now time.Duration) time.Duration {
	due := now + time.Duration(beatShare*float64(p.options.Lease))
	if p.mayTell(now) {
		due = min(due, p.beatAt)
	}
	if len(p.asking) > 0 {
		due = min(due, p.flushAt)
	}
	for _, asked := range p.waiting {
		due = min(due, asked.until)
		if asked.againAt > 0 {
			due = min(due, asked.againAt)
		}
	}
	return due
}
