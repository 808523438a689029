package versioned

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Limits are the limits of a store. All replicas of a group must have the same,
// because the results of commands depend on them.
type Limits struct {
	// Documents limits the number of documents and tombstones; tombstones are
	// never removed. Default 20,000, at most 1,048,576.
	Documents int
	// DocumentBytes limits the size of one body. Default 256 KiB, at most 1 MiB.
	DocumentBytes int
	// TotalBytes limits the size of all bodies together. Default 64 MiB.
	TotalBytes int64
	// Requests limits the number of stored request ids. Default 16,384, at most
	// 1,048,576. Removing an id is safe: the applied change has given the
	// document a newer revision than its resend expects, so the resend is
	// rejected as a conflict.
	Requests int
}

const (
	defaultDocuments     = 20_000
	defaultDocumentBytes = 256 << 10
	defaultTotalBytes    = 64 << 20
	defaultRequests      = 16_384
	maximumNameBytes     = 256
	// maximumElements is the decoders' limit for the elements of an array and
	// for the bytes of a body.
	maximumElements = 1 << 20
)

func (l Limits) withDefaults() Limits {
	if l.Documents == 0 {
		l.Documents = defaultDocuments
	}
	if l.DocumentBytes == 0 {
		l.DocumentBytes = defaultDocumentBytes
	}
	if l.TotalBytes == 0 {
		l.TotalBytes = defaultTotalBytes
	}
	if l.Requests == 0 {
		l.Requests = defaultRequests
	}
	l.Documents = min(l.Documents, maximumElements)
	l.DocumentBytes = min(l.DocumentBytes, maximumElements)
	l.Requests = min(l.Requests, maximumElements)
	return l
}

type documentKey struct {
	kind string
	name string
}

// Store is the replicated store of documents.
type Store struct {
	limits Limits
	// baseRevision is added to log positions to form revisions, so that these
	// keep increasing after an import into a new group, whose log starts at the
	// beginning.
	baseRevision uint64
	revision     uint64
	// bytes is the total size of the bodies.
	bytes     int64
	documents map[documentKey]Document
	requests  *requestTable
}

// New returns an empty store.
func New(limits Limits) *Store {
	store := &Store{limits: limits.withDefaults()}
	store.reset()
	return store
}

func (s *Store) reset() {
	s.baseRevision = 0
	s.revision = 0
	s.bytes = 0
	s.documents = make(map[documentKey]Document)
	s.requests = newRequestTable(s.limits.Requests)
}

// Revision returns the revision of the last change, 0 if there was none.
func (s *Store) Revision() uint64 { return s.revision }

// RevisionExcept returns the revision of the last change of a document that is
// not of the given kind, 0 if there was none.
func (s *Store) RevisionExcept(kind string) uint64 {
	last := uint64(0)
	for key, document := range s.documents {
		if key.kind != kind {
			last = max(last, document.Revision)
		}
	}
	return last
}

// Get returns a document or its tombstone.
func (s *Store) Get(kind, name string) (Document, bool) {
	document, found := s.documents[documentKey{kind, name}]
	return document, found
}

// List returns the documents of a kind without tombstones, sorted by name. The
// empty kind lists all, sorted by kind and name.
func (s *Store) List(kind string) []Document {
	var documents []Document
	for key, document := range s.documents {
		if document.Deleted || (kind != "" && key.kind != kind) {
			continue
		}
		documents = append(documents, document)
	}
	sortDocuments(documents)
	return documents
}

func sortDocuments(documents []Document) {
	sort.Slice(documents, func(i, j int) bool {
		if documents[i].Kind != documents[j].Kind {
			return documents[i].Kind < documents[j].Kind
		}
		return documents[i].Name < documents[j].Name
	})
}

// Apply implements replica.StateMachine: it executes an encoded Command and
// returns an encoded Result.
func (s *Store) Apply(index uint64, data []byte) []byte {
	result := s.apply(index, data)
	result.StoreRevision = s.revision
	encoded, err := result.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return encoded
}

func (s *Store) apply(index uint64, data []byte) Result {
	command, err := DecodeCommand(data)
	if err != nil || !command.wellFormed(s.limits) {
		return Result{Outcome: OutcomeMalformed}
	}
	hash := command.hash()
	if earlier, found := s.requests.find(command.RequestID); found {
		if earlier.CommandHash != hash {
			return Result{Outcome: OutcomeRequestReused}
		}
		earlier.Result.Repeated = true
		return earlier.Result
	}
	result := s.execute(index, &command)
	s.requests.add(storedResult{RequestID: command.RequestID, CommandHash: hash, Result: result})
	return result
}

// hash covers the requested change without the revision that it is based on: an
// operator who resends a change after its answer was lost may have read the
// document again in between, and must get the first answer.
func (c *Command) hash() uint64 {
	unconditional := *c
	unconditional.ExpectedRevision = 0
	data, err := unconditional.MarshalMsg(nil)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (c *Command) wellFormed(limits Limits) bool {
	if c.RequestID == "" || len(c.RequestID) > maximumNameBytes {
		return false
	}
	if len(c.Body) > limits.DocumentBytes || len(c.Pinned) > maximumNameBytes {
		return false
	}
	if c.Operation == OperationImport {
		return true
	}
	return c.Kind != "" && c.Name != "" && len(c.Kind) <= maximumNameBytes && len(c.Name) <= maximumNameBytes
}

func (s *Store) execute(index uint64, command *Command) Result {
	switch command.Operation {
	case OperationPut:
		return s.put(index, command)
	case OperationReplace:
		return s.replace(index, command)
	case OperationDelete:
		return s.delete(index, command)
	case OperationImport:
		return s.importDocuments(index, command)
	default:
		return Result{Outcome: OutcomeMalformed}
	}
}

func (s *Store) put(index uint64, command *Command) Result {
	current, found := s.Get(command.Kind, command.Name)
	if found && !current.Deleted || current.Revision != command.ExpectedRevision {
		return rejected(OutcomeConflict, current)
	}
	if current.Pinned != "" && current.Pinned != command.Pinned {
		return rejected(OutcomePinned, current)
	}
	if !found && len(s.documents) >= s.limits.Documents {
		return rejected(OutcomeFull, current)
	}
	return s.store(index, command, current, command.Pinned)
}

func (s *Store) replace(index uint64, command *Command) Result {
	current, found := s.Get(command.Kind, command.Name)
	if !found || current.Deleted {
		return rejected(OutcomeNotFound, current)
	}
	if current.Revision != command.ExpectedRevision {
		return rejected(OutcomeConflict, current)
	}
	if current.Pinned != command.Pinned {
		return rejected(OutcomePinned, current)
	}
	return s.store(index, command, current, current.Pinned)
}

func (s *Store) delete(index uint64, command *Command) Result {
	current, found := s.Get(command.Kind, command.Name)
	if !found || current.Deleted {
		return rejected(OutcomeNotFound, current)
	}
	if current.Revision != command.ExpectedRevision {
		return rejected(OutcomeConflict, current)
	}
	s.bytes -= int64(len(current.Body))
	current.Body = nil
	current.Deleted = true
	return s.commit(index, current)
}

func (s *Store) store(index uint64, command *Command, current Document, pinned string) Result {
	bytes := s.bytes + int64(len(command.Body)) - int64(len(current.Body))
	if bytes > s.limits.TotalBytes {
		return rejected(OutcomeFull, current)
	}
	s.bytes = bytes
	return s.commit(index, Document{Kind: command.Kind, Name: command.Name, Body: command.Body, Pinned: pinned})
}

func (s *Store) commit(index uint64, document Document) Result {
	s.revision = s.baseRevision + index
	document.Revision = s.revision
	s.documents[documentKey{document.Kind, document.Name}] = document
	return Result{Outcome: OutcomeApplied, DocumentRevision: document.Revision, Deleted: document.Deleted}
}

func rejected(outcome Outcome, current Document) Result {
	return Result{Outcome: outcome, DocumentRevision: current.Revision, Deleted: current.Deleted}
}

func (s *Store) importDocuments(index uint64, command *Command) Result {
	if s.revision != 0 {
		return Result{Outcome: OutcomeConflict}
	}
	if len(command.Documents) > s.limits.Documents {
		return Result{Outcome: OutcomeFull}
	}
	s.baseRevision = command.BaseRevision
	s.revision = s.baseRevision + index
	for _, document := range command.Documents {
		s.bytes += int64(len(document.Body))
		s.documents[documentKey{document.Kind, document.Name}] = document
	}
	return Result{Outcome: OutcomeApplied, DocumentRevision: s.revision}
}

// Snapshot implements replica.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	snapshot := storeSnapshot{
		Format:   snapshotFormat,
		Base:     s.baseRevision,
		Revision: s.revision,
		Bytes:    s.bytes,
		Requests: s.requests.list(),
	}
	for _, document := range s.documents {
		snapshot.Documents = append(snapshot.Documents, document)
	}
	sortDocuments(snapshot.Documents)
	data, err := snapshot.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore implements replica.StateMachine.
func (s *Store) Restore(data []byte) error {
	if len(data) == 0 {
		s.reset()
		return nil
	}
	var snapshot storeSnapshot
	if _, err := snapshot.UnmarshalMsg(data); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if snapshot.Format != snapshotFormat {
		return fmt.Errorf("snapshot has format %d, want %d", snapshot.Format, snapshotFormat)
	}
	s.reset()
	s.baseRevision = snapshot.Base
	s.revision = snapshot.Revision
	s.bytes = snapshot.Bytes
	for _, document := range snapshot.Documents {
		s.documents[documentKey{document.Kind, document.Name}] = document
	}
	for _, result := range snapshot.Requests {
		s.requests.add(result)
	}
	return nil
}
