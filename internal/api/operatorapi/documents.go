package operatorapi

import (
	"encoding/json"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// Document is one policy, tenant, model or application.
type Document struct {
	Kind dynamic.Kind `json:"kind"`
	Name string       `json:"name"`
	// Revision is that of the document's last change; 0 if only a copy without
	// the documents' revisions could be read.
	Revision uint64 `json:"revision"`
	// Withdrawn is true if the document was withdrawn at Revision. Only the
	// showing of one document tells of withdrawn ones.
	Withdrawn bool `json:"withdrawn"`
	// Body is a dynamic.Policy, Tenant, Model or Application; absent if
	// withdrawn.
	Body json.RawMessage `json:"body,omitempty"`
}

// DocumentList answers a listing of one kind.
type DocumentList struct {
	// Freshness says where the list comes from.
	Freshness Freshness  `json:"freshness"`
	Documents []Document `json:"documents"`
}

// Configuration answers a reading of the whole configuration.
type Configuration struct {
	Freshness Freshness        `json:"freshness"`
	Snapshot  dynamic.Snapshot `json:"snapshot"`
}

// Source says which copy of the configuration was read.
type Source string

// Sources of a configuration.
const (
	// SourceLeader is the config group's leader after a read barrier.
	SourceLeader Source = "leader"
	// SourceCopy is the controller's own durable copy, which may be old.
	SourceCopy Source = "copy"
)

// Freshness says how old an answer about the configuration may be.
type Freshness struct {
	// Revision is the configuration's revision.
	Revision uint64 `json:"revision"`
	Source   Source `json:"source"`
	// Problem says why the leader could not be read, if Source is a copy.
	Problem string `json:"problem,omitempty"`
}

// Operation says whether a change creates a document or changes one.
type Operation string

// Operations of a DocumentChange.
const (
	// OperationSubmit creates a document.
	OperationSubmit Operation = "submit"
	// OperationReplace changes a document.
	OperationReplace Operation = "replace"
	// OperationWithdraw takes a document out of force.
	OperationWithdraw Operation = "withdraw"
)

// DocumentChange submits or replaces a document.
type DocumentChange struct {
	// RequestID names the change; a resend uses the same.
	RequestID string    `json:"request_id" validate:"required,max=128,printascii"`
	Operation Operation `json:"operation" validate:"required,oneof=submit replace"`
	// ExpectedRevision is the document's revision that the operator has seen.
	// A submission expects 0, or the revision of the withdrawal if the name
	// was used before.
	ExpectedRevision uint64          `json:"expected_revision"`
	Document         json.RawMessage `json:"document" validate:"required"`
}

// DocumentWithdrawal takes a document out of force.
type DocumentWithdrawal struct {
	RequestID        string `json:"request_id" validate:"required,max=128,printascii"`
	ExpectedRevision uint64 `json:"expected_revision" validate:"required"`
}

// ChangeResult answers an accepted change: it is durable at a majority of the
// config group.
type ChangeResult struct {
	RequestID string `json:"request_id"`
	// Revision is the document's, and the configuration's, since this change.
	Revision uint64 `json:"revision"`
	// Repeated says that this request id had been answered before.
	Repeated bool `json:"repeated"`
}

// ConfigurationChange makes the configuration equal to a snapshot, by one
// change for each document that differs. Each is a compare-and-set by itself;
// after a failure some may be in force. Sending it again finishes the rest.
type ConfigurationChange struct {
	// RequestID is the first part of each change's request id.
	RequestID string           `json:"request_id" validate:"required,max=64,printascii"`
	Snapshot  dynamic.Snapshot `json:"snapshot"`
	// Prune also withdraws the documents that the snapshot does not have.
	Prune bool `json:"prune"`
}

// ApplyResult answers a ConfigurationChange.
type ApplyResult struct {
	RequestID string `json:"request_id"`
	// Revision is the configuration's after the last change.
	Revision uint64            `json:"revision"`
	Changes  []AppliedDocument `json:"changes"`
	// Unchanged counts the documents that were equal already.
	Unchanged int `json:"unchanged"`
}

// AppliedDocument is one change of an ApplyResult.
type AppliedDocument struct {
	Kind      dynamic.Kind `json:"kind"`
	Name      string       `json:"name"`
	Operation Operation    `json:"operation"`
	Revision  uint64       `json:"revision"`
}

// ChangeStatus says where a revision of the configuration is in force.
type ChangeStatus struct {
	Revision uint64 `json:"revision"`
	// InForce is true if every zone was reached and nothing is missing.
	InForce bool         `json:"in_force"`
	Zones   []ZoneChange `json:"zones"`
	Missing []Missing    `json:"missing"`
}

// ZoneChange is one zone's part of a ChangeStatus.
type ZoneChange struct {
	Zone    string `json:"zone"`
	Reached bool   `json:"reached"`
	// Revision is the one that the zone group has adopted.
	Revision uint64 `json:"revision"`
	// Gateways counts those with an open session, InForce those among them
	// that have this revision or a later one in force.
	Gateways int `json:"gateways"`
	InForce  int `json:"in_force"`
}

// Missing names what does not have a revision in force yet.
type Missing struct {
	Zone string `json:"zone"`
	// Gateway is empty if the whole zone is missing.
	Gateway  string `json:"gateway,omitempty"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}
