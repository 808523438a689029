package onceonly

import "fmt"

//go:generate go tool msgp -file command.go -o command_gen.go -tests=false -io=false
//msgp:limit arrays:4194304 maps:65536

// Kind selects what a command does.
type Kind string

// Kinds of commands.
const (
	// KindConfigure sets the parameters.
	KindConfigure Kind = "configure"
	// KindClaim requests the right to dispatch a request.
	KindClaim Kind = "claim"
	// KindComplete stores the answer of a dispatched request.
	KindComplete Kind = "complete"
	// KindRelease releases a claim or marks it unknown.
	KindRelease Kind = "release"
	// KindExpireHolder marks the claims of a holder unknown.
	KindExpireHolder Kind = "expire_holder"
	// KindAdvance advances the log time, marks overdue claims unknown and
	// removes entries below the horizon.
	KindAdvance Kind = "advance"
	// KindRefound raises the horizon of a table that replaces a lost one, and
	// rejects opaque keys for RetentionMillis.
	KindRefound Kind = "refound"
)

// Command is one entry of the replicated log. Only the field that belongs to
// Kind is set.
type Command struct {
	Kind Kind `msg:"kind"`
	// TimeMillis is the proposer's clock in Unix milliseconds. The table's log
	// time is the highest value of all commands.
	TimeMillis int64       `msg:"time_ms"`
	Parameters *Parameters `msg:"parameters,omitempty"`
	Claim      *Claim      `msg:"claim,omitempty"`
	Completion *Completion `msg:"completion,omitempty"`
	Release    *Release    `msg:"release,omitempty"`
	Holder     string      `msg:"holder,omitempty"`
}

// Parameters are the table's limits and durations.
type Parameters struct {
	// RetentionMillis is the minimum time for which a claim is stored, counted
	// from the key's minting time, or for an opaque key from its last claim.
	RetentionMillis int64 `msg:"retention_ms"`
	// ClaimMillis is the log time after which a claim in progress is marked
	// unknown.
	ClaimMillis int64 `msg:"claim_ms"`
	// FutureMillis is how far a key's minting time may be ahead of the log
	// time.
	FutureMillis int64 `msg:"future_ms"`
	// DispatchMillis is the time after sending the claim in which its holder
	// may dispatch the request; at most a tenth of RetentionMillis.
	DispatchMillis int64 `msg:"dispatch_ms"`
	// Entries is the maximum number of claims; at most 4,194,304.
	Entries int `msg:"entries"`
	// AnswerBytes limits the size of one stored answer, TotalAnswerBytes that
	// of all together.
	AnswerBytes      int   `msg:"answer_bytes"`
	TotalAnswerBytes int64 `msg:"total_answer_bytes"`
}

// DefaultParameters returns the parameters that apply until a KindConfigure
// command.
func DefaultParameters() Parameters {
	const (
		second = 1000
		minute = 60 * second
		hour   = 60 * minute
	)
	return Parameters{
		RetentionMillis:  4 * hour,
		ClaimMillis:      10 * minute,
		FutureMillis:     5 * minute,
		DispatchMillis:   5 * second,
		Entries:          1_000_000,
		AnswerBytes:      16 << 10,
		TotalAnswerBytes: 128 << 20,
	}
}

// Claim requests the right to dispatch a request once.
type Claim struct {
	Tenant string `msg:"tenant"`
	// Key, MintedMillis and Opaque are Rest, MintedMillis and Opaque of the
	// parsed Key.
	Key          string `msg:"key"`
	MintedMillis int64  `msg:"minted_ms"`
	Opaque       bool   `msg:"opaque,omitempty"`
	// BodyHash distinguishes different requests with the same key.
	BodyHash []byte `msg:"body_hash"`
	// AttemptID is unique among all attempts ever made.
	AttemptID string `msg:"attempt_id"`
	// Holder identifies the session whose end marks the claim unknown.
	Holder string `msg:"holder"`
}

// Completion stores the answer to the request that attempt AttemptID
// dispatched.
type Completion struct {
	Tenant    string `msg:"tenant"`
	Key       string `msg:"key"`
	AttemptID string `msg:"attempt_id"`
	Answer    Answer `msg:"answer"`
}

// Answer is the back end's answer to a request.
type Answer struct {
	Status int    `msg:"status"`
	Body   []byte `msg:"body,omitempty"`
}

// Release ends a claim without an answer.
type Release struct {
	Tenant    string `msg:"tenant"`
	Key       string `msg:"key"`
	AttemptID string `msg:"attempt_id"`
	// NotRun is true if the attempt has not run and never will; another attempt
	// may then claim the key. False marks the claim unknown.
	NotRun bool `msg:"not_run"`
}

// Status is the result of a command.
type Status string

// Statuses of claims.
const (
	// StatusGranted: the attempt may dispatch the request once.
	StatusGranted Status = "granted"
	// StatusInProgress: another attempt holds the claim.
	StatusInProgress Status = "in_progress"
	// StatusAnswered: the request has completed; the reply has its answer.
	StatusAnswered Status = "answered"
	// StatusUnknown: an attempt may have run, but no answer is stored.
	StatusUnknown Status = "unknown"
	// StatusReused: the key was used with a different body.
	StatusReused Status = "reused"
	// StatusExpired: the key is older than the horizon, or opaque and still
	// blocked after a KindRefound command.
	StatusExpired Status = "expired"
	// StatusFull: the table has the maximum number of entries.
	StatusFull Status = "full"
	// StatusInvalid: the command is malformed, or the key's minting time is
	// too far ahead of the log time.
	StatusInvalid Status = "invalid"
	// StatusReleased: this attempt was released before.
	StatusReleased Status = "released"
)

// Statuses of the other commands.
const (
	// StatusDone: the command took effect, or had taken effect before.
	StatusDone Status = "done"
	// StatusRefused: the attempt does not hold the claim, or the claim's state
	// no longer permits the change.
	StatusRefused Status = "refused"
)

// Reply is the result of a command.
type Reply struct {
	Status Status `msg:"status"`
	// DispatchMillis is set with StatusGranted.
	DispatchMillis int64 `msg:"dispatch_ms,omitempty"`
	// Answer is set with StatusAnswered.
	Answer *Answer `msg:"answer,omitempty"`
}

// Encode returns the command's bytes for the replicated log.
func (c *Command) Encode() ([]byte, error) {
	data, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes the output of Encode.
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

// DecodeReply decodes the result of Table.Apply.
func DecodeReply(data []byte) (Reply, error) {
	var reply Reply
	if _, err := reply.UnmarshalMsg(data); err != nil {
		return Reply{}, fmt.Errorf("decode reply: %w", err)
	}
	return reply, nil
}
