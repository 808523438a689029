package completion

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/gateway/engineclient"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// run is one call in flight. Its loop alone touches the machine.
type run struct {
	runner  *Runner
	call    Call
	answer  Answer
	machine *request.Machine
	entry   *scheduler.Request
	begun   time.Duration

	events chan event
	// ended is closed when nobody takes events any more.
	ended chan struct{}
	move  chan string

	// decision is not nil while the run is in the queue.
	decision  <-chan scheduler.Decision
	admitted  bool
	placement *scheduler.Placement
	attempt   *attempt
	// pending are inputs that the handling of outputs has caused.
	pending []func() []request.Output

	firstTokenAt time.Duration
	refusal      *request.Refuse
	// lost says that a connection to an engine has broken under the call.
	lost atomic.Bool
}

// attempt is the attempt that the machine waits for.
type attempt struct {
	id       string
	engineID string
	address  string
	prefill  bool
	begun    time.Duration
	produced bool
	// moved says that the attempt ends because it is moved.
	moved *atomic.Bool
	// cancel ends the attempt; its cause is errSilent if the engine is to blame.
	cancel context.CancelCauseFunc
}

// event is one thing that an attempt tells its run.
type event struct {
	stream  engineapi.StreamEvent
	prefill *engineapi.PrefillReply
	// exported answers a cancel that asked for the KV cache.
	exported *engineapi.CancelReply
	// outcome is set on the last event of an attempt.
	outcome   *engineclient.Outcome
	attemptID string
}

func (r *run) loop(ctx context.Context) {
	defer close(r.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	now := r.runner.clock
	r.act(r.machine.Start(now()))
	for !r.machine.Done() {
		due := r.arm(timer)
		select {
		case received := <-r.events:
			r.handle(received)
		case decision := <-r.decision:
			r.decided(decision)
		case engineID := <-r.move:
			r.moveFrom(engineID)
		case <-timer.C:
			r.tick(due)
		case <-ctx.Done():
			r.act(r.machine.CallerDisconnected(now()))
		case <-r.runner.cut.Done():
			r.act(r.machine.Cut(now()))
		}
	}
	r.leaveQueue()
}

// punctual is how late a tick may come of a process that was not paused: a busy processor
// runs a timer within a few milliseconds.
const punctual = 20 * time.Millisecond

// tick tells the machine the time. Before the deadline, what has arrived by then
// comes first: while the loop waited for a slow caller, or the process was paused,
// pieces may have come in, and they show that the engine was not silent. Pieces may
// also wait unread at the connection: if the tick comes late, the worker that reads
// it was as late, and gets as much time again.
func (r *run) tick(due time.Duration) {
	if late := r.runner.clock() - due; late > punctual {
		r.machine.Paused(r.runner.clock(), late)
	}
	for range eventBuffer {
		if r.call.Deadline > 0 && r.runner.clock() >= r.call.Deadline {
			r.act(r.machine.Tick(r.runner.clock()))
			return
		}
		select {
		case received := <-r.events:
			r.handle(received)
		default:
			r.act(r.machine.Tick(r.runner.clock()))
			return
		}
		if r.machine.Done() {
			return
		}
	}
}

// arm sets the timer to when the machine has to be told the time, which it returns.
func (r *run) arm(timer *time.Timer) (due time.Duration) {
	wake := r.machine.NextWake()
	if wake == request.Never {
		timer.Reset(time.Hour)
		return wake
	}
	timer.Reset(max(0, wake-r.runner.clock()))
	return wake
}

// act does what the machine asks for, including what that leads to.
func (r *run) act(outputs []request.Output) {
	r.actOnce(outputs)
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.actOnce(next())
	}
}

func (r *run) actOnce(outputs []request.Output) {
	for _, output := range outputs {
		switch asked := output.(type) {
		case request.Pick:
			r.pick(asked)
		case request.Dispatch:
			r.dispatch(asked)
		case request.Relay:
			r.relay(asked)
		case request.Cancel:
			r.cancel(asked)
		case request.Finish:
			r.finish(asked)
		case request.Refuse:
			r.refuse(asked)
		}
	}
}

// then queues an input for the machine.
func (r *run) then(input func() []request.Output) {
	r.pending = append(r.pending, input)
}

func (r *run) relay(asked request.Relay) {
	if r.firstTokenAt == 0 {
		r.firstTokenAt = r.runner.clock()
	}
	if err := r.answer.Tokens(asked.Tokens); err != nil {
		r.then(func() []request.Output { return r.machine.CallerDisconnected(r.runner.clock()) })
	}
}

func (r *run) finish(finish request.Finish) {
	now := r.runner.clock()
	firstToken := r.firstTokenAt - r.begun
	missed := firstToken.Seconds()*1000 > r.call.Model.FirstTokenMillis
	r.runner.scheduler.Answered(r.entry, finish.Usage.OutputTokens, now-r.begun, missed)
	r.ranWell()
	_ = r.answer.Finish(finish)
}

func (r *run) refuse(refusal request.Refuse) {
	r.refusal = &refusal
	r.runner.logger.V(1).Info("request refused", "request", r.call.RequestID, "kind", refusal.Kind,
		"ran", refusal.Ran, "detail", refusal.Detail, "attempts", refusal.Attempts)
	r.answer.Fail(answerOf(refusal))
}

// handle gives an attempt's event to the machine.
func (r *run) handle(received event) {
	now := r.runner.clock()
	switch {
	case received.outcome != nil:
		r.act(r.outcome(now, received.attemptID, received.outcome))
	case received.exported != nil:
		r.act(r.machine.Exported(now, received.attemptID, received.exported.KV))
	case received.prefill != nil:
		reply := received.prefill
		r.noteFirstToken(reply.AttemptID)
		r.act(r.machine.PrefillDone(now, reply.AttemptID, reply.Version, reply.KV))
	default:
		r.act(r.streamEvent(now, &received.stream, received.attemptID))
	}
}

func (r *run) streamEvent(now time.Duration, stream *engineapi.StreamEvent, attemptID string) []request.Output {
	switch stream.Kind {
	case engineapi.EventAccepted:
		return r.machine.AttemptAccepted(now, stream.AttemptID, stream.Version)
	case engineapi.EventPiece:
		r.noteFirstToken(stream.AttemptID)
		return r.machine.Piece(now, stream.AttemptID, stream.Offset, stream.Tokens)
	case engineapi.EventEnd:
		return r.machine.End(now, stream.AttemptID, stream.TotalTokens, stream.Finish,
			stream.PromptTokens, stream.CachedTokens)
	case engineapi.EventError:
		return r.machine.AttemptBroken(now, stream.AttemptID, true, "the engine gave up: "+string(stream.Refusal))
	default:
		return r.machine.AttemptBroken(now, attemptID, true, "unknown event "+string(stream.Kind))
	}
}

func (r *run) outcome(now time.Duration, attemptID string, outcome *engineclient.Outcome) []request.Output {
	switch {
	case outcome.Whole:
		return nil
	case outcome.Refused:
		return r.machine.AttemptRefused(now, attemptID, outcome.Reason)
	default:
		return r.machine.AttemptBroken(now, attemptID, outcome.HandedOver, describe(outcome.Err))
	}
}

func (r *run) noteFirstToken(attemptID string) {
	if r.attempt == nil || r.attempt.id != attemptID || r.attempt.produced {
		return
	}
	r.attempt.produced = true
	took := r.runner.clock() - r.attempt.begun
	r.runner.scheduler.FirstToken(r.attempt.engineID, attemptID, took)
}

func describe(err error) string {
	if err == nil {
		return "the stream broke"
	}
	return err.Error()
}

// routingOutcome says what an attempt's end means for its engine's health.
func routingOutcome(outcome engineclient.Outcome, cancelled bool) routing.Outcome {
	switch {
	case outcome.Whole:
		return routing.OutcomeSucceeded
	case outcome.Refused:
		return routing.OutcomeRefused
	case cancelled:
		return routing.OutcomeCancelled
	default:
		return routing.OutcomeFailed
	}
}
