package relay

import (
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Dialect reads and writes the header fields and bodies by which callers, gateways and replicas
// exchange metadata of a request. It makes no decisions.
type Dialect interface {
	// ReadRequestMetadata reads the metadata of a caller's request. get returns the value of a header field,
	// empty if there is none.
	ReadRequestMetadata(get func(name string) string) RequestMetadata
	// SetsField reports whether the gateway sets a request's field itself, so that the caller's value is
	// not forwarded.
	SetsField(name string) bool
	// Fields returns the fields to send with one send.
	Fields(send Send) []upstream.Field
	// ReadResponseMetadata reads the metadata of a replica's response.
	ReadResponseMetadata(header http.Header) ResponseMetadata
	// Leaving reports whether a response says that its replica takes no new work until its process
	// ends.
	Leaving(header http.Header) bool
	// ReadHandle reads the response to a prefill for another replica, or to a move.
	ReadHandle(body []byte) (id string, err error)
	// Move returns the request by which the replica that runs a request copies its memory to another
	// replica's address and, with last set, stops it. ReadHandle reads the response. MoveFields
	// returns the header fields of that request.
	Move(id, address string, last bool) (method, path string, body []byte)
	MoveFields(instance string) []upstream.Field
	// FreeHandle returns the method and path that free a handle.
	FreeHandle(id string) (method, path string)
}

// RequestMetadata is the metadata of a caller's request.
type RequestMetadata struct {
	// ID is the request ID.
	ID string
	// Wait is how long the caller waits, 0 if it does not say.
	Wait time.Duration
	// Prompt is nil for requests that are not for model engines.
	Prompt *Prompt
	// Tokens is the number of tokens of prompt and answer together that the caller gives, 0 if none.
	Tokens float64
	// LastEvent is the ID of the last event that the caller has of an interrupted stream, empty for a
	// new stream.
	LastEvent string
	// Resumes is the ID of the caller's request that brought the first event of an interrupted stream, empty if it names none.
	Resumes string
	// Key is the caller's API key, empty if it sent none. It is never logged.
	Key string
}

// Prompt describes the prompt of a model request.
type Prompt struct {
	Tokens int
	// MaximumOutput bounds the tokens that may be generated.
	MaximumOutput int
	// Parts are the parts of the prompt in order; all but the last may be shared with other prompts.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Send describes one sending of a request to a replica.
type Send struct {
	// Instance is the only incarnation that may run the request.
	Instance string
	// Tenant is the name of the caller's tenant, empty if it has none.
	Tenant string
	// TimeLeft is the time that the replica has.
	TimeLeft time.Duration
	// PrefillOnly asks the replica to prefill the prompt without running the request.
	PrefillOnly bool
	// PrefillSource is the address of the replica that has prefilled the prompt, with the handle; empty if
	// there is none.
	PrefillSource string
	// Fetch is the address of a replica that has the beginning of the prompt cached; empty if all of
	// it is to be prefilled.
	Fetch string
	// LastEvent is the ID of the event after which a stream continues.
	LastEvent string
	// Moved is set if the stream continues from the memory that PrefillSource names, as the same run.
	Moved bool
	// Rank orders the prompts and streams of a model replica, from 0 (first) to LastRank (last). It
	// counts only if Ranked is set.
	Ranked bool
	Rank   int
}

// LastRank is the rank of work that waits for all other work.
const LastRank = 9

// ResponseMetadata is the metadata of a replica's response.
type ResponseMetadata struct {
	// RequestID is the ID of the request that was answered, empty if not given.
	RequestID string
	// NotRun is set if the replica has not run the request and will not run it later.
	NotRun bool
	// Sealed marks the response of a replica that has run the request.
	Sealed bool
	// Load is nil if the replica does not report it.
	Load *Load
	// Limit is the rate limit that the replica declares.
	Limit RateLimit
}

// Load is a replica's own report of its work.
type Load struct {
	Running, Waiting, Slots int
}
