package controller

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/versioned"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// proposeConfig commits a command at the config group's leader, which may be
// another controller. The command's request ID makes it safe to send it more than
// once.
func (c *Controller) proposeConfig(ctx context.Context, command versioned.Command) (versioned.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return versioned.Result{}, failure.Wrap(err, failure.Internal, failure.WithRan(failure.RanNo))
	}
	var reply peer.ProposeReply
	call := c.configLeaderCall(func(ctx context.Context, address string) error {
		request := &peer.ProposeRequest{Group: groupNumber(operatorapi.GroupConfig), Command: data}
		return c.client.Call(ctx, address, peer.PathPropose, request, &reply)
	})
	if err := call.run(ctx); err != nil {
		return versioned.Result{}, err
	}
	result, err := versioned.DecodeResult(reply.Result)
	if err != nil {
		return versioned.Result{}, failure.Wrap(err, failure.Internal)
	}
	return result, nil
}

func (c *Controller) configLeaderCall(attempt func(ctx context.Context, address string) error) *leaderCall {
	addresses := c.settings.ConfigVoters
	if c.config != nil {
		addresses = concatUnique([]string{c.config.LeaderAddress()}, c.config.MemberAddresses(), addresses)
	}
	return &leaderCall{
		groupName:  operatorapi.GroupConfig,
		addresses:  addresses,
		searchTime: c.leaderSearchTime(),
		attempt:    attempt,
	}
}

// readDocuments reads documents from the config group's leader.
func (c *Controller) readDocuments(ctx context.Context, kind dynamic.Kind, name string) (*peer.DocumentsReply, error) {
	reply := &peer.DocumentsReply{}
	call := c.configLeaderCall(func(ctx context.Context, address string) error {
		*reply = peer.DocumentsReply{}
		request := &peer.DocumentsRequest{Kind: string(kind), Name: name}
		return c.client.Call(ctx, address, peer.PathDocuments, request, reply)
	})
	return reply, call.run(ctx)
}

// checkDocument decodes and validates a document. It returns the document's
// canonical form and its pinned property, which is the home zone of a tenant and
// empty for other kinds.
func checkDocument(kind dynamic.Kind, name string, data []byte) (body []byte, pinned string, err error) {
	document, err := operatorapi.DecodeDocument(kind, name, data)
	if err != nil {
		return nil, "", err
	}
	switch typed := document.(type) {
	case *dynamic.Policy:
		if _, problems := policy.Compile(*typed); len(problems) > 0 {
			return nil, "", failure.Wrap(problems.OrNil(), failure.InvalidDocument)
		}
	case *dynamic.Tenant:
		pinned = typed.HomeZone
	}
	body, err = json.Marshal(document)
	if err != nil {
		return nil, "", failure.Wrap(err, failure.Internal, failure.WithRan(failure.RanNo))
	}
	return body, pinned, nil
}

// ChangeDocument implements operatorapi.Backend.
func (c *Controller) ChangeDocument(ctx context.Context, kind dynamic.Kind, name string, change operatorapi.DocumentChange) (operatorapi.ChangeResult, error) {
	body, pinned, err := checkDocument(kind, name, change.Document)
	if err != nil {
		return operatorapi.ChangeResult{}, err
	}
	if kind == dynamic.KindTenant && !c.isZone(pinned) {
		return operatorapi.ChangeResult{}, failure.New(failure.InvalidDocument, fmt.Sprintf("home_zone: there is no zone %q", pinned))
	}
	operation := versioned.OperationReplace
	if change.Operation == operatorapi.OperationSubmit {
		operation = versioned.OperationPut
	}
	return c.changeConfig(ctx, versioned.Command{
		Operation:        operation,
		RequestID:        change.RequestID,
		Kind:             string(kind),
		Name:             name,
		ExpectedRevision: change.ExpectedRevision,
		Body:             body,
		Pinned:           pinned,
	})
}

func (c *Controller) isZone(name string) bool {
	for _, zone := range c.settings.Zones {
		if zone == name {
			return true
		}
	}
	return false
}

// WithdrawDocument implements operatorapi.Backend.
func (c *Controller) WithdrawDocument(ctx context.Context, kind dynamic.Kind, name string, withdrawal operatorapi.DocumentWithdrawal) (operatorapi.ChangeResult, error) {
	return c.changeConfig(ctx, versioned.Command{
		Operation:        versioned.OperationDelete,
		RequestID:        withdrawal.RequestID,
		Kind:             string(kind),
		Name:             name,
		ExpectedRevision: withdrawal.ExpectedRevision,
	})
}

func (c *Controller) changeConfig(ctx context.Context, command versioned.Command) (operatorapi.ChangeResult, error) {
	result, err := c.proposeConfig(ctx, command)
	if err != nil {
		return operatorapi.ChangeResult{}, err
	}
	if err := changeError(&command, &result); err != nil {
		return operatorapi.ChangeResult{}, err
	}
	c.logger.Info("configuration changed", "operation", command.Operation, "kind", command.Kind, "name", command.Name,
		"revision", result.DocumentRevision, "repeated", result.Repeated)
	return operatorapi.ChangeResult{
		RequestID: command.RequestID,
		Revision:  result.DocumentRevision,
		Repeated:  result.Repeated,
	}, nil
}

// changeError returns an error for each outcome other than applied. All of these
// outcomes mean that nothing was changed.
func changeError(command *versioned.Command, result *versioned.Result) error {
	newError := func(kind failure.Kind, format string, arguments ...any) error {
		prefix := fmt.Sprintf("%s %q: ", command.Kind, command.Name)
		return failure.New(kind, prefix+fmt.Sprintf(format, arguments...), failure.WithRan(failure.RanNo))
	}
	switch result.Outcome {
	case versioned.OutcomeApplied:
		return nil
	case versioned.OutcomeConflict:
		return newError(failure.RevisionConflict, "%s, expected was revision %d", describeRevision(result), command.ExpectedRevision)
	case versioned.OutcomeNotFound:
		return newError(failure.NotFound, "%s", describeRevision(result))
	case versioned.OutcomePinned:
		return newError(failure.InvalidDocument, "home_zone: can't be changed, not even by withdrawing and submitting")
	case versioned.OutcomeRequestReused:
		return newError(failure.IdempotencyKeyReused, "request id %q was used for another change", command.RequestID)
	case versioned.OutcomeFull:
		return newError(failure.InvalidDocument, "the configuration is at its bound")
	case versioned.OutcomeMalformed:
		return newError(failure.InvalidDocument, "the document or a name is over its bound")
	}
	return newError(failure.Internal, "unknown outcome %q", result.Outcome)
}

func describeRevision(result *versioned.Result) string {
	switch {
	case result.DocumentRevision == 0:
		return "there is no such document"
	case result.Deleted:
		return fmt.Sprintf("it was withdrawn at revision %d", result.DocumentRevision)
	}
	return fmt.Sprintf("it is at revision %d", result.DocumentRevision)
}

// Configuration implements operatorapi.Backend.
func (c *Controller) Configuration(ctx context.Context) (operatorapi.Configuration, error) {
	reply, readError := c.readDocuments(ctx, "", "")
	if readError == nil {
		snapshot, err := assemble(reply.Revision, reply.Documents)
		if err != nil {
			return operatorapi.Configuration{}, failure.Wrap(err, failure.Internal)
		}
		freshness := operatorapi.Freshness{Revision: reply.Revision, Source: operatorapi.SourceLeader}
		return operatorapi.Configuration{Freshness: freshness, Snapshot: *snapshot}, nil
	}
	snapshot, err := c.newestConfiguration()
	if err != nil {
		return operatorapi.Configuration{}, failure.Wrap(err, failure.Internal)
	}
	if snapshot == nil {
		snapshot = &dynamic.Snapshot{}
	}
	return operatorapi.Configuration{Freshness: localFreshness(snapshot, readError), Snapshot: *snapshot}, nil
}

func localFreshness(snapshot *dynamic.Snapshot, problem error) operatorapi.Freshness {
	return operatorapi.Freshness{Revision: snapshot.Revision, Source: operatorapi.SourceCopy, Problem: problem.Error()}
}

// Documents implements operatorapi.Backend.
func (c *Controller) Documents(ctx context.Context, kind dynamic.Kind) (operatorapi.DocumentList, error) {
	reply, readError := c.readDocuments(ctx, "", "")
	if readError != nil {
		return c.listLocalDocuments(kind, readError)
	}
	list := operatorapi.DocumentList{
		Freshness: operatorapi.Freshness{Revision: reply.Revision, Source: operatorapi.SourceLeader},
		Documents: []operatorapi.Document{},
	}
	for _, document := range reply.Documents {
		if document.Kind == string(kind) {
			list.Documents = append(list.Documents, operatorDocument(document))
		}
	}
	return list, nil
}

func operatorDocument(document versioned.Document) operatorapi.Document {
	return operatorapi.Document{
		Kind:      dynamic.Kind(document.Kind),
		Name:      document.Name,
		Revision:  document.Revision,
		Withdrawn: document.Deleted,
		Body:      json.RawMessage(document.Body),
	}
}

// listLocalDocuments lists the documents of this controller's local copy, which
// does not contain their revisions.
func (c *Controller) listLocalDocuments(kind dynamic.Kind, problem error) (operatorapi.DocumentList, error) {
	snapshot, err := c.newestConfiguration()
	if err != nil {
		return operatorapi.DocumentList{}, failure.Wrap(err, failure.Internal)
	}
	if snapshot == nil {
		snapshot = &dynamic.Snapshot{}
	}
	list := operatorapi.DocumentList{Freshness: localFreshness(snapshot, problem), Documents: []operatorapi.Document{}}
	for _, document := range documentsOf(snapshot) {
		if document.kind != kind {
			continue
		}
		list.Documents = append(list.Documents, operatorapi.Document{Kind: kind, Name: document.name, Body: document.body})
	}
	return list, nil
}

// Document implements operatorapi.Backend.
func (c *Controller) Document(ctx context.Context, kind dynamic.Kind, name string) (operatorapi.Document, error) {
	notFound := failure.New(failure.NotFound, fmt.Sprintf("there is no %s %q", kind, name))
	reply, readError := c.readDocuments(ctx, kind, name)
	if readError == nil {
		if len(reply.Documents) == 0 {
			return operatorapi.Document{}, notFound
		}
		return operatorDocument(reply.Documents[0]), nil
	}
	list, err := c.listLocalDocuments(kind, readError)
	if err != nil {
		return operatorapi.Document{}, err
	}
	for _, document := range list.Documents {
		if document.Name == name {
			return document, nil
		}
	}
	return operatorapi.Document{}, readError
}
