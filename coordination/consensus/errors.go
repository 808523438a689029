package consensus

import "errors"

// Errors returned by New and by the methods of Core. A call that returns one
// leaves the core's state unchanged.
var (
	// ErrNotLeader means that this replica is not the leader.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrTransferring means that the leader accepts no proposals because a
	// leadership transfer is in progress.
	ErrTransferring = errors.New("consensus: leadership is being transferred")
	// ErrChangeInProgress means that an earlier membership change, or the first
	// entry of the leader's term, is not committed yet.
	ErrChangeInProgress = errors.New("consensus: a membership change is in progress")
	// ErrUnchanged means that the change would leave the configuration as it is.
	ErrUnchanged = errors.New("consensus: membership is already so")
	// ErrUnknownMember means that the member named by a change or transfer does
	// not exist or is not eligible, or that the kind of change is invalid.
	ErrUnknownMember = errors.New("consensus: no such member")
	// ErrNotCaughtUp means that a learner is inactive or too far behind the
	// leader's log to be promoted to a voter.
	ErrNotCaughtUp = errors.New("consensus: learner has not caught up")
	// ErrQuorumAtRisk means that too few voters of the new configuration are
	// active to commit an entry.
	ErrQuorumAtRisk = errors.New("consensus: change would leave no active quorum")
	// ErrInvalidConfig means that New was called with an invalid Config.
	ErrInvalidConfig = errors.New("consensus: invalid config")
)
