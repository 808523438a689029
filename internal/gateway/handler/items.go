package handler

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/application"
	"github.com/pierhaven/pierhaven/internal/gateway/batch"
	"github.com/pierhaven/pierhaven/internal/gateway/completion"
	"github.com/pierhaven/pierhaven/internal/gateway/forward"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
	"github.com/pierhaven/pierhaven/internal/request"
)

// batchPriority is the highest priority of a batch's items: below that of any
// request that somebody waits for.
const batchPriority = -10

// Items runs the items of batches through the same steps as requests of their
// own.
type Items struct {
	runner       *completion.Runner
	applications *application.Runner
	forwarder    *forward.Forwarder
	zones        Zones
	clock        func() time.Duration
	// deadline bounds one try of an item.
	deadline time.Duration
}

// NewItems returns the executor of batches' items.
func NewItems(runner *completion.Runner, applications *application.Runner, forwarder *forward.Forwarder,
	zones Zones, clock func() time.Duration, deadline time.Duration,
) *Items {
	return &Items{
		runner:       runner,
		applications: applications,
		forwarder:    forwarder,
		zones:        zones,
		clock:        clock,
		deadline:     deadline,
	}
}

// Execute implements batch.Executor.
func (e *Items) Execute(ctx context.Context, owner batch.Owner, requestID string, item callerapi.BatchItem) batch.Result {
	scope := owner.Scope
	scope.RequestID = requestID
	scope.Deadline = e.clock() + e.deadline
	scope.Priority = min(scope.Priority, 0) + batchPriority
	switch {
	case item.URL == callerapi.PathChatCompletions:
		return e.chat(ctx, &scope, item)
	case item.URL == callerapi.PathCompletions:
		return e.complete(ctx, &scope, item)
	case strings.HasPrefix(item.URL, callerapi.PathApplications):
		return e.apply(ctx, &scope, owner, item)
	default:
		return failedItem(failure.New(failure.NotFound, "url: batches do not take "+item.URL))
	}
}

func failedItem(err error) batch.Result {
	answer := failure.AnswerFor(err)
	return batch.Result{Failure: &answer}
}

func (e *Items) chat(ctx context.Context, scope *middleware.Scope, item callerapi.BatchItem) batch.Result {
	body, err := callerapi.DecodeChat(item.Body)
	if err != nil {
		return failedItem(failure.Wrap(err, failure.MalformedRequest))
	}
	call, err := NewCall(scope, body.Model, body.Adapter, callerapi.EnginePrompt(body.Messages), body.MaxTokens)
	if err != nil {
		return failedItem(err)
	}
	return e.runModel(ctx, call, newChatFormat(call))
}

func (e *Items) complete(ctx context.Context, scope *middleware.Scope, item callerapi.BatchItem) batch.Result {
	body, err := callerapi.DecodeCompletion(item.Body)
	if err != nil {
		return failedItem(failure.Wrap(err, failure.MalformedRequest))
	}
	call, err := NewCall(scope, body.Model, body.Adapter, body.Prompt, body.MaxTokens)
	if err != nil {
		return failedItem(err)
	}
	return e.runModel(ctx, call, newTextFormat(call))
}

func (e *Items) runModel(ctx context.Context, call completion.Call, format Format) batch.Result {
	call.Batch = true
	answer := &itemAnswer{format: format}
	e.runner.Run(ctx, call, answer)
	return answer.result
}

// itemAnswer collects an item's answer.
type itemAnswer struct {
	format Format
	text   strings.Builder
	result batch.Result
}

// Tokens implements completion.Answer.
func (a *itemAnswer) Tokens(tokens []string) error {
	for _, token := range tokens {
		a.text.WriteString(token)
	}
	return nil
}

// Finish implements completion.Answer.
func (a *itemAnswer) Finish(finish request.Finish) error {
	body, err := json.Marshal(a.format.Whole(a.text.String(), finish))
	if err != nil {
		a.result = failedItem(failure.Wrap(err, failure.Internal))
		return err
	}
	a.result = batch.Result{Status: http.StatusOK, Body: body}
	return nil
}

// Fail implements completion.Answer.
func (a *itemAnswer) Fail(answer failure.Answer) {
	a.result = batch.Result{Failure: &answer}
}

// apply runs an application call of a batch.
func (e *Items) apply(ctx context.Context, scope *middleware.Scope, owner batch.Owner, item callerapi.BatchItem) batch.Result {
	name, operationName, _ := strings.Cut(strings.TrimPrefix(item.URL, callerapi.PathApplications), "/")
	operation := scope.Configuration.Operation(name, operationName)
	if operation == nil {
		return failedItem(failure.New(failure.UnknownApplication, "there is no operation "+name+"/"+operationName))
	}
	call := application.Call{
		RequestID:   scope.RequestID,
		Tenant:      scope.Tenant.Name,
		Application: name,
		Operation:   operationName,
		Body:        item.Body,
		Deadline:    scope.Deadline,
	}
	if operation.Repeatable {
		return itemResult(e.applications.RunRepeatable(ctx, call))
	}
	key, err := ParseKey(item.IdempotencyKey, scope.Tenant, e.zones)
	if err != nil {
		return failedItem(err)
	}
	if key.Zone != e.zones.Own {
		return e.forward(ctx, scope, owner, key.Zone, item)
	}
	call.Key = item.IdempotencyKey
	return itemResult(e.applications.RunOnce(ctx, call))
}

func itemResult(answer application.Answer) batch.Result {
	return batch.Result{Status: answer.Status, Body: answer.Body, Failure: answer.Failure}
}

// forward runs an item in the home zone of its key.
func (e *Items) forward(ctx context.Context, scope *middleware.Scope, owner batch.Owner, zone string, item callerapi.BatchItem) batch.Result {
	reply, outcome := e.forwarder.Exchange(ctx, forward.Request{
		Method:         http.MethodPost,
		Path:           item.URL,
		Body:           item.Body,
		Authorization:  owner.Authorization,
		RequestID:      scope.RequestID,
		IdempotencyKey: item.IdempotencyKey,
		Priority:       scope.Priority,
		Deadline:       scope.Deadline,
	}, zone)
	switch {
	case outcome.Answered:
		return forwardedResult(reply)
	case outcome.HandedOver:
		return failedItem(failure.New(failure.OutcomeUnknown, "the home zone "+zone+" did not answer: "+outcome.Detail))
	default:
		return failedItem(failure.New(failure.HomeZoneUnreachable, "no gateway of "+zone+" can be reached: "+outcome.Detail,
			failure.WithRan(failure.RanUnknown)))
	}
}

// forwardedResult tells another gateway's refusal from an application's answer.
func forwardedResult(reply forward.Reply) batch.Result {
	var body failure.Body
	isFailure := reply.Status >= http.StatusBadRequest && json.Unmarshal(reply.Body, &body) == nil &&
		failure.Lookup(body.Error.Type).Kind == body.Error.Type
	if !isFailure {
		return batch.Result{Status: reply.Status, Body: reply.Body}
	}
	return batch.Result{Failure: &failure.Answer{
		Kind:       body.Error.Type,
		Status:     reply.Status,
		Ran:        body.Error.Ran,
		Repeatable: body.Error.Repeatable,
		RetryAfter: time.Duration(body.Error.RetryAfterMillis) * time.Millisecond,
		Message:    body.Error.Message,
	}}
}
