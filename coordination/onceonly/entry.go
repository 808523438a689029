package onceonly

import "slices"

//msgp:ignore entryID

//go:generate go tool msgp -file entry.go -o entry_gen.go -tests=false -io=false -unexported
//msgp:limit arrays:4194304 maps:65536

// entryState is the state of one key.
type entryState uint8

const (
	// stateInProgress: the attempt holds the claim and may dispatch the request.
	stateInProgress entryState = iota + 1
	// stateAnswered: the attempt ran; its answer may be stored.
	stateAnswered
	// stateUnknown: the attempt may have run.
	stateUnknown
	// stateReleased: the attempt has not run and never will.
	stateReleased
)

// entry is the record of one key. Only entries that Table.writable returned may
// be modified.
type entry struct {
	Tenant    string     `msg:"tenant"`
	Key       string     `msg:"key"`
	State     entryState `msg:"state"`
	AttemptID string     `msg:"attempt_id"`
	Holder    string     `msg:"holder,omitempty"`
	BodyHash  []byte     `msg:"body_hash"`
	// ClaimedMillis is the log time of the claim.
	ClaimedMillis int64 `msg:"claimed_ms"`
	// AgeMillis is compared with the horizon: the minting time, or for an opaque
	// key the log time of the last claim. If a release arrived before the claim,
	// it is the log time of the release.
	AgeMillis int64 `msg:"age_ms"`
	// Answer is set in stateAnswered unless it was too large or was dropped to
	// stay within TotalAnswerBytes.
	Answer *Answer `msg:"answer,omitempty"`
	// ReleasedAttempts are other attempts that were released, oldest first. Their
	// claims may still be in flight, and must not be granted.
	ReleasedAttempts []string `msg:"given_back,omitempty"`
	// AnsweredMillis is the log time of the completion.
	AnsweredMillis int64 `msg:"answered_ms,omitempty"`
	// captures is the value of Table.captures when the entry was created. An
	// entry that a later capture refers to is replaced by a copy instead of
	// being modified.
	captures uint64 `msg:"-"`
}

// tableSnapshot is the complete state of a Table.
type tableSnapshot struct {
	Format              int        `msg:"format"`
	Parameters          Parameters `msg:"parameters"`
	LogMillis           int64      `msg:"log_ms"`
	HorizonMillis       int64      `msg:"horizon_ms"`
	OpaqueBlockedMillis int64      `msg:"opaque_blocked_ms"`
	// Entries are sorted by tenant and key.
	Entries []*entry `msg:"entries"`
}

// entryID identifies an entry.
type entryID struct {
	Tenant string
	Key    string
}

func (e *entry) id() entryID { return entryID{Tenant: e.Tenant, Key: e.Key} }

// maximumReleasedAttempts limits the released attempts that an entry stores. If
// a released attempt's claim arrives after that many later releases, it may be
// granted although nobody will dispatch the request; the claim then becomes
// unknown when its session ends.
const maximumReleasedAttempts = 16

// recordReleased stores the id of a released attempt. The entry must be
// writable.
func (e *entry) recordReleased(attemptID string) {
	if e.wasReleased(attemptID) {
		return
	}
	if len(e.ReleasedAttempts) >= maximumReleasedAttempts {
		e.ReleasedAttempts = e.ReleasedAttempts[1:]
	}
	e.ReleasedAttempts = append(e.ReleasedAttempts[:len(e.ReleasedAttempts):len(e.ReleasedAttempts)], attemptID)
}

func (e *entry) wasReleased(attemptID string) bool {
	return slices.Contains(e.ReleasedAttempts, attemptID)
}
