package relay

import (
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Dialect reads and writes the header fields and the bodies by which callers,
// gateways and replicas tell each other about a request. It decides nothing.
type Dialect interface {
	// ReadTerms reads what the caller says about its request. get returns the
	// value of a header field, empty if there is none.
	ReadTerms(get func(name string) string) Terms
	// Sets reports whether a request's field is set by the gateway itself, so
	// that the caller's is not passed along.
	Sets(name string) bool
	// Fields returns the fields that go with one send.
	Fields(send Send) []upstream.Field
	// ReadMarks reads what a replica says about its answer.
	ReadMarks(header http.Header) Marks
	// Leaving reports whether a replica says with an answer that it takes nothing new, until its life ends.
	Leaving(header http.Header) bool
	// ReadHandle reads the answer to a prompt that was read for another replica.
	ReadHandle(body []byte) (id string, err error)
	// Move returns the call by which the replica that runs a request copies its memory to
	// another at an address, and stops it there if it is the last call; ReadHandle reads
	// the answer. MoveFields are the call's header fields.
	Move(id, address string, last bool) (method, path string, body []byte)
	MoveFields(instance string) []upstream.Field
	// FreeHandle returns the method and path that free a handle.
	FreeHandle(id string) (method, path string)
}

// Terms are what a caller says about its request.
type Terms struct {
	// ID is the request's own.
	ID string
	// Wait is how long the caller waits, 0 if it does not say.
	Wait time.Duration
	// Prompt is nil for requests that are not for model engines.
	Prompt *Prompt
	// Tokens are those of prompt and answer together that the caller names, 0 if it names none.
	Tokens float64
	// LastEvent is the last event of an interrupted stream that the caller has;
	// empty for a new stream.
	LastEvent string
	// Key is the caller's API key, empty if it has brought none. It is never logged.
	Key string
}

// Prompt describes the prompt of a model request.
type Prompt struct {
	Tokens int
	// MaximumOutput bounds the tokens that may be generated.
	MaximumOutput int
	// Parts are the prompt's parts in order; all but the last may be shared with
	// other prompts.
	Parts []PromptPart
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Send describes one sending of a request to a replica.
type Send struct {
	// Instance is the incarnation that alone may run the request.
	Instance string
	// Tenant is the name of the caller's tenant, empty if it has none.
	Tenant string
	// Left is the time that the replica has.
	Left time.Duration
	// ReadOnly asks to read the prompt without running the request.
	ReadOnly bool
	// Source is the address and the handle of the replica that has read the
	// prompt; empty if there is none.
	Source string
	// Fetch is the address of a replica that keeps the prompt's beginning; empty
	// to have all of it read.
	Fetch string
	// LastEvent is the event after which a stream continues.
	LastEvent string
	// Moved says that the stream goes on from the memory that Source names: it is the
	// same run.
	Moved bool
	// Rank orders the prompts and streams of a model replica, 0 is first and
	// LastRank last; it counts only if Ranked is set.
	Ranked bool
	Rank   int
}

// LastRank is the rank of what waits for all others.
const LastRank = 9

// Marks are what a replica says about an answer.
type Marks struct {
	// RequestID is the request that it answers, empty if it does not say.
	RequestID string
	// NotRun says that the replica has not run the request and never will.
	NotRun bool
	// Sealed answers come from a replica that has run the request.
	Sealed bool
	// Load is nil if the replica does not tell it.
	Load *Load
	// Limit is what it says of the requests that it takes.
	Limit RateLimit
}

// Load is a replica's own account of its work.
type Load struct {
	Running, Waiting, Slots int
}
