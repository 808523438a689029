package completion

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/engineclient"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/request"
)

// Workers runs functions concurrently, up to a bound; *ants.Pool does.
type Workers interface {
	Submit(task func()) error
}

// Permits gives the permission to write to an engine; *fleet.Fleet does.
type Permits interface {
	Permit(engineID string) (release func(), permitted bool)
}

// Times bound an engine's silence.
type Times struct {
	Accept     time.Duration
	FirstToken time.Duration
	Stall      time.Duration
}

// Runner runs calls. It is safe for concurrent use.
type Runner struct {
	engines   *engineclient.Client
	scheduler *scheduler.Scheduler
	permits   Permits
	workers   Workers
	times     Times
	clock     func() time.Duration
	logger    logr.Logger
	// guard knows the requests that must be sent to no engine, and detector finds out under which
	// engines have ended.
	guard    *poison.Guard
	detector *poison.CrashDetector

	mutex   sync.Mutex
	running map[*run]struct{}
	cut     context.Context
}

// NewRunner returns a runner. When cut ends, every run is cut.
func NewRunner(engines *engineclient.Client, scheduling *scheduler.Scheduler, permits Permits, workers Workers,
	times Times, clock func() time.Duration, cut context.Context, logger logr.Logger,
) *Runner {
	return &Runner{
		engines:   engines,
		scheduler: scheduling,
		permits:   permits,
		workers:   workers,
		times:     times,
		clock:     clock,
		logger:    logger,
		running:   map[*run]struct{}{},
		cut:       cut,
	}
}

// GuardWith has a guard asked which requests are held, and a detector told of the connections that
// break. It is called before any use.
func (r *Runner) GuardWith(guard *poison.Guard, detector *poison.CrashDetector) {
	r.guard, r.detector = guard, detector
}

// Run runs a call to its end and gives its answer. The end of the context means
// that the caller is gone.
func (r *Runner) Run(ctx context.Context, call Call, answer Answer) {
	current := r.newRun(call, answer)
	r.add(current)
	defer r.remove(current)
	current.loop(ctx)
}

// eventBuffer bounds the stream events of one run that wait to be handled; an
// engine whose events are not taken is slowed down by its connection.
const eventBuffer = 8

func (r *Runner) newRun(call Call, answer Answer) *run {
	id := uuid.NewString()
	tokens := engineapi.SplitTokens(call.Prompt)
	return &run{
		runner: r,
		call:   call,
		answer: answer,
		events: make(chan event, eventBuffer),
		ended:  make(chan struct{}),
		begun:  r.clock(),
		entry: &scheduler.Request{
			ID:           id,
			Tenant:       call.Tenant,
			Model:        call.Model,
			Adapter:      call.Adapter,
			Priority:     call.Priority,
			Deadline:     call.Deadline,
			PromptTokens: len(tokens),
			OutputTokens: call.MaximumTokens,
			Blocks:       engineapi.PrefixBlocks(call.Model.Name, tokens),
			Batch:        call.Batch,
			Spilled:      call.Spilled,
		},
		machine: request.New(request.Parameters{
			AttemptPrefix:     id,
			MaximumTokens:     call.MaximumTokens,
			Deadline:          call.Deadline,
			AcceptTimeout:     r.times.Accept,
			FirstTokenTimeout: r.times.FirstToken,
			StallTimeout:      r.times.Stall,
			Retry:             r.scheduler,
		}),
		move: make(chan string, 1),
	}
}

func (r *Runner) add(current *run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running[current] = struct{}{}
}

func (r *Runner) remove(current *run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.running, current)
}

// Running is the number of calls in flight.
func (r *Runner) Running() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.running)
}

// InFlight lists the request ids of the calls in flight.
func (r *Runner) InFlight() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ids := make([]string, 0, len(r.running))
	for current := range r.running {
		ids = append(ids, "request "+current.call.RequestID)
	}
	return ids
}

// MoveFrom asks every run whose attempt is at an engine to move to another.
func (r *Runner) MoveFrom(engineID string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for current := range r.running {
		select {
		case current.move <- engineID:
		default:
		}
	}
}

// answerOf turns a refusal of the machine into what the caller is told.
func answerOf(refusal request.Refuse) failure.Answer {
	row := failure.Lookup(refusal.Kind)
	answer := failure.Answer{
		Kind:       refusal.Kind,
		Status:     row.Status,
		Ran:        refusal.Ran,
		Repeatable: row.Repeatable,
		RetryAfter: row.RetryAfter,
		Message:    row.Summary,
	}
	if refusal.RetryAfter > 0 {
		answer.RetryAfter = refusal.RetryAfter
	}
	if refusal.Detail != "" {
		answer.Message += ": " + refusal.Detail
	}
	return answer
}
