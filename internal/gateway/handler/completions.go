package handler

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/completion"
	"github.com/pierhaven/pierhaven/internal/gateway/forward"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

// Completions serves chats and completions.
type Completions struct {
	runner       *completion.Runner
	forwarder    *forward.Forwarder
	ready        func() error
	writeTimeout time.Duration
}

// NewCompletions returns the handlers. ready says why nothing can be dispatched
// in this zone, or nil.
func NewCompletions(runner *completion.Runner, forwarder *forward.Forwarder, ready func() error, writeTimeout time.Duration) *Completions {
	return &Completions{runner: runner, forwarder: forwarder, ready: ready, writeTimeout: writeTimeout}
}

// Chat serves callerapi.PathChatCompletions.
func (h *Completions) Chat(ctx context.Context, call *app.RequestContext) {
	body, err := callerapi.DecodeChat(call.Request.Body())
	if err != nil {
		middleware.Refuse(call, failure.Wrap(err, failure.MalformedRequest))
		return
	}
	prompt := callerapi.EnginePrompt(body.Messages)
	model, err := NewCall(middleware.ScopeOf(call), body.Model, body.Adapter, prompt, body.MaxTokens)
	if err != nil {
		middleware.Refuse(call, err)
		return
	}
	h.run(ctx, call, model, newChatFormat(model), body.Stream, includeUsage(body.StreamOptions))
}

// Complete serves callerapi.PathCompletions.
func (h *Completions) Complete(ctx context.Context, call *app.RequestContext) {
	body, err := callerapi.DecodeCompletion(call.Request.Body())
	if err != nil {
		middleware.Refuse(call, failure.Wrap(err, failure.MalformedRequest))
		return
	}
	model, err := NewCall(middleware.ScopeOf(call), body.Model, body.Adapter, body.Prompt, body.MaxTokens)
	if err != nil {
		middleware.Refuse(call, err)
		return
	}
	h.run(ctx, call, model, newTextFormat(model), body.Stream, includeUsage(body.StreamOptions))
}

func includeUsage(options *callerapi.StreamOptions) bool {
	return options != nil && options.IncludeUsage
}

func (h *Completions) run(ctx context.Context, call *app.RequestContext, model completion.Call, format Format, stream, usage bool) {
	var answer completion.Answer = newWholeAnswer(call, format)
	if stream {
		answer = newStreamAnswer(call, format, usage, h.writeTimeout)
	}
	if middleware.ScopeOf(call).Forwarded {
		h.runHere(ctx, model, answer)
		return
	}
	spilling := &spillAnswer{Answer: answer}
	h.runHere(ctx, model, spilling)
	switch {
	case spilling.held == nil:
	case !h.runner.MayLeave(&model):
		// Another zone would have to lose engines to learn what is known here.
		middleware.RefuseWith(call, *spilling.held)
	default:
		spill(ctx, call, h.forwarder, *spilling.held)
	}
}

func (h *Completions) runHere(ctx context.Context, model completion.Call, answer completion.Answer) {
	if err := h.ready(); err != nil {
		answer.Fail(failure.AnswerFor(err))
		return
	}
	h.runner.Run(ctx, model, answer)
}

// NewCall checks a model call against the configuration in force.
func NewCall(scope *middleware.Scope, modelName, adapter, prompt string, maximumTokens int) (completion.Call, error) {
	model := scope.Configuration.Model(modelName)
	if model == nil {
		return completion.Call{}, failure.New(failure.UnknownModel, "there is no model "+modelName)
	}
	if tokens := engineapi.CountTokens(prompt); tokens > model.MaximumPromptTokens {
		return completion.Call{}, failure.New(failure.MalformedRequest, "the prompt is longer than the model takes")
	}
	if maximumTokens > model.MaximumOutputTokens {
		return completion.Call{}, failure.New(failure.MalformedRequest, "max_tokens: more than the model gives")
	}
	if maximumTokens == 0 {
		maximumTokens = model.MaximumOutputTokens
	}
	return completion.Call{
		RequestID:     scope.RequestID,
		Tenant:        scope.Tenant,
		Model:         model,
		Adapter:       adapter,
		Prompt:        prompt,
		MaximumTokens: maximumTokens,
		Priority:      scope.Priority,
		Deadline:      scope.Deadline,
		Spilled:       scope.Forwarded,
	}, nil
}
