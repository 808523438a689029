package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pierhaven/pierhaven/coordination/versioned"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// namedDocument is one encoded document of a complete configuration.
type namedDocument struct {
	kind dynamic.Kind
	name string
	body []byte
}

type documentKey struct {
	kind dynamic.Kind
	name string
}

// documentsOf splits a configuration into documents, ordered so that a document
// comes before those that refer to it.
func documentsOf(snapshot *dynamic.Snapshot) []namedDocument {
	var documents []namedDocument
	for _, model := range snapshot.Models {
		documents = append(documents, encodeDocument(dynamic.KindModel, model.Name, model))
	}
	for _, application := range snapshot.Applications {
		documents = append(documents, encodeDocument(dynamic.KindApplication, application.Name, application))
	}
	for _, tenant := range snapshot.Tenants {
		documents = append(documents, encodeDocument(dynamic.KindTenant, tenant.Name, tenant))
	}
	for _, program := range snapshot.Policies {
		documents = append(documents, encodeDocument(dynamic.KindPolicy, program.Name, program))
	}
	return documents
}

// encodeDocument ignores the encoding error, which can't occur: the types of
// package dynamic contain only values that JSON can represent, and were
// validated when they were decoded.
func encodeDocument(kind dynamic.Kind, name string, document any) namedDocument {
	body, _ := json.Marshal(document)
	return namedDocument{kind: kind, name: name, body: body}
}

// ApplyConfiguration implements operatorapi.Backend.
func (c *Controller) ApplyConfiguration(ctx context.Context, change operatorapi.ConfigurationChange) (operatorapi.ApplyResult, error) {
	result := operatorapi.ApplyResult{RequestID: change.RequestID, Changes: []operatorapi.AppliedDocument{}}
	wanted := documentsOf(&change.Snapshot)
	if err := c.checkDocuments(wanted); err != nil {
		return result, err
	}
	reply, err := c.readDocuments(ctx, "", "")
	if err != nil {
		return result, err
	}
	result.Revision = reply.Revision
	existing := map[documentKey]versioned.Document{}
	for _, document := range reply.Documents {
		if dynamic.Kind(document.Kind) == kindZoneGroup {
			continue
		}
		existing[documentKey{dynamic.Kind(document.Kind), document.Name}] = document
	}
	for _, document := range wanted {
		current, found := existing[documentKey{document.kind, document.name}]
		delete(existing, documentKey{document.kind, document.name})
		if found && bytes.Equal(current.Body, document.body) {
			result.Unchanged++
			continue
		}
		if err := c.applyDocument(ctx, &result, document, current.Revision, found); err != nil {
			return result, err
		}
	}
	if change.Prune {
		return result, c.prune(ctx, &result, existing)
	}
	return result, nil
}

// checkDocuments reports the errors of all documents at once.
func (c *Controller) checkDocuments(documents []namedDocument) error {
	var text string
	seen := map[documentKey]bool{}
	for _, document := range documents {
		key := documentKey{document.kind, document.name}
		_, pinned, err := checkDocument(document.kind, document.name, document.body)
		switch {
		case err != nil:
		case seen[key]:
			err = failure.New(failure.InvalidDocument, "stands twice")
		case document.kind == dynamic.KindTenant && !c.isZone(pinned):
			err = failure.New(failure.InvalidDocument, fmt.Sprintf("home_zone: there is no zone %q", pinned))
		}
		seen[key] = true
		if err != nil {
			text += fmt.Sprintf("%s %q: %v\n", document.kind, document.name, err)
		}
	}
	if text != "" {
		return failure.New(failure.InvalidDocument, text[:len(text)-1])
	}
	return nil
}

// applyDocument submits or replaces one document. If the name of a submitted
// document belonged to a withdrawn one, the conflict result has the revision to
// expect, and the submission is repeated with it.
func (c *Controller) applyDocument(ctx context.Context, result *operatorapi.ApplyResult, document namedDocument, revision uint64, found bool) error {
	_, pinned, err := checkDocument(document.kind, document.name, document.body)
	if err != nil {
		return err
	}
	operation, applied := versioned.OperationPut, operatorapi.OperationSubmit
	if found {
		operation, applied = versioned.OperationReplace, operatorapi.OperationReplace
	}
	command := versioned.Command{
		Operation: operation, Kind: string(document.kind), Name: document.name,
		ExpectedRevision: revision, Body: document.body, Pinned: pinned,
	}
	command.RequestID = applyRequestID(result.RequestID, &command)
	outcome, err := c.proposeConfig(ctx, command)
	if err == nil && !found && outcome.Outcome == versioned.OutcomeConflict && outcome.Deleted {
		command.ExpectedRevision = outcome.DocumentRevision
		command.RequestID = applyRequestID(result.RequestID, &command)
		outcome, err = c.proposeConfig(ctx, command)
	}
	return recordChange(result, &command, applied, outcome, err)
}

func (c *Controller) prune(ctx context.Context, result *operatorapi.ApplyResult, surplus map[documentKey]versioned.Document) error {
	var documents []versioned.Document
	for _, document := range surplus {
		documents = append(documents, document)
	}
	slices.SortFunc(documents, func(a, b versioned.Document) int {
		return bytes.Compare([]byte(a.Kind+"/"+a.Name), []byte(b.Kind+"/"+b.Name))
	})
	for _, document := range documents {
		command := versioned.Command{
			Operation: versioned.OperationDelete, Kind: document.Kind, Name: document.Name,
			ExpectedRevision: document.Revision,
		}
		command.RequestID = applyRequestID(result.RequestID, &command)
		outcome, err := c.proposeConfig(ctx, command)
		if err := recordChange(result, &command, operatorapi.OperationWithdraw, outcome, err); err != nil {
			return err
		}
	}
	return nil
}

// applyRequestID derives the request ID of one change from that of the whole
// configuration. A repeated request that finds the document at the same revision
// gets the same ID.
func applyRequestID(requestID string, command *versioned.Command) string {
	return fmt.Sprintf("%s/%x", requestID, hashOf(fmt.Sprintf("%s/%s/%s/%d", command.Operation, command.Kind, command.Name, command.ExpectedRevision)))
}

func recordChange(result *operatorapi.ApplyResult, command *versioned.Command, operation operatorapi.Operation, outcome versioned.Result, err error) error {
	if err != nil {
		return err
	}
	if err := changeError(command, &outcome); err != nil {
		return err
	}
	result.Revision = max(result.Revision, outcome.DocumentRevision)
	result.Changes = append(result.Changes, operatorapi.AppliedDocument{
		Kind: dynamic.Kind(command.Kind), Name: command.Name, Operation: operation, Revision: outcome.DocumentRevision,
	})
	return nil
}
