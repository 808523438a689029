package handler

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/application"
	"github.com/pierhaven/pierhaven/internal/gateway/forward"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

// Zones says which zones there are and which is this gateway's.
type Zones struct {
	Own   string
	Known func(zone string) bool
}

// Applications serves callerapi.PathApplications.
type Applications struct {
	runner    *application.Runner
	forwarder *forward.Forwarder
	zones     Zones
}

// NewApplications returns the handler.
func NewApplications(runner *application.Runner, forwarder *forward.Forwarder, zones Zones) *Applications {
	return &Applications{runner: runner, forwarder: forwarder, zones: zones}
}

// Handle serves one call.
func (h *Applications) Handle(ctx context.Context, call *app.RequestContext) {
	scope := middleware.ScopeOf(call)
	name, operationName := call.Param("name"), call.Param("operation")
	operation := scope.Configuration.Operation(name, operationName)
	if operation == nil {
		middleware.Refuse(call, failure.New(failure.UnknownApplication, "there is no operation "+name+"/"+operationName))
		return
	}
	asked := application.Call{
		RequestID:   scope.RequestID,
		Tenant:      scope.Tenant.Name,
		Application: name,
		Operation:   operationName,
		Body:        append([]byte(nil), call.Request.Body()...),
		Deadline:    scope.Deadline,
	}
	if operation.Repeatable {
		h.handleRepeatable(ctx, call, scope, asked)
		return
	}
	h.handleOnce(ctx, call, scope, asked)
}

// handleRepeatable runs an operation that only reads here, or in another zone if
// no back end of this one ran it. One that may have run stays: the other zone's
// refusal could say that it had not. A call that was forwarded before goes no
// further.
func (h *Applications) handleRepeatable(ctx context.Context, call *app.RequestContext, scope *middleware.Scope, asked application.Call) {
	answer := h.runner.RunRepeatable(ctx, asked)
	refusal := answer.Failure
	if refusal == nil || scope.Forwarded || refusal.Ran != failure.RanNo || !spills(refusal.Kind) {
		writeApplicationAnswer(call, answer)
		return
	}
	spill(ctx, call, h.forwarder, *refusal)
}

// handleOnce runs an operation that may not be repeated, in the home zone of its
// key.
func (h *Applications) handleOnce(ctx context.Context, call *app.RequestContext, scope *middleware.Scope, asked application.Call) {
	text := string(call.GetHeader(callerapi.HeaderIdempotencyKey))
	key, err := ParseKey(text, scope.Tenant, h.zones)
	if err != nil {
		middleware.Refuse(call, err)
		return
	}
	asked.Key = text
	if key.Zone == h.zones.Own {
		writeApplicationAnswer(call, h.runner.RunOnce(ctx, asked))
		return
	}
	h.forwardOnce(ctx, call, scope, key.Zone)
}

// ParseKey reads the idempotency key of a tenant's call.
func ParseKey(text string, tenant *dynamic.Tenant, zones Zones) (onceonly.Key, error) {
	if text == "" {
		return onceonly.Key{}, failure.New(failure.IdempotencyKeyMissing, "the operation needs an Idempotency-Key; POST "+
			callerapi.PathIdempotencyKeys+" mints one")
	}
	key, err := onceonly.ParseKey(text, tenant.HomeZone, zones.Known)
	if err != nil {
		return onceonly.Key{}, failure.Wrap(err, failure.IdempotencyKeyInvalid)
	}
	if key.Opaque && !tenant.OpaqueKeys {
		return onceonly.Key{}, failure.New(failure.IdempotencyKeyInvalid,
			"the key is not a UUIDv7, and the tenant has no leave to use others")
	}
	return key, nil
}

// forwardOnce hands the call to a gateway of its home zone. A call that was
// forwarded before goes no further, and one that may have arrived is not sent
// again.
func (h *Applications) forwardOnce(ctx context.Context, call *app.RequestContext, scope *middleware.Scope, zone string) {
	if scope.Forwarded {
		middleware.Refuse(call, failure.New(failure.HomeZoneUnreachable, "the key's home zone is "+zone,
			failure.WithRan(failure.RanUnknown)))
		return
	}
	outcome := h.forwarder.ToZone(ctx, call, zone)
	switch {
	case outcome.Answered:
	case outcome.HandedOver:
		middleware.Refuse(call, failure.New(failure.OutcomeUnknown, "the home zone "+zone+" did not answer: "+outcome.Detail))
	default:
		// An earlier request under the same key may have run.
		middleware.Refuse(call, failure.New(failure.HomeZoneUnreachable, "no gateway of "+zone+" can be reached: "+outcome.Detail,
			failure.WithRan(failure.RanUnknown)))
	}
}

func writeApplicationAnswer(call *app.RequestContext, told application.Answer) {
	if told.Failure != nil {
		middleware.RefuseWith(call, *told.Failure)
		return
	}
	if !answer.IsFinalStatus(told.Status) {
		middleware.Refuse(call, failure.New(failure.OutcomeUnknown, "the stored answer has no status that a caller may get"))
		return
	}
	if told.Stored {
		call.Header(callerapi.HeaderReplayed, "true")
	}
	call.Data(told.Status, contentTypeOf(told.Body), told.Body)
}

func contentTypeOf(body []byte) string {
	if json.Valid(body) {
		return "application/json"
	}
	return "application/octet-stream"
}
