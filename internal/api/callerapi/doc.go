// Package callerapi holds the messages between pierhaven and its callers: the
// OpenAI-compatible completions interface, application calls, and batches.
// docs/protocols/callers.md describes it for people.
package callerapi

// Paths of the callers' interface. Names in braces are path parameters.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathModels          = "/v1/models"
	// PathApplications is followed by the application's and the operation's
	// names.
	PathApplications    = "/v1/applications/"
	PathIdempotencyKeys = "/v1/idempotency-keys"
	PathBatches         = "/v1/batches"
)

// Headers of the callers' interface.
const (
	HeaderAuthorization  = "Authorization"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the time that the caller gives the whole answer, in
	// milliseconds.
	HeaderDeadline = "Pierhaven-Deadline-Ms"
	// HeaderPriority is a number; higher goes first.
	HeaderPriority   = "Pierhaven-Priority"
	HeaderRetryAfter = "Retry-After"
	// HeaderHop marks a request that another zone's gateway has forwarded.
	HeaderHop = "Pierhaven-Hop"
)

// StreamDone is the data of the event that ends a whole stream. A stream
// without it is not whole.
const StreamDone = "[DONE]"

// StreamErrorEvent is the type of the event that ends a stream which broke
// after text had been sent; its data is a failure.Body.
const StreamErrorEvent = "error"
