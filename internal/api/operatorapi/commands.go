package operatorapi

// EngineAction is what an operator does to an engine.
type EngineAction string

// Actions on an engine.
const (
	// ActionDrain gives the engine no new work until it is undrained.
	ActionDrain EngineAction = "drain"
	// ActionUndrain ends a drain.
	ActionUndrain EngineAction = "undrain"
	// ActionAssign changes role, model or version.
	ActionAssign EngineAction = "assign"
)

// EngineCommand asks for an action on an engine.
type EngineCommand struct {
	RequestID string `json:"request_id" validate:"required,max=128,printascii"`
	// Target is needed by ActionAssign; its empty fields keep their value.
	Target *EngineConfiguration `json:"target,omitempty"`
}

// CommandResult answers a command that the zone group has committed.
type CommandResult struct {
	RequestID string `json:"request_id"`
	// Revision is the zone group's log position of the command.
	Revision uint64 `json:"revision"`
}

// ForgetCommand ends the session of a gateway that is known to be dead.
type ForgetCommand struct {
	RequestID string `json:"request_id" validate:"required,max=128,printascii"`
	// ConfirmStopped must be true: the operator vouches that the process does
	// not run any more. Forgetting one that runs lets an engine be changed
	// under its requests.
	ConfirmStopped bool `json:"confirm_stopped"`
}

// MemberAction is a step of changing a group's members.
type MemberAction string

// Actions on the members of a group.
const (
	// MemberAdd adds the new replica at Address as a learner.
	MemberAdd MemberAction = "add"
	// MemberPromote gives a learner that has caught up a vote.
	MemberPromote MemberAction = "promote"
	// MemberRemove removes the replica ReplicaID.
	MemberRemove MemberAction = "remove"
	// MemberReplace puts the new replica at Address in the place of ReplicaID:
	// it is added, catches up, the old one is removed, the new one votes.
	MemberReplace MemberAction = "replace"
)

// MemberCommand changes the members of a group. It may be repeated.
type MemberCommand struct {
	Action MemberAction `json:"action" validate:"required,oneof=add promote remove replace"`
	// ReplicaID is needed by promote, remove and replace.
	ReplicaID uint64 `json:"replica_id,omitempty"`
	// Address is needed by add and replace: the controller's address for its
	// peers, IP:port.
	Address string `json:"address,omitempty" validate:"omitempty,hostname_port"`
}

// MemberList answers PathMembers and a MemberCommand.
type MemberList struct {
	Group GroupState `json:"group"`
}

// LogDump answers PathLogDump.
type LogDump struct {
	// Path is the file on the controller's disk; empty if the log went to its
	// standard error.
	Path string `json:"path"`
}
