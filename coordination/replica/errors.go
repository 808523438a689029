package replica

import (
	"errors"
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Errors of proposals, reads, membership changes and foundings.
var (
	// ErrNotLeader means that this replica is not the leader; the request was
	// not executed. Errors that wrap it are *NotLeaderError and name the leader
	// if it is known.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrOutcomeUnknown means that a proposal may have been committed, may
	// still be committed later, or may never be.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")
	// ErrDropped means that a proposal was not committed and never will be.
	ErrDropped = errors.New("proposal was dropped")
	// ErrOverloaded means that too many requests are pending; the request was
	// not executed.
	ErrOverloaded = errors.New("too many proposals wait")
	// ErrTooLarge means that a command exceeds Config.MaxCommandBytes; the
	// request was not executed.
	ErrTooLarge = errors.New("command is too large")
	// ErrNotWritable means that writes to the disk currently fail; the request
	// was not executed.
	ErrNotWritable = errors.New("disk refuses writes")
	// ErrStopped means that the replica has stopped; the request was not executed.
	ErrStopped = errors.New("replica has stopped")
	// ErrReplicaQuarantined means that the replica's data is damaged; it does
	// not participate in the group until it is replaced.
	ErrReplicaQuarantined = errors.New("replica is quarantined: its data is damaged")
	// ErrFoundingRefused means that a founding lacks promises or is otherwise
	// invalid, or that the replica may not take part in it.
	ErrFoundingRefused = errors.New("founding refused")
)

// NotLeaderError wraps ErrNotLeader and names the current leader.
type NotLeaderError struct {
	// Leader is zero if no leader is known.
	Leader  consensus.ReplicaID
	Address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("%v: leader is %d at %q", ErrNotLeader, e.Leader, e.Address)
}

// Unwrap makes errors.Is(err, ErrNotLeader) hold.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }
