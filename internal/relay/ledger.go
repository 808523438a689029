package relay

// sendKind is a kind of request that a gateway makes for a call.
type sendKind int

const (
	// sendPrompt has a replica prefill the prompt for another one.
	sendPrompt sendKind = iota
	// sendAnswer has a replica answer: the first attempt, a further one, a stream that goes on or that was moved.
	sendAnswer
	// sendForward hands the call to a peer gateway, which sends it to replicas itself.
	sendForward
)

// sendOutcome is what is known of a request once it has ended.
type sendOutcome int

const (
	// outcomeUnsent: no byte was handed over.
	outcomeUnsent sendOutcome = iota
	// outcomeTakenUp: the replica has prefilled the prompt or begun the answer, or the peer has answered.
	outcomeTakenUp
	// outcomeRejected: the replica says that it has not.
	outcomeRejected
	// outcomeUnknown: the request was handed over, and nothing tells what became of it: the connection was lost, its
	// head was spoiled or never came, or this gateway has withdrawn it.
	outcomeUnknown
)

// arrivalCounts is how many arrivals at replicas each outcome of a request may be. What isn't known counts as the most that
// it can be: a replica that takes a prompt up doesn't count it as an arrival, and one that resets the connection does.
// What a peer has answered is not counted here: it pays for what it sends.
var arrivalCounts = map[sendKind]map[sendOutcome]int{
	sendPrompt:  {outcomeUnsent: 0, outcomeTakenUp: 0, outcomeRejected: 1, outcomeUnknown: 1},
	sendAnswer:  {outcomeUnsent: 0, outcomeTakenUp: 1, outcomeRejected: 1, outcomeUnknown: 1},
	sendForward: {outcomeUnsent: 0, outcomeTakenUp: 0, outcomeRejected: 0, outcomeUnknown: 1},
}

// ledger counts the arrivals of a call at replicas, and the retries that were paid for: each arrival past the first is one,
// and is paid for before the request is sent.
type ledger struct {
	arrivals int
	paid     int
	// promptTaken is set once a replica has taken the prompt up. Every further one that does counts as an arrival.
	promptTaken bool
}

// newLedger returns the ledger of a call with what another gateway has made of it, and paid for.
func newLedger(earlier Progress) ledger {
	return ledger{arrivals: earlier.Arrivals, paid: max(earlier.Arrivals-1, 0)}
}

// record records the outcome of a request.
func (l *ledger) record(kind sendKind, outcome sendOutcome) {
	arrived := arrivalCounts[kind][outcome]
	switch {
	case kind == sendPrompt && outcome == outcomeTakenUp:
		if l.promptTaken {
			arrived = 1
		}
		l.promptTaken = true
	case kind == sendForward && outcome == outcomeUnknown && l.arrivals > 0:
		// The peer has paid for what it has sent.
		l.paid++
	}
	l.arrivals += arrived
}

// owed returns the retries to be paid for before a further request is sent.
func (l *ledger) owed() int { return max(l.arrivals-l.paid, 0) }

// unused returns the retries that were paid for and not made.
func (l *ledger) unused() int { return max(l.paid-max(l.arrivals-1, 0), 0) }

// forwarded returns the arrivals that a peer is told of. A prompt that was taken up counts as one: the peer has it prefilled
// again.
func (l *ledger) forwarded() int {
	if l.promptTaken {
		return l.arrivals + 1
	}
	return l.arrivals
}

// retryReason is what the retry budget is asked for.
type retryReason string

// Reasons of retries.
const (
	// retrySend is a further send of a call, retryContinuation one that continues a stream which this gateway has stopped.
	retrySend         retryReason = "send"
	retryContinuation retryReason = "continuation"
	// retryMove is the send by which a stream is moved.
	retryMove retryReason = "move"
	// retryForward is the prefill of a prompt by a peer, after one of a replica here.
	retryForward retryReason = "forward"
	// retryPrompt is the send after a prompt that a replica has rejected or whose answer was lost, and retrySlowPrompt the
	// one after a prompt that was withdrawn.
	retryPrompt     retryReason = "prompt"
	retrySlowPrompt retryReason = "slow_prompt"
)

// Outcomes of asking the retry budget.
const (
	retryCharged = "charged"
	retryRefused = "refused"
)

// pay takes what the ledger owes out of the retry budget of the call's service, before a further request is sent. It
// reports false if the budget is used up. What was paid for a request that was not sent counts for the next one.
func (r *callState) pay(reason retryReason) bool { return r.payBy(r.budgets.Withdraw, reason) }

// payWithDebt is like pay, and overdraws the budget for a request that has to be sent. It reports false if the budget is
// overdrawn by too much.
func (r *callState) payWithDebt(reason retryReason) bool { return r.payBy(r.budgets.Overdraw, reason) }

func (r *callState) payBy(withdraw func(service string) bool, reason retryReason) bool {
	for r.ledger.owed() > 0 {
		if !r.charge(withdraw, reason) {
			return false
		}
		r.ledger.paid++
	}
	return true
}

// charge takes one retry out of the budget, and counts it.
func (r *callState) charge(withdraw func(service string) bool, reason retryReason) bool {
	charged := withdraw(r.call.Service.Name)
	outcome := retryRefused
	if charged {
		outcome = retryCharged
	}
	r.metrics.countRetry(reason, outcome)
	return charged
}

// returnUnused gives the retries back that were paid for and not made.
func (r *callState) returnUnused() {
	for range r.ledger.unused() {
		r.budgets.Return(r.call.Service.Name)
	}
	r.ledger.paid -= r.ledger.unused()
}
