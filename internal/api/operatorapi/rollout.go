package operatorapi

//go:generate go tool msgp -file rollout.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536
//msgp:ignore RolloutCommand

// Rollout is the change of a model's version in a zone: the one under way, or the
// last.
type Rollout struct {
	Zone  string `json:"zone" msg:"zone"`
	Model string `json:"model" msg:"model"`
	From  string `json:"from" msg:"from"`
	To    string `json:"to" msg:"to"`
	// Phase is running, halted, reverting, reverted or done.
	Phase string `json:"phase" msg:"phase"`
	// Reason is why it was halted.
	Reason string `json:"reason,omitempty" msg:"reason"`
	// Changed of the model's Engines run the new version.
	Changed int `json:"changed" msg:"changed"`
	Engines int `json:"engines" msg:"engines"`
}

// RolloutHalted is the phase of a rollout that needs an operator's word.
const RolloutHalted = "halted"

// RolloutAction is what an operator does to a rollout.
type RolloutAction string

// Actions on a rollout.
const (
	// RolloutHalt changes no further engine.
	RolloutHalt RolloutAction = "halt"
	// RolloutResume goes on, and watches anew.
	RolloutResume RolloutAction = "resume"
	// RolloutRevert takes the changed engines back to the old version.
	RolloutRevert RolloutAction = "revert"
)

// RolloutCommand asks for an action on a rollout.
type RolloutCommand struct {
	RequestID string `json:"request_id" validate:"required,max=128,printascii"`
}
