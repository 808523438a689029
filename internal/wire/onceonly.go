package wire

//msgp:limit arrays:65536 maps:65536

// ClaimRequest requests from the home zone's group the right to dispatch a
// non-repeatable request once.
type ClaimRequest struct {
	// Zone is the gateway's zone, whose group keeps the session.
	Zone      string `msg:"zone"`
	SessionID uint64 `msg:"session_id"`
	GatewayID string `msg:"gateway_id"`
	Tenant    string `msg:"tenant"`
	Key       string `msg:"key"`
	// BodyHash is the SHA-256 of application, operation and body.
	BodyHash  []byte `msg:"body_hash,limit=2147483647"`
	AttemptID string `msg:"attempt_id"`
}

// ClaimStatus is the state of a key.
type ClaimStatus string

// Outcomes of a claim.
const (
	// ClaimGranted: the caller of the claim, and only it, may dispatch once.
	ClaimGranted ClaimStatus = "granted"
	// ClaimInProgress: another attempt holds the claim.
	ClaimInProgress ClaimStatus = "in_progress"
	// ClaimAnswered: the run has ended; the stored answer is in the reply.
	ClaimAnswered ClaimStatus = "answered"
	// ClaimUnknown: the holder of the claim was lost; its run may have taken
	// place.
	ClaimUnknown ClaimStatus = "unknown"
	// ClaimReused: the key was used with another body.
	ClaimReused ClaimStatus = "reused"
	// ClaimExpired: the key is older than the retention window.
	ClaimExpired ClaimStatus = "expired"
	// ClaimFull: the table has reached its maximum size; nothing was recorded.
	ClaimFull ClaimStatus = "full"
	// ClaimInvalid: the key is not well formed, was minted too far in the
	// future, or belongs to another zone; nothing was recorded.
	ClaimInvalid ClaimStatus = "invalid"
	// ClaimNotReady: the gateway's session has ended or the tenant is not
	// known to the zone group yet; nothing was recorded.
	ClaimNotReady ClaimStatus = "not_ready"
	// ClaimReleased: this attempt's claim was released before; use a new
	// attempt id.
	ClaimReleased ClaimStatus = "released"
)

// ClaimReply answers a claim. A granted claim must be dispatched within
// DispatchMillis of the moment its request was sent, or not at all.
type ClaimReply struct {
	Status         ClaimStatus `msg:"status"`
	DispatchMillis int64       `msg:"dispatch_ms"`
	AnswerStatus   int         `msg:"answer_status"`
	AnswerBody     []byte      `msg:"answer_body,omitempty,limit=2147483647"`
}

// CompleteRequest stores the answer of the run that AttemptID made.
type CompleteRequest struct {
	Tenant       string `msg:"tenant"`
	Key          string `msg:"key"`
	AttemptID    string `msg:"attempt_id"`
	AnswerStatus int    `msg:"answer_status"`
	AnswerBody   []byte `msg:"answer_body,omitempty,limit=2147483647"`
}

// CompleteReply says whether the answer was stored.
type CompleteReply struct {
	Stored bool `msg:"stored"`
}

// ReleaseRequest releases a claim because its attempt provably has not run and
// never will, or marks it unknown for good.
type ReleaseRequest struct {
	Tenant    string `msg:"tenant"`
	Key       string `msg:"key"`
	AttemptID string `msg:"attempt_id"`
	// NotRun is true if the attempt was never dispatched or was rejected before
	// running; false marks the outcome unknown.
	NotRun bool `msg:"not_run"`
}

// ReleaseReply says whether the attempt's claim is now released or marked unknown
// as requested, by this request or an earlier one. A release with NotRun may
// arrive before its claim, which is then rejected.
type ReleaseReply struct {
	Released bool `msg:"released"`
}
