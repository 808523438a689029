// Package applicationapi holds the JSON messages between pierhaven and an
// application back end, whose calls may not be repeated.
package applicationapi

// PathRun takes RunRequest; the operation's name is the last path element.
const PathRun = "/application/v1/run"

// PathState reports the back end's state.
const PathState = "/application/v1/state"

// Phase is the back end's own account of itself.
type Phase string

// Phases of an application back end.
const (
	PhaseServing Phase = "serving"
	PhaseLeaving Phase = "leaving"
)

// RunRequest asks for one run of a non-repeatable operation.
type RunRequest struct {
	AttemptID      string `json:"attempt_id"`
	RequestID      string `json:"request_id"`
	Tenant         string `json:"tenant"`
	Application    string `json:"application"`
	Operation      string `json:"operation"`
	IdempotencyKey string `json:"idempotency_key"`
	Body           []byte `json:"body"`
}

// RunReply is the whole answer of a run. AttemptID repeats the request's.
type RunReply struct {
	AttemptID string `json:"attempt_id"`
	// Status is the HTTP status to hand to the caller.
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Refusal is the body of a 409 or 503 answer: the request has not run.
type Refusal struct {
	AttemptID string `json:"attempt_id"`
	Reason    string `json:"reason"`
}

// State answers PathState.
type State struct {
	BackEndID    string   `json:"back_end_id"`
	Incarnation  uint64   `json:"incarnation"`
	Phase        Phase    `json:"phase"`
	Applications []string `json:"applications"`
	Running      int      `json:"running"`
}
