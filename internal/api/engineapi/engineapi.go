// Package engineapi holds the JSON messages of the protocol between pierhaven
// and a model engine. The protocol is plain HTTP; streams are server-sent
// events. docs/protocols/engine.md describes it for engine authors.
package engineapi

// Paths of the engine's HTTP interface.
const (
	// PathGenerate runs a request and streams its answer as events.
	PathGenerate = "/engine/v1/generate"
	// PathPrefill reads a prompt and keeps its KV cache for export.
	PathPrefill = "/engine/v1/prefill"
	// PathCancel ends an attempt; it is idempotent.
	PathCancel = "/engine/v1/cancel"
	// PathKVExport serves the KV cache of a finished prefill to another engine.
	PathKVExport = "/engine/v1/kv/export"
	// PathOrder takes a fenced order.
	PathOrder = "/engine/v1/order"
	// PathPrefetch takes a PrefetchRequest.
	PathPrefetch = "/engine/v1/prefetch"
	// PathState reports observed state and load.
	PathState = "/engine/v1/state"
	// PathCacheEvents returns prefix-cache events after a sequence number.
	PathCacheEvents = "/engine/v1/cache-events"
)

// HeaderLoad carries a JSON LoadReport on every answer of an engine.
const HeaderLoad = "Engine-Load"

// Phase is an engine's own account of what it is doing.
type Phase string

// Phases of an engine.
const (
	// PhaseServing accepts work.
	PhaseServing Phase = "serving"
	// PhaseChanging carries out an order and accepts no work.
	PhaseChanging Phase = "changing"
	// PhaseHalfDone came back from a crash in the middle of an order; it
	// accepts no work until a fresh order has been carried out.
	PhaseHalfDone Phase = "half_done"
	// PhaseLeaving accepts no new work and finishes what it has.
	PhaseLeaving Phase = "leaving"
)

// Order tells an engine to take on a configuration. An engine treats an equal
// fence as the same order (and answers with its progress), refuses a lower
// one, and refuses a higher one while another order is being carried out.
type Order struct {
	EngineID string        `json:"engine_id"`
	Fence    Fence         `json:"fence"`
	Target   Configuration `json:"target"`
}

// OrderStatus says what became of an order that was sent.
type OrderStatus string

// Outcomes of sending an order.
const (
	// OrderAccepted: the order is now being carried out.
	OrderAccepted OrderStatus = "accepted"
	// OrderInProgress: the same order was accepted before and is not done.
	OrderInProgress OrderStatus = "in_progress"
	// OrderDone: the same order has been carried out.
	OrderDone OrderStatus = "done"
	// OrderRefusedStale: a higher fence has been seen.
	OrderRefusedStale OrderStatus = "refused_stale"
	// OrderRefusedBusy: another order or running requests stand in the way.
	OrderRefusedBusy OrderStatus = "refused_busy"
	// OrderRefusedInvalid: the order names another engine, no fence, or an
	// incomplete target.
	OrderRefusedInvalid OrderStatus = "refused_invalid"
	// OrderFailed: the engine tried and could not (for example no weights).
	OrderFailed OrderStatus = "failed"
)

// OrderReply answers an Order.
type OrderReply struct {
	Status OrderStatus `json:"status"`
	State  State       `json:"state"`
	Detail string      `json:"detail,omitempty"`
}

// State is what an engine reports about itself.
type State struct {
	EngineID string `json:"engine_id"`
	// Incarnation changes at each start of the engine process.
	Incarnation uint64        `json:"incarnation"`
	Phase       Phase         `json:"phase"`
	Observed    Configuration `json:"observed"`
	// HighestFence is the highest fence obeyed or being obeyed; it survives
	// restarts of the engine.
	HighestFence Fence `json:"highest_fence"`
	// Running counts requests that were accepted and have not ended.
	Running int `json:"running"`
	// Load may lag behind; ReportSequence and AgeMillis say by how much.
	Load LoadReport `json:"load"`
}

// LoadReport is an engine's load at some earlier moment.
type LoadReport struct {
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows by one with each measurement.
	Sequence uint64 `json:"sequence"`
	// AgeMillis is the report's age when it was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// RunningRequests and WaitingRequests count accepted requests.
	RunningRequests int `json:"running_requests"`
	WaitingRequests int `json:"waiting_requests"`
	// WaitingPrefillTokens is prompt work not yet done, in tokens.
	WaitingPrefillTokens int `json:"waiting_prefill_tokens"`
	// DecodeSequences counts sequences that generate a token each step.
	DecodeSequences int `json:"decode_sequences"`
	// KVUsedTokens and KVCapacityTokens are KV cache memory, in tokens.
	KVUsedTokens     int `json:"kv_used_tokens"`
	KVCapacityTokens int `json:"kv_capacity_tokens"`
	// StepMillis is the recent mean duration of a batch step.
	StepMillis float64 `json:"step_ms"`
	// StepsTotal counts batch steps since the start, and StepMillisTotal is the
	// time that they took: what lies between two reports gives the mean step
	// and what was in it, however busy the engine was.
	StepsTotal      uint64  `json:"steps_total"`
	StepMillisTotal float64 `json:"step_ms_total"`
	// PromptTokensTotal and OutputTokensTotal count since the start.
	PromptTokensTotal uint64 `json:"prompt_tokens_total"`
	OutputTokensTotal uint64 `json:"output_tokens_total"`
	Phase             Phase  `json:"phase"`
}

// GenerateRequest starts one attempt at a request.
type GenerateRequest struct {
	// AttemptID is unique for each attempt; every event repeats it.
	AttemptID string `json:"attempt_id"`
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	// Version must be loaded, or the engine refuses with RefusalWrongModel;
	// empty means any version.
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the whole prompt text; the engine counts its tokens with
	// CountTokens.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer, in tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority: higher goes first.
	Priority int `json:"priority"`
	// DeadlineMillis is the time left for the whole answer, 0 for none.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// ResumeOffset is the number of answer tokens that the caller already
	// has; the stream starts with the token at this offset.
	ResumeOffset int `json:"resume_offset,omitempty"`
	// KV names where the KV cache of the prompt can be fetched.
	KV *KVSource `json:"kv,omitempty"`
}

// KVSource names an exported KV cache.
type KVSource struct {
	// Address is the exporting engine's IP:port.
	Address string `json:"address"`
	Handle  string `json:"handle"`
	// Tokens is the size of the cache, in prompt tokens.
	Tokens int `json:"tokens"`
}

// KVExport answers PathKVExport (query parameter: handle); status 404 means
// that the handle is not known or was fetched before. How the cache's bytes
// travel is the engines' own affair.
type KVExport struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// PrefillReply answers PathPrefill, which takes a GenerateRequest.
type PrefillReply struct {
	AttemptID    string   `json:"attempt_id"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"`
	KV           KVSource `json:"kv"`
}

// EventKind tells the events of a generate stream apart.
type EventKind string

// Kinds of stream events.
const (
	// EventAccepted comes first, once the request is queued in the engine.
	EventAccepted EventKind = "accepted"
	// EventPiece carries one or more answer tokens.
	EventPiece EventKind = "piece"
	// EventEnd comes last; without it the answer is not whole.
	EventEnd EventKind = "end"
	// EventError ends a stream that the engine gave up on.
	EventError EventKind = "error"
)

// FinishReason says why an answer ended.
type FinishReason string

// Finish reasons, named as in the OpenAI interface.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// StreamEvent is one event of a generate stream.
type StreamEvent struct {
	Kind      EventKind `json:"kind"`
	AttemptID string    `json:"attempt_id"`
	// Offset is the index of the first token of this piece in the answer.
	Offset int `json:"offset"`
	// Tokens are the piece's tokens; the answer's text is their
	// concatenation.
	Tokens []string `json:"tokens,omitempty"`
	// Version is set on EventAccepted: the model version that answers.
	Version string `json:"version,omitempty"`
	// PromptTokens, CachedTokens and TotalTokens are set on EventEnd.
	PromptTokens int          `json:"prompt_tokens,omitempty"`
	CachedTokens int          `json:"cached_tokens,omitempty"`
	TotalTokens  int          `json:"total_tokens,omitempty"`
	Finish       FinishReason `json:"finish,omitempty"`
	// Refusal is set on EventError.
	Refusal RefusalReason `json:"refusal,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

// RefusalReason says why an engine did not run, or stopped running, a request.
type RefusalReason string

// Reasons of refusal. A refusal with HTTP status 409, 422 or 503 and a Refusal
// body means that the attempt has not run.
const (
	RefusalNotServing RefusalReason = "not_serving"
	RefusalWrongModel RefusalReason = "wrong_model"
	RefusalWrongRole  RefusalReason = "wrong_role"
	RefusalOverloaded RefusalReason = "overloaded"
	RefusalBadRequest RefusalReason = "bad_request"
	RefusalKVMissing  RefusalReason = "kv_missing"
	RefusalCancelled  RefusalReason = "cancelled"
	RefusalPreempted  RefusalReason = "preempted"
	// RefusalDeadline ends a stream whose deadline passed.
	RefusalDeadline RefusalReason = "deadline_exceeded"
)

// Refusal is the body of a refused generate or prefill call.
type Refusal struct {
	AttemptID string        `json:"attempt_id"`
	Reason    RefusalReason `json:"reason"`
	Detail    string        `json:"detail,omitempty"`
}

// CancelRequest ends an attempt.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
	// ExportKV asks the engine to keep the KV cache of the prompt and of the
	// answer so far, so that another engine can go on with the stream.
	ExportKV bool `json:"export_kv,omitempty"`
}

// CancelReply tells whether the attempt was known.
type CancelReply struct {
	Known bool `json:"known"`
	// KV is set if a KV cache was kept; Offset is the number of answer
	// tokens that were generated.
	KV     *KVSource `json:"kv,omitempty"`
	Offset int       `json:"offset,omitempty"`
}

// PrefetchRequest asks an engine to bring a model's weights to its local disk
// ahead of an order. It changes nothing that an order could conflict with.
type PrefetchRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// CacheEventKind says whether a prefix block was stored or evicted.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared: the whole cache is empty (model change or restart).
	CacheCleared CacheEventKind = "cleared"
)

// PrefixBlockTokens is the number of prompt tokens in one cache block.
const PrefixBlockTokens = 64

// CacheEvent tells of one change to an engine's prefix cache. A block is named
// by the chained hash of all prompt blocks up to and including it.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block,omitempty"`
}

// CacheEvents answers PathCacheEvents (query parameters: incarnation, after).
// Sequence numbers may have gaps; a gap means that events were lost. Snapshot
// is set when the engine sends the whole set of blocks instead.
type CacheEvents struct {
	Incarnation  uint64       `json:"incarnation"`
	LastSequence uint64       `json:"last_sequence"`
	Events       []CacheEvent `json:"events,omitempty"`
	Snapshot     []uint64     `json:"snapshot,omitempty"`
}
