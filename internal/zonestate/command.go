package zonestate

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/poison"
)

//go:generate go tool msgp -file command.go -o command_gen.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Kind names a command. The list is closed.
type Kind string

// Kinds of commands.
const (
	// KindFound is the first command of a group.
	KindFound Kind = "found"
	// KindEndPriorSessions notes that no gateway acts on a session of an
	// earlier generation any more.
	KindEndPriorSessions Kind = "end_prior_sessions"
	// KindConfigure replaces the parameters.
	KindConfigure Kind = "configure"
	// KindAdoptConfig adopts a newer configuration.
	KindAdoptConfig Kind = "adopt_config"

	// KindRegisterEngine adds an engine or changes its address.
	KindRegisterEngine Kind = "register_engine"
	// KindRemoveEngine removes an engine.
	KindRemoveEngine Kind = "remove_engine"
	// KindVerifyEngine records what an engine was seen to run.
	KindVerifyEngine Kind = "verify_engine"
	// KindDoubtEngine withdraws what was recorded.
	KindDoubtEngine Kind = "doubt_engine"
	// KindSetEngineLeaving records that an engine announced its leaving, or
	// came back.
	KindSetEngineLeaving Kind = "set_engine_leaving"
	// KindSetDesired records what engines should run.
	KindSetDesired Kind = "set_desired"
	// KindDrainEngine and KindUndrainEngine are an operator's.
	KindDrainEngine   Kind = "drain_engine"
	KindUndrainEngine Kind = "undrain_engine"
	// KindBeginChange withholds an engine from the gateways for a change.
	KindBeginChange Kind = "begin_change"
	// KindCancelChange gives up a change whose order was not issued.
	KindCancelChange Kind = "cancel_change"
	// KindIssueOrder issues the order to an engine that has been withheld and
	// is idle.
	KindIssueOrder Kind = "issue_order"
	// KindCompleteOrder records that the engine runs the order's target.
	KindCompleteOrder Kind = "complete_order"
	// KindFailOrder records that the engine could not carry out the order.
	KindFailOrder Kind = "fail_order"
	// KindAbandonChange makes what the engine runs its desired configuration.
	KindAbandonChange Kind = "abandon_change"

	// KindBeginRollout begins the change of a model's version.
	KindBeginRollout Kind = "begin_rollout"
	// KindHaltRollout is the leader's or an operator's.
	KindHaltRollout Kind = "halt_rollout"
	// KindResumeRollout and KindRevertRollout are an operator's.
	KindResumeRollout Kind = "resume_rollout"
	KindRevertRollout Kind = "revert_rollout"
	// KindEndRollout records that all engines run the wanted version.
	KindEndRollout Kind = "end_rollout"

	// KindRegisterBackEnd adds an application back end or changes it.
	KindRegisterBackEnd Kind = "register_back_end"
	// KindRemoveBackEnd removes an application back end.
	KindRemoveBackEnd Kind = "remove_back_end"
	// KindSetBackEndServing records whether a back end takes new work.
	KindSetBackEndServing Kind = "set_back_end_serving"

	// KindOpenSession opens a gateway's session.
	KindOpenSession Kind = "open_session"
	// KindEndSession ends a session.
	KindEndSession Kind = "end_session"
	// KindForgetGateway is an operator's attestation that a gateway's process
	// is dead.
	KindForgetGateway Kind = "forget_gateway"
	// KindAssignIsolation gives sessions isolation sets that fit the
	// engines' present roles.
	KindAssignIsolation Kind = "assign_isolation"

	// KindClaim, KindComplete and KindRelease are the once-only calls.
	KindClaim    Kind = "claim"
	KindComplete Kind = "complete"
	KindRelease  Kind = "release"
	// KindPoison changes what is known of requests that end engines.
	KindPoison Kind = "poison"
	// KindAdvanceTime lets the log time pass and forgets old claims.
	KindAdvanceTime Kind = "advance_time"
)

// Command is one entry of the zone group's log. The fields that belong to Kind
// are set.
type Command struct {
	Kind Kind `msg:"kind"`
	// TimeMillis is the proposer's clock, in Unix milliseconds.
	TimeMillis int64 `msg:"time_ms"`
	// RequestID names an operator's request; sending it again gives the first
	// result. Empty for commands of the system itself.
	RequestID string `msg:"request_id,omitempty"`

	Found      *Found            `msg:"found,omitempty"`
	Parameters *Parameters       `msg:"parameters,omitempty"`
	Config     *dynamic.Snapshot `msg:"config,omitempty"`
	Engine     *EngineCommand    `msg:"engine,omitempty"`
	Desired    []DesiredEntry    `msg:"desired,omitempty"`
	BackEnd    *BackEndCommand   `msg:"back_end,omitempty"`
	Session    *SessionCommand   `msg:"session,omitempty"`
	// Sessions belong to KindAssignIsolation.
	Sessions []SessionCommand `msg:"sessions,omitempty"`
	OnceOnly *OnceOnlyCommand `msg:"once_only,omitempty"`
	Rollout  *RolloutCommand  `msg:"rollout,omitempty"`
	Poison   *poison.Command  `msg:"poison,omitempty"`
}

// Found starts a group's state.
type Found struct {
	Zone string `msg:"zone"`
	// Generation is 1 for a zone's first group, and higher for each group
	// that an operator creates after the loss of the one before.
	Generation uint64     `msg:"generation"`
	Parameters Parameters `msg:"parameters"`
}

// EngineCommand is about one engine. The guards must match the state, or the
// command is refused as stale.
type EngineCommand struct {
	ID      string `msg:"id"`
	Address string `msg:"address,omitempty"`
	// WithheldAt guards KindVerifyEngine and KindIssueOrder.
	WithheldAt uint64 `msg:"withheld_at,omitempty"`
	// DesiredAt guards KindBeginChange, KindCancelChange, KindIssueOrder and
	// KindAbandonChange.
	DesiredAt uint64 `msg:"desired_at,omitempty"`
	// Fence guards KindCompleteOrder and KindFailOrder; with KindVerifyEngine
	// it is the highest fence that the engine reported.
	Fence engineapi.Fence `msg:"fence"`
	// OperatorAt guards KindDrainEngine and KindUndrainEngine if Guarded.
	OperatorAt uint64 `msg:"operator_at,omitempty"`
	Guarded    bool   `msg:"guarded,omitempty"`
	Leaving    bool   `msg:"leaving,omitempty"`
	// Observed is what the engine reported to run.
	Observed    *engineapi.Configuration `msg:"observed,omitempty"`
	Incarnation uint64                   `msg:"incarnation,omitempty"`
	Detail      string                   `msg:"detail,omitempty"`
}

// DesiredEntry says what one engine should run.
type DesiredEntry struct {
	EngineID string                  `msg:"engine_id"`
	Target   engineapi.Configuration `msg:"target"`
	// DesiredAt guards the entry if Guarded: the position of the earlier wish.
	DesiredAt uint64 `msg:"desired_at,omitempty"`
	Guarded   bool   `msg:"guarded,omitempty"`
	// Partial says that empty fields of Target keep what the engine should
	// run. An operator's request sent again is then the same command, also
	// after the engine's wish has changed.
	Partial bool `msg:"partial,omitempty"`
}

// BackEndCommand is about one application back end.
type BackEndCommand struct {
	ID           string   `msg:"id"`
	Address      string   `msg:"address,omitempty"`
	Applications []string `msg:"applications,omitempty"`
	Serving      bool     `msg:"serving,omitempty"`
}

// SessionCommand is about one gateway.
type SessionCommand struct {
	// SessionID belongs to all kinds but KindOpenSession and
	// KindForgetGateway.
	SessionID   uint64 `msg:"session_id,omitempty"`
	GatewayID   string `msg:"gateway_id,omitempty"`
	Incarnation uint64 `msg:"incarnation,omitempty"`
	Address     string `msg:"address,omitempty"`
	PeerAddress string `msg:"peer_address,omitempty"`
	Ticket      uint64 `msg:"ticket,omitempty"`
	// Acknowledged is the highest view that the gateway has acknowledged; it
	// belongs to KindAssignIsolation.
	Acknowledged uint64 `msg:"acknowledged,omitempty"`
}

// OnceOnlyCommand is one of the once-only calls.
type OnceOnlyCommand struct {
	Tenant    string `msg:"tenant"`
	Key       string `msg:"key"`
	AttemptID string `msg:"attempt_id"`
	// Zone, GatewayID, SessionID and BodyHash belong to KindClaim.
	Zone      string `msg:"zone,omitempty"`
	GatewayID string `msg:"gateway_id,omitempty"`
	SessionID uint64 `msg:"session_id,omitempty"`
	BodyHash  []byte `msg:"body_hash,omitempty,limit=2147483647"`
	// Answer belongs to KindComplete.
	Answer *onceonly.Answer `msg:"answer,omitempty"`
	// NotRun belongs to KindRelease.
	NotRun bool `msg:"not_run,omitempty"`
}

// Outcome says what became of a command.
type Outcome string

// Outcomes of commands.
const (
	// OutcomeDone: the command took effect, or was already in effect.
	OutcomeDone Outcome = "done"
	// OutcomeStale: a guard did not match the state.
	OutcomeStale Outcome = "stale"
	// OutcomeNotFound: there is no such engine, back end or session.
	OutcomeNotFound Outcome = "not_found"
	// OutcomeFull: a bound was reached.
	OutcomeFull Outcome = "full"
	// OutcomeInvalid: the command can't be read or is incomplete.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNotReady: the group must first be founded, or gateways of an
	// earlier generation may still act.
	OutcomeNotReady Outcome = "not_ready"
	// OutcomeAddressInUse: the gateway's id has a session from another
	// address.
	OutcomeAddressInUse Outcome = "address_in_use"
	// OutcomeRequestReused: the request id was used for another command.
	OutcomeRequestReused Outcome = "request_reused"
)

// Result answers a command.
type Result struct {
	Outcome Outcome `msg:"outcome"`
	// Index is the command's log position, or that of the first command with
	// the same request id.
	Index uint64 `msg:"index"`
	// Repeated is true if the result was remembered.
	Repeated bool `msg:"repeated,omitempty"`
	// SessionID is set by KindOpenSession.
	SessionID uint64 `msg:"session_id,omitempty"`
	// OnceOnly is set by the once-only calls.
	OnceOnly *onceonly.Reply `msg:"once_only,omitempty"`
	Detail   string          `msg:"detail,omitempty"`
}

// Encode returns the command's bytes for the replicated log.
func (c *Command) Encode() ([]byte, error) {
	data, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand reads what Encode wrote.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	rest, err := command.UnmarshalMsg(data)
	if err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	if len(rest) > 0 {
		return Command{}, fmt.Errorf("decode command: %d bytes too many", len(rest))
	}
	return command, nil
}

// DecodeResult reads the result that State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	if _, err := result.UnmarshalMsg(data); err != nil {
		return Result{}, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
