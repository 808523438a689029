package reconcile

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Outputs holds the actions that the caller must carry out after a tick.
type Outputs struct {
	Proposals []Proposal
	// EnginePolls and BackEndPolls request the states of engines and back ends.
	EnginePolls  []Poll
	BackEndPolls []Poll
	Orders       []OrderCall
}

// Proposal is a command to propose to the zone group. The caller must call
// ProposalEnded with its key when it ends, whether it was applied or failed.
type Proposal struct {
	Key     string
	Command zonestate.Command
}

// Poll requests the state of an engine or a back end.
type Poll struct {
	ID      string
	Address string
}

// OrderCall is an order to send to an engine.
type OrderCall struct {
	Address string
	Order   engineapi.Order
}
