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

// Kind is the kind of a command. Other kinds than those below are invalid.
type Kind string

// Kinds of commands.
const (
	// KindFound bootstraps a group's state. It is the first command of a group.
	KindFound Kind = "found"
	// KindEndPriorSessions records that no gateway acts on a session of an
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
	// KindVerifyEngine records the configuration that an engine was observed to run.
	KindVerifyEngine Kind = "verify_engine"
	// KindDoubtEngine marks what an engine runs as unverified.
	KindDoubtEngine Kind = "doubt_engine"
	// KindSetEngineLeaving records that an engine has declared that it is
	// leaving, or no longer is.
	KindSetEngineLeaving Kind = "set_engine_leaving"
	// KindSetDesired sets the desired configurations of engines.
	KindSetDesired Kind = "set_desired"
	// KindDrainEngine and KindUndrainEngine are requests of an operator.
	KindDrainEngine   Kind = "drain_engine"
	KindUndrainEngine Kind = "undrain_engine"
	// KindBeginChange withholds an engine for a change: gateways must not use it.
	KindBeginChange Kind = "begin_change"
	// KindCancelChange cancels a change whose order was not issued.
	KindCancelChange Kind = "cancel_change"
	// KindIssueOrder issues the order to an engine that is withheld and
	// idle.
	KindIssueOrder Kind = "issue_order"
	// KindCompleteOrder records that the engine runs the order's target.
	KindCompleteOrder Kind = "complete_order"
	// KindFailOrder records that the engine could not execute the order.
	KindFailOrder Kind = "fail_order"
	// KindAbandonChange abandons a change: what the engine runs becomes its desired configuration.
	KindAbandonChange Kind = "abandon_change"

	// KindBeginRollout starts the rollout of a model's version.
	KindBeginRollout Kind = "begin_rollout"
	// KindHaltRollout is proposed by the leader or an operator.
	KindHaltRollout Kind = "halt_rollout"
	// KindResumeRollout and KindRevertRollout are requests of an operator.
	KindResumeRollout Kind = "resume_rollout"
	KindRevertRollout Kind = "revert_rollout"
	// KindEndRollout records that all engines run the intended version.
	KindEndRollout Kind = "end_rollout"

	// KindRegisterBackEnd adds or changes an application back end.
	KindRegisterBackEnd Kind = "register_back_end"
	// KindRemoveBackEnd removes an application back end.
	KindRemoveBackEnd Kind = "remove_back_end"
	// KindSetBackEndServing records whether a back end takes new work.
	KindSetBackEndServing Kind = "set_back_end_serving"

	// KindOpenSession opens a gateway's session.
	KindOpenSession Kind = "open_session"
	// KindEndSession ends a session.
	KindEndSession Kind = "end_session"
	// KindForgetGateway is an operator's confirmation that a gateway's process
	// no longer runs. It ends the gateway's session.
	KindForgetGateway Kind = "forget_gateway"
	// KindAssignIsolation assigns isolation sets to sessions according to the
	// engines' present roles.
	KindAssignIsolation Kind = "assign_isolation"

	// KindClaim, KindComplete and KindRelease are the once-only calls.
	KindClaim    Kind = "claim"
	KindComplete Kind = "complete"
	KindRelease  Kind = "release"
	// KindPoison changes what is known about requests that crash engines.
	KindPoison Kind = "poison"
	// KindAdvanceTime advances the log time, and removes old claims.
	KindAdvanceTime Kind = "advance_time"
)

// Command is an entry of the zone group's log. Only the fields that belong to
// Kind are set.
type Command struct {
	Kind Kind `msg:"kind"`
	// TimeMillis is the time of the proposer's clock, in Unix milliseconds.
	TimeMillis int64 `msg:"time_ms"`
	// RequestID identifies an operator's request. Sending it again returns the
	// first result. It is empty for commands of the system itself.
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

// Found contains the initial state of a group.
type Found struct {
	Zone string `msg:"zone"`
	// Generation is 1 for a zone's first group, and higher for each group
	// that an operator creates after the previous one was lost.
	Generation uint64     `msg:"generation"`
	Parameters Parameters `msg:"parameters"`
}

// EngineCommand contains the fields of commands about one engine. Guards are
// fields that must match the state: otherwise the command is rejected as stale.
type EngineCommand struct {
	ID      string `msg:"id"`
	Address string `msg:"address,omitempty"`
	// WithheldAt guards KindVerifyEngine and KindIssueOrder.
	WithheldAt uint64 `msg:"withheld_at,omitempty"`
	// DesiredAt guards KindBeginChange, KindCancelChange, KindIssueOrder and
	// KindAbandonChange.
	DesiredAt uint64 `msg:"desired_at,omitempty"`
	// Fence is the order's fencing token. It guards KindCompleteOrder and
	// KindFailOrder; with KindVerifyEngine it is the highest fencing token that
	// the engine reported.
	Fence engineapi.Fence `msg:"fence"`
	// OperatorAt guards KindDrainEngine and KindUndrainEngine if Guarded.
	OperatorAt uint64 `msg:"operator_at,omitempty"`
	Guarded    bool   `msg:"guarded,omitempty"`
	Leaving    bool   `msg:"leaving,omitempty"`
	// Observed is the configuration that the engine reported.
	Observed    *engineapi.Configuration `msg:"observed,omitempty"`
	Incarnation uint64                   `msg:"incarnation,omitempty"`
	Detail      string                   `msg:"detail,omitempty"`
}

// DesiredEntry sets the desired configuration of one engine.
type DesiredEntry struct {
	EngineID string                  `msg:"engine_id"`
	Target   engineapi.Configuration `msg:"target"`
	// DesiredAt guards the entry if Guarded: the log index at which the present
	// desired configuration was set.
	DesiredAt uint64 `msg:"desired_at,omitempty"`
	Guarded   bool   `msg:"guarded,omitempty"`
	// Partial says that empty fields of Target are filled from the present
	// desired configuration. An operator's request that is sent again is then
	// the same command even if the desired configuration has changed meanwhile.
	Partial bool `msg:"partial,omitempty"`
}

// BackEndCommand contains the fields of commands about one application back end.
type BackEndCommand struct {
	ID           string   `msg:"id"`
	Address      string   `msg:"address,omitempty"`
	Applications []string `msg:"applications,omitempty"`
	Serving      bool     `msg:"serving,omitempty"`
}

// SessionCommand contains the fields of commands about one gateway's session.
type SessionCommand struct {
	// SessionID belongs to all kinds except KindOpenSession and
	// KindForgetGateway.
	SessionID   uint64 `msg:"session_id,omitempty"`
	GatewayID   string `msg:"gateway_id,omitempty"`
	Incarnation uint64 `msg:"incarnation,omitempty"`
	Address     string `msg:"address,omitempty"`
	PeerAddress string `msg:"peer_address,omitempty"`
	Ticket      uint64 `msg:"ticket,omitempty"`
	// Acknowledged is the highest view revision that the gateway has
	// acknowledged; it belongs to KindAssignIsolation.
	Acknowledged uint64 `msg:"acknowledged,omitempty"`
}

// OnceOnlyCommand contains the fields of the once-only calls.
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

// Outcome is the outcome of a command.
type Outcome string

// Outcomes of commands.
const (
	// OutcomeDone: the command took effect, or was already in effect.
	OutcomeDone Outcome = "done"
	// OutcomeStale: a guard did not match the state.
	OutcomeStale Outcome = "stale"
	// OutcomeNotFound: there is no such engine, back end or session.
	OutcomeNotFound Outcome = "not_found"
	// OutcomeFull: a bound of the state was reached.
	OutcomeFull Outcome = "full"
	// OutcomeInvalid: the command can't be decoded, is incomplete, or has a field
	// that is out of bounds.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNotReady: the group is not bootstrapped yet, gateways of an earlier
	// generation may still act, or a claim's tenant or session is not known.
	OutcomeNotReady Outcome = "not_ready"
	// OutcomeAddressInUse: the gateway's id has a session from another
	// address.
	OutcomeAddressInUse Outcome = "address_in_use"
	// OutcomeRequestReused: the request id was used for another command.
	OutcomeRequestReused Outcome = "request_reused"
)

// Result is the result of a command.
type Result struct {
	Outcome Outcome `msg:"outcome"`
	// Index is the command's log index, or that of the first command with
	// the same request id.
	Index uint64 `msg:"index"`
	// Repeated says that this is the result of an earlier command with the same
	// request id.
	Repeated bool `msg:"repeated,omitempty"`
	// SessionID is set by KindOpenSession.
	SessionID uint64 `msg:"session_id,omitempty"`
	// OnceOnly is set by the once-only calls.
	OnceOnly *onceonly.Reply `msg:"once_only,omitempty"`
	Detail   string          `msg:"detail,omitempty"`
}

// Encode returns the command's encoding for the replicated log.
func (c *Command) Encode() ([]byte, error) {
	data, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes a command that Encode encoded.
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

// DecodeResult decodes the result that State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	if _, err := result.UnmarshalMsg(data); err != nil {
		return Result{}, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
