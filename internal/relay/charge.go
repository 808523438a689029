package relay

// retryReason is what the retry budget is asked for.
type retryReason string

// Reasons of retries.
const (
	// retrySend is a further send of a call, retryContinuation one that continues a stream which this gateway has stopped.
	retrySend         retryReason = "send"
	retryContinuation retryReason = "continuation"
	// retryMove is the send by which a stream is moved.
	retryMove retryReason = "move"
	// retryRejectedPrompt, retryLostPrompt and retrySlowPrompt are the sends after a prompt that a replica has rejected,
	// whose answer was lost, and that was withdrawn from a replica.
	retryRejectedPrompt retryReason = "rejected_prompt"
	retryLostPrompt     retryReason = "lost_prompt"
	retrySlowPrompt     retryReason = "slow_prompt"
)

// Outcomes of asking the retry budget.
const (
	retryCharged   = "charged"
	retryRefused   = "refused"
	retryUncharged = "uncharged"
)

// withdraw takes a retry out of the budget of the call's service. It reports false if none is left.
func (r *callState) withdraw(reason retryReason) bool {
	return r.countCharge(reason, r.budgets.Withdraw(r.call.Service.Name))
}

// overdraw takes a retry out of the budget that has to be made even if none is left. It reports false if the budget is
// overdrawn by too much.
func (r *callState) overdraw(reason retryReason) bool {
	return r.countCharge(reason, r.budgets.Overdraw(r.call.Service.Name))
}

func (r *callState) countCharge(reason retryReason, charged bool) bool {
	outcome := retryRefused
	if charged {
		outcome = retryCharged
	}
	r.metrics.countRetry(reason, outcome)
	return charged
}
