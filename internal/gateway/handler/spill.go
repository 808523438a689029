package handler

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/completion"
	"github.com/pierhaven/pierhaven/internal/gateway/eventstream"
	"github.com/pierhaven/pierhaven/internal/gateway/forward"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
	"github.com/pierhaven/pierhaven/internal/request"
)

// spillAnswer holds back a refusal that another zone might spare the caller.
type spillAnswer struct {
	completion.Answer
	begun bool
	held  *failure.Answer
}

// Tokens implements completion.Answer.
func (a *spillAnswer) Tokens(tokens []string) error {
	a.begun = true
	return a.Answer.Tokens(tokens)
}

// Finish implements completion.Answer.
func (a *spillAnswer) Finish(finish request.Finish) error {
	return a.Answer.Finish(finish)
}

// Fail implements completion.Answer.
func (a *spillAnswer) Fail(answer failure.Answer) {
	if a.begun || answer.Ran != failure.RanNo || !spills(answer.Kind) {
		a.Answer.Fail(answer)
		return
	}
	a.held = &answer
}

// spills reports whether a kind means that this zone is full or cut off.
func spills(kind failure.Kind) bool {
	switch kind {
	case failure.NoBackEnd, failure.BackEndRefused, failure.QueueFull, failure.DeadlineTooShort,
		failure.IsolationExpired, failure.NotReady:
		return true
	default:
		return false
	}
}

// spill forwards a request that this zone refused without running it. The
// refusal is given if nobody took the request.
func spill(ctx context.Context, call *app.RequestContext, forwarder *forward.Forwarder, refusal failure.Answer) {
	outcome := forwarder.ToAny(ctx, call)
	switch {
	case outcome.Answered:
	case outcome.Broken:
		writeStreamFailure(call, failure.AnswerFor(failure.New(failure.AnswerBroken, "the other zone's answer broke off: "+outcome.Detail)))
	case outcome.HandedOver:
		middleware.Refuse(call, failure.New(failure.AttemptsExhausted, "the other zone did not answer: "+outcome.Detail))
	default:
		middleware.RefuseWith(call, refusal)
	}
}

// writeStreamFailure ends a stream that has begun with its failure.
func writeStreamFailure(call *app.RequestContext, answer failure.Answer) {
	middleware.NoteFailure(call, answer.Kind)
	body, err := json.Marshal(failure.BodyFor(answer, middleware.ScopeOf(call).RequestID))
	if err == nil {
		_ = eventstream.NewWriter(call).WriteEvent("", callerapi.StreamErrorEvent, body)
	}
}
