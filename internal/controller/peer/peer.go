// Package peer holds the messages between controllers, besides those that
// package replica and package wire define.
package peer

import (
	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/versioned"
)

//go:generate go tool msgp -file peer.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Paths of the calls between controllers. wire.PathConsensus takes
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

// ConsensusBatch carries messages between replicas of any groups.
type ConsensusBatch struct {
	// From is the sender's address for its peers.
	From     string              `msg:"from"`
	Messages []consensus.Message `msg:"messages"`
}

// Empty is a message without content.
type Empty struct{}

// ProposeRequest asks the leader of a group to commit a command. The command
// carries a request id of its own if it may be sent twice.
type ProposeRequest struct {
	Group   uint64 `msg:"group"`
	Command []byte `msg:"command,limit=2147483647"`
}

// ProposeReply tells where a command was committed.
type ProposeReply struct {
	Index  uint64 `msg:"index"`
	Result []byte `msg:"result,limit=2147483647"`
}

// GroupRequest names a group.
type GroupRequest struct {
	Group uint64 `msg:"group"`
}

// IdentityReply names the replica of a group at a controller.
type IdentityReply struct {
	Replica uint64 `msg:"replica"`
	// Stage is that of storage.Identity, as text.
	Stage string `msg:"stage"`
}

// MembershipRequest asks the leader of a group for a change of its members.
type MembershipRequest struct {
	Group uint64 `msg:"group"`
	// Action is an operatorapi.MemberAction.
	Action string `msg:"action"`
	// Replica is the one to promote, to remove or to replace.
	Replica uint64 `msg:"replica"`
	// NewReplica and Address are of the one to add.
	NewReplica uint64 `msg:"new_replica"`
	Address    string `msg:"address"`
}

// DocumentsRequest asks for the config group's documents.
type DocumentsRequest struct {
	// Kind and Name limit the reply to one document, also a withdrawn one;
	// empty means all that are in force.
	Kind string `msg:"kind"`
	Name string `msg:"name"`
}

// DocumentsReply carries documents as of a read barrier at the config group's
// leader.
type DocumentsReply struct {
	Revision  uint64               `msg:"revision"`
	Documents []versioned.Document `msg:"documents"`
}

// ZoneReportRequest asks for an operatorapi.ZoneReport.
type ZoneReportRequest struct {
	// LeaderOnly refuses instead of reporting from a follower's copy.
	LeaderOnly bool `msg:"leader_only"`
}

// EngineChangeRequest asks the zone group's leader for an operator's action.
type EngineChangeRequest struct {
	RequestID string `msg:"request_id"`
	EngineID  string `msg:"engine_id"`
	GatewayID string `msg:"gateway_id"`
	// Action is an operatorapi.EngineAction, or ActionForget.
	Action   string   `msg:"action"`
	Role     string   `msg:"role"`
	Model    string   `msg:"model"`
	Version  string   `msg:"version"`
	Adapters []string `msg:"adapters"`
}

// ActionForget ends the session of EngineChangeRequest.GatewayID.
const ActionForget = "forget"

// ActionRollout goes before an operatorapi.RolloutAction; it is about the rollout
// of EngineChangeRequest.Model.
const ActionRollout = "rollout-"

// EngineChangeReply tells where the action was committed.
type EngineChangeReply struct {
	Index uint64 `msg:"index"`
}
