package versioned

import "fmt"

//go:generate go tool msgp -file command.go -o command_gen.go -tests=false -io=false
//msgp:limit arrays:1048576 maps:65536

// Operation selects what a command does.
type Operation string

// Operations.
const (
	// OperationPut creates a document that does not exist or was deleted.
	OperationPut Operation = "put"
	// OperationReplace replaces the body of a document.
	OperationReplace Operation = "replace"
	// OperationDelete removes a document and leaves a tombstone.
	OperationDelete Operation = "delete"
	// OperationImport fills an empty store from a copy, after the group that
	// stored the documents has lost the majority of its disks.
	OperationImport Operation = "import"
)

// Command is one change in the replicated log.
type Command struct {
	Operation Operation `msg:"operation"`
	// RequestID is the operator's id of the request; a resent request gets the
	// first result.
	RequestID string `msg:"request_id"`
	Kind      string `msg:"kind"`
	Name      string `msg:"name"`
	// ExpectedRevision is the document's revision that the change is based on.
	// For a put it is 0 if the name has never been used, and otherwise the
	// revision at which the earlier document was deleted.
	ExpectedRevision uint64 `msg:"expected_revision"`
	Body             []byte `msg:"body,omitempty"`
	// Pinned is a property that no later change may alter, not even by deleting
	// and creating the document again; empty means none.
	Pinned string `msg:"pinned,omitempty"`
	// BaseRevision and Documents belong to an import: the store's revisions
	// continue above BaseRevision.
	BaseRevision uint64     `msg:"base_revision,omitempty"`
	Documents    []Document `msg:"documents,omitempty"`
}

// Document is one named document.
type Document struct {
	Kind string `msg:"kind"`
	Name string `msg:"name"`
	// Revision is the store's revision of the document's last change.
	Revision uint64 `msg:"revision"`
	Body     []byte `msg:"body,omitempty"`
	Pinned   string `msg:"pinned,omitempty"`
	// Deleted marks a tombstone; its Body is empty.
	Deleted bool `msg:"deleted,omitempty"`
}

// Outcome is the kind of result of a command.
type Outcome string

// Outcomes.
const (
	// OutcomeApplied: the change was applied.
	OutcomeApplied Outcome = "applied"
	// OutcomeConflict: the document's revision is not the expected one, the
	// document to put exists, or the store to import into is not empty.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotFound: there is no such document to replace or delete.
	OutcomeNotFound Outcome = "not_found"
	// OutcomePinned: the change would alter a pinned property.
	OutcomePinned Outcome = "pinned"
	// OutcomeRequestReused: the request id was used for a different change.
	OutcomeRequestReused Outcome = "request_reused"
	// OutcomeFull: the change would exceed a limit of the store.
	OutcomeFull Outcome = "full"
	// OutcomeMalformed: the command can't be decoded, is incomplete, or has a
	// field over its limit.
	OutcomeMalformed Outcome = "malformed"
)

// Result is the answer to a command.
type Result struct {
	Outcome Outcome `msg:"outcome"`
	// DocumentRevision is the document's revision after the command, also when
	// the command was rejected; 0 if the name has never been used. For an
	// import it is the store's revision.
	DocumentRevision uint64 `msg:"document_revision"`
	// Deleted is true if DocumentRevision is that of a tombstone.
	Deleted bool `msg:"deleted,omitempty"`
	// StoreRevision is the revision of the whole store after the command.
	StoreRevision uint64 `msg:"store_revision"`
	// Repeated is true if the result is the stored one of an earlier command
	// with the same request id.
	Repeated bool `msg:"repeated,omitempty"`
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

// DecodeResult decodes the result of Store.Apply.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	if _, err := result.UnmarshalMsg(data); err != nil {
		return Result{}, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
