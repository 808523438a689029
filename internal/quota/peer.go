package quota

import (
	"slices"
	"time"
)

// Receive handles a message of another coordinator.
func (p *Pool) Receive(now time.Duration, message *PeerMessage) {
	p.updateShares(now)
	if p.Mode(now) == ModeHolding {
		// Another holder's share counts at that holder: otherwise each would count the other's.
		if !message.Holding {
			p.receiveAsHolder(now, message)
		}
		return
	}
	if message.From == p.leader && message.Holding {
		p.receiveFromHolder(now, message)
	}
}

// receiveAsHolder counts the sender's share here until its lease ends, if the sender is a member and
// its message echoes a time of this process that is less than a lease ago. It also books the amounts
// that were sent, and answers the queries.
func (p *Pool) receiveAsHolder(now time.Duration, message *PeerMessage) {
	// The lease begins at a time of this process's own clock that the sender has echoed: a
	// message that was delayed in the network attaches nobody.
	until := time.Duration(message.EchoTime) + p.options.Lease
	isMember := slices.Contains(p.members, message.From)
	if isMember && message.EchoIncarnation == p.options.Incarnation && now < until {
		p.extendLease(now, message.From, until)
	}
	for _, each := range message.Amounts {
		p.Adjust(now, each)
	}
	reply := PeerMessage{EchoIncarnation: message.Incarnation, EchoTime: message.Time}
	for _, each := range message.Queries {
		reply.Answers = append(reply.Answers, p.answerPeer(now, message.From, each))
	}
	p.send(now, message.From, reply)
}

// extendLease counts a coordinator's share here until a time.
func (p *Pool) extendLease(now time.Duration, from string, until time.Duration) {
	previous, known := p.attached[from]
	if !known || now >= previous.until {
		previous = attachment{since: now}
	}
	p.attached[from] = attachment{since: previous.since, until: max(previous.until, until)}
	p.updateShares(now)
}

// answerPeer decides a query of an attached pool, once.
func (p *Pool) answerPeer(now time.Duration, from string, q Query) Answer {
	if answer, known := p.answers.reserve(now, queryKey{from, q.ID}); known && answer != nil {
		return *answer
	}
	answer := p.answerWithoutLimit(q)
	if b := p.buckets[q.Account]; b != nil {
		answer = p.decideFromBucket(now, b, q)
	}
	p.answers.store(queryKey{from, q.ID}, answer)
	return answer
}

// receiveFromHolder handles the holder's answers, and renews the lease.
func (p *Pool) receiveFromHolder(now time.Duration, message *PeerMessage) {
	if message.EchoIncarnation == p.options.Incarnation {
		p.acknowledge(message.EchoTime)
	}
	if p.isNewer(message) {
		p.attach(now, message)
	}
	for _, each := range message.Answers {
		p.receiveAnswer(now, each)
	}
}

// clampDebts drops what a bucket owes beyond its maximum debt: it was admitted by the sustained
// bucket, and the holder's buckets, which begin empty, make up for it.
func (p *Pool) clampDebts() {
	for tenant, each := range p.buckets {
		each.level = max(each.level, -p.allowance(tenant).maximumDebt)
	}
}

// isNewer reports whether a message is from another holder than the one that answered last, or newer
// than all before from that one.
func (p *Pool) isNewer(message *PeerMessage) bool {
	if p.holder != message.From || p.holderIncarnation != message.Incarnation {
		return p.holder != message.From || p.holderIncarnation < message.Incarnation
	}
	return p.holderTime < message.Time
}

// attach records that the holder has answered. From the first answer on the share counts there, and
// what the buckets here contain is to be sent to it at once.
func (p *Pool) attach(now time.Duration, message *PeerMessage) {
	attached := p.Mode(now) == ModeAttached
	if !attached {
		p.refillAll(now)
		p.clampDebts()
		p.unsentAmounts = append(p.unsentAmounts, p.drainBuckets()...)
		p.heartbeatAt = now
	}
	p.holder, p.holderIncarnation, p.holderTime = message.From, message.Incarnation, message.Time
	p.leaseEnd = now + p.options.Lease
	p.updateShares(now)
}

// receiveAnswer handles the holder's decision on a query. If it comes too late, the query has been
// decided here meanwhile, and what the holder charged is returned.
func (p *Pool) receiveAnswer(now time.Duration, answer Answer) {
	if forwarded, found := p.pending[answer.ID]; found {
		delete(p.pending, answer.ID)
		p.respond(now, forwarded.from, forwarded.query, answer)
		return
	}
	if late, found := p.timedOut[answer.ID]; found && answer.Admitted {
		delete(p.timedOut, answer.ID)
		p.Adjust(now, late.amount)
	}
}

// Tick does what is due: it decides queries that the holder has not answered in time, and sends
// messages.
func (p *Pool) Tick(now time.Duration) {
	p.updateShares(now)
	if p.Mode(now) != ModeAttached && len(p.unacknowledged) > 0 {
		p.restoreDebts()
	}
	p.decideOverdue(now)
	for id, each := range p.timedOut {
		if now >= each.until {
			delete(p.timedOut, id)
		}
	}
	if !p.maySendToHolder(now) {
		return
	}
	if now >= p.heartbeatAt || len(p.outgoing) > 0 && now >= p.flushAt {
		p.sendToHolder(now)
	}
}

// maySendToHolder reports whether there is a holder to send to. While the share may still count at
// the previous holder, a new one is sent nothing: the share would count there too.
func (p *Pool) maySendToHolder(now time.Duration) bool {
	if len(p.limits) == 0 || p.leader == "" || p.leader == p.options.Address {
		return false
	}
	return p.holder == p.leader || now >= p.leaseEnd
}

// acknowledge records that the holder counts the debts of the message sent at a time. Unacknowledged
// debts of messages that were sent more than holderWait earlier count here again.
func (p *Pool) acknowledge(sentAt int64) {
	for _, each := range p.unacknowledged[sentAt] {
		if b := p.buckets[each.Account]; b != nil {
			b.unacknowledged = min(b.unacknowledged-each.Units, 0)
		}
	}
	delete(p.unacknowledged, sentAt)
	p.restoreDebtsBefore(sentAt - int64(p.holderWait()))
}

// restoreDebtsBefore counts debts here again whose messages were sent before a time: the holder has
// acknowledged a later message, so that these or their acknowledgements are lost. The debts are sent
// anew; a debt that counts twice causes less to be admitted, not more.
func (p *Pool) restoreDebtsBefore(sentAt int64) {
	for sent, amounts := range p.unacknowledged {
		if sent >= sentAt {
			continue
		}
		for _, each := range amounts {
			if b := p.buckets[each.Account]; b != nil {
				b.level += each.Units
				b.unacknowledged = min(b.unacknowledged-each.Units, 0)
			}
		}
		delete(p.unacknowledged, sent)
	}
}

// restoreDebts counts debts here that the holder has not acknowledged: it may have stopped.
func (p *Pool) restoreDebts() {
	for _, each := range p.buckets {
		each.level += each.unacknowledged
		each.unacknowledged = 0
	}
	clear(p.unacknowledged)
}

// decideOverdue decides the queries here that the holder has not answered in time, or all pending ones
// if the pool is no longer attached, and sends those once more that are due for it.
func (p *Pool) decideOverdue(now time.Duration) {
	for id, forwarded := range p.pending {
		if now < forwarded.until && p.Mode(now) == ModeAttached {
			if forwarded.resendAt > 0 && now >= forwarded.resendAt {
				forwarded.resendAt = 0
				p.pending[id] = forwarded
				p.enqueueForHolder(now, id, forwarded.query)
			}
			continue
		}
		delete(p.pending, id)
		p.outgoing = slices.DeleteFunc(p.outgoing, func(q Query) bool { return q.ID == id })
		p.timedOut[id] = timedOutQuery{
			amount: Amount{Account: forwarded.query.Account, Units: forwarded.query.Units},
			until:  now + p.options.Lease,
		}
		p.decideForHolder(now, forwarded)
	}
}

// sendToHolder sends amounts and queries to the holder, in as many messages as it takes.
func (p *Pool) sendToHolder(now time.Duration) {
	p.heartbeatAt = now + time.Duration(heartbeatFraction*float64(p.options.Lease))
	amounts := p.takeAmounts(now)
	for {
		message := PeerMessage{Amounts: takeBatch(&amounts), Queries: takeBatch(&p.outgoing)}
		if p.holder == p.leader {
			message.EchoIncarnation, message.EchoTime = p.holderIncarnation, p.holderTime
		}
		p.send(now, p.leader, message)
		p.recordUnacknowledged(message.Amounts)
		if len(amounts) == 0 && len(p.outgoing) == 0 {
			return
		}
	}
}

// recordUnacknowledged stores the debts of the last message until they are acknowledged.
func (p *Pool) recordUnacknowledged(amounts []Amount) {
	for _, each := range amounts {
		if b := p.buckets[each.Account]; b != nil && each.Units < 0 {
			b.unacknowledged += each.Units
			p.unacknowledged[p.sentAt] = append(p.unacknowledged[p.sentAt], each)
		}
	}
}

// takeAmounts empties an attached pool's buckets and its unsent amounts, and returns what they
// contained: the holder counts it. It returns nothing from a pool that is not attached.
func (p *Pool) takeAmounts(now time.Duration) []Amount {
	if p.Mode(now) != ModeAttached {
		return nil
	}
	amounts := append(p.unsentAmounts, p.drainBuckets()...)
	p.unsentAmounts = nil
	return amounts
}

// drainBuckets empties all buckets, and returns their levels.
func (p *Pool) drainBuckets() []Amount {
	var amounts []Amount
	for tenant, each := range p.buckets {
		if each.level != 0 {
			amounts = append(amounts, Amount{Account: tenant, Units: each.level})
			each.level, each.sustained = 0, 0
		}
	}
	return amounts
}

// takeBatch removes the first elements of a list, as many as fit into a message.
func takeBatch[T any](list *[]T) []T {
	count := min(len(*list), maximumBatch)
	batch := (*list)[:count:count]
	*list = (*list)[count:]
	return batch
}

func (p *Pool) send(now time.Duration, to string, message PeerMessage) {
	message.From = p.options.Address
	message.Holding = p.Mode(now) == ModeHolding
	message.Incarnation = p.options.Incarnation
	p.sentAt = max(int64(now), p.sentAt+1)
	message.Time = p.sentAt
	p.output.Messages = append(p.output.Messages, message)
	p.output.Recipients = append(p.output.Recipients, to)
}

// Ready returns what is to be sent, once.
func (p *Pool) Ready() Output {
	ready := p.output
	p.output = Output{}
	return ready
}

// Due returns when Tick is to be called next, as of a time.
func (p *Pool) Due(now time.Duration) time.Duration {
	due := now + time.Duration(heartbeatFraction*float64(p.options.Lease))
	if p.maySendToHolder(now) {
		due = min(due, p.heartbeatAt)
	}
	if len(p.outgoing) > 0 {
		due = min(due, p.flushAt)
	}
	for _, forwarded := range p.pending {
		due = min(due, forwarded.until)
		if forwarded.resendAt > 0 {
			due = min(due, forwarded.resendAt)
		}
	}
	return due
}
