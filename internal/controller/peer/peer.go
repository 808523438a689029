// Package peer defines the messages between controllers, except those that
// packages replica and wire define.
package peer

import (
	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/versioned"
)

//go:generate go tool msgp -file peer.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Paths of the calls between controllers. The request at wire.PathConsensus is a
// ConsensusBatch.
const (
	PathPropose      = "/internal/v1/group/propose"
	PathIdentity     = "/internal/v1/group/identity"
	PathPromise      = "/internal/v1/group/promise"
	PathFound        = "/internal/v1/group/found"
	PathState        = "/internal/v1/group/state"
	PathMembership   = "/internal/v1/group/membership"
	PathDocuments    = "/internal/v1/config/documents"
	PathZoneReport   = "/internal/v1/zone/report"
	PathZoneHolds    = "/internal/v1/zone/holds"
	PathEngineChange = "/internal/v1/zone/engine"
)

// ConsensusBatch carries consensus messages of any groups.
type ConsensusBatch struct {
	// From is the address at which peers reach the sender.
	From     string              `msg:"from"`
	Messages []consensus.Message `msg:"messages"`
}

// Empty is a message without content.
type Empty struct{}

// ProposeRequest asks the leader of a group to commit a command. A command that
// may be sent twice carries its own request id.
type ProposeRequest struct {
	Group   uint64 `msg:"group"`
	Command []byte `msg:"command,limit=2147483647"`
}

// ProposeReply holds the log index at which a command was committed, and its result.
type ProposeReply struct {
	Index  uint64 `msg:"index"`
	Result []byte `msg:"result,limit=2147483647"`
}

// GroupRequest names a group.
type GroupRequest struct {
	Group uint64 `msg:"group"`
}

// IdentityReply identifies a controller's replica of a group.
type IdentityReply struct {
	Replica uint64 `msg:"replica"`
	// Stage is the stage of the replica's storage.Identity, as text.
	Stage string `msg:"stage"`
}

// MembershipRequest asks the leader of a group to change the group's members.
type MembershipRequest struct {
	Group uint64 `msg:"group"`
	// Action is an operatorapi.MemberAction.
	Action string `msg:"action"`
	// Replica is the replica to promote, remove or replace.
	Replica uint64 `msg:"replica"`
	// NewReplica and Address are the id and address of the replica to add.
	NewReplica uint64 `msg:"new_replica"`
	Address    string `msg:"address"`
}

// DocumentsRequest asks for the config group's documents.
type DocumentsRequest struct {
	// Kind and Name select one document, which may be withdrawn. If they are empty,
	// the reply has all documents that are in effect.
	Kind string `msg:"kind"`
	Name string `msg:"name"`
}

// DocumentsReply holds documents as read after a read barrier at the config
// group's leader.
type DocumentsReply struct {
	Revision  uint64               `msg:"revision"`
	Documents []versioned.Document `msg:"documents"`
}

// ZoneReportRequest asks for an operatorapi.ZoneReport.
type ZoneReportRequest struct {
	// LeaderOnly makes a controller that does not lead reject the request instead of
	// reporting from its own copy of the state.
	LeaderOnly bool `msg:"leader_only"`
}

// EngineChangeRequest asks the zone group's leader to execute an operator's action.
type EngineChangeRequest struct {
	RequestID string `msg:"request_id"`
	EngineID  string `msg:"engine_id"`
	GatewayID string `msg:"gateway_id"`
	// Action is an operatorapi.EngineAction, ActionForget, or ActionRollout followed by
	// an operatorapi.RolloutAction.
	Action   string   `msg:"action"`
	Role     string   `msg:"role"`
	Model    string   `msg:"model"`
	Version  string   `msg:"version"`
	Adapters []string `msg:"adapters"`
}

// ActionForget ends the session of EngineChangeRequest.GatewayID.
const ActionForget = "forget"

// ActionRollout is the prefix of an operatorapi.RolloutAction in
// EngineChangeRequest.Action. The action applies to the rollout of
// EngineChangeRequest.Model.
const ActionRollout = "rollout-"

// EngineChangeReply holds the log index at which the action was committed.
type EngineChangeReply struct {
	Index uint64 `msg:"index"`
}
