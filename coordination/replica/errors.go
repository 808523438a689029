package replica

import (
	"errors"
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// The errors of proposals, reads and membership changes.
var (
	// ErrNotLeader says that this replica does not lead. The request was not
	// run. Errors that wrap it are *NotLeaderError and carry a hint.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrOutcomeUnknown says that a proposal may or may not have been or be
	// committed.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")
	// ErrDropped says that a proposal was not committed and never will be.
	ErrDropped = errors.New("proposal was dropped")
	// ErrOverloaded says that too many proposals wait; the request was not run.
	ErrOverloaded = errors.New("too many proposals wait")
	// ErrTooLarge says that a command is over Config.MaxCommandBytes; the
	// request was not run.
	ErrTooLarge = errors.New("command is too large")
	// ErrNotWritable says that the disk refuses writes at present; the request
	// was not run.
	ErrNotWritable = errors.New("disk refuses writes")
	// ErrStopped says that the replica has stopped; the request was not run.
	ErrStopped = errors.New("replica has stopped")
	// ErrReplicaQuarantined says that the replica's data is damaged; it takes
	// no part in the group until it is replaced.
	ErrReplicaQuarantined = errors.New("replica is quarantined: its data is damaged")
	// ErrFoundingRefused says that a replica may not take part in a founding.
	ErrFoundingRefused = errors.New("founding refused")
)

// NotLeaderError is ErrNotLeader with what is known about the leader.
type NotLeaderError struct {
	// Leader is zero when no leader is known.
	Leader  consensus.ReplicaID
	Address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("%v: leader is %d at %q", ErrNotLeader, e.Leader, e.Address)
}

// Unwrap makes errors.Is(err, ErrNotLeader) hold.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }
