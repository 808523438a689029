package scheduler

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// Request is a model call as the scheduler sees it.
type Request struct {
	// ID is unique within this process.
	ID       string
	Tenant   *dynamic.Tenant
	Model    *dynamic.Model
	Adapter  string
	Priority int
	Deadline time.Duration
	// PromptTokens is exact; OutputTokens is what is asked for at most.
	PromptTokens int
	OutputTokens int
	// Blocks names the prompt's prefix blocks.
	Blocks []uint64
	// Batch marks an item of a batch, Spilled a request that another zone's
	// gateway has sent here.
	Batch, Spilled bool
}

// Placement is where a request goes.
type Placement struct {
	Serving request.Engine
	// Prefill is set if another engine reads the prompt first.
	Prefill *request.Engine
	// NewTokens is the prompt work expected of whoever reads the prompt.
	NewTokens int
	// reservations hold the engines' load until the attempts start.
	reservations []reservation
}

type reservation struct {
	engineID string
	id       string
}

// Decision is the answer to a request that entered the queue: a placement or a
// refusal.
type Decision struct {
	Placement *Placement
	Refusal   *Refusal
}

// Refusal is a final answer of admission.
type Refusal struct {
	Kind       failure.Kind
	RetryAfter time.Duration
	Detail     string
}

// waiting is a queued request; it is the Value of its admission.Item.
type waiting struct {
	request   *Request
	enteredAt time.Duration
	// stranded says that no engine took new work when the request came.
	stranded bool
	decision chan Decision
}

// refusal is that of a request which was given up in the queue. One that found no engine was not given up
// for its deadline, which may be far away.
func (w *waiting) refusal(given *admission.Refusal) *Refusal {
	refused := refusalOf(given)
	if w.stranded && given.Kind == failure.DeadlineTooShort {
		refused.Kind = failure.NoBackEnd
		refused.Detail = "no engine of this zone takes new work at present"
	}
	return refused
}

func refusalOf(refusal *admission.Refusal) *Refusal {
	detail := "the queue has no room"
	if refusal.Kind == failure.DeadlineTooShort {
		detail = "the answer would come after the deadline; predicted wait " +
			refusal.PredictedWait.Round(time.Millisecond).String()
	}
	return &Refusal{Kind: refusal.Kind, RetryAfter: refusal.RetryAfter, Detail: detail}
}

func (r *Request) routing(expectedOutput int) routing.Request {
	return routing.Request{
		Model:        r.Model.Name,
		Adapter:      r.Adapter,
		PromptTokens: r.PromptTokens,
		OutputTokens: min(expectedOutput, r.OutputTokens),
		Blocks:       r.Blocks,
		Objectives: routing.Objectives{
			FirstToken:    milliseconds(r.Model.FirstTokenMillis),
			BetweenTokens: milliseconds(r.Model.BetweenTokensMillis),
		},
	}
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
