package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

const (
	// directTokens is the size up to which a prompt is read where its answer is
	// generated: it fits into one or two of the pieces in which a generating
	// replica reads, so that the streams there are hardly held up.
	directTokens = 1024
	// trivialTokens are read in less time than they are moved.
	trivialTokens = 96
	// freeBacklog is the backlog, in tokens, up to which a reader counts as free.
	freeBacklog = 2500
	// A generating replica reads in pieces of directPieceTokens between its steps,
	// each typicalStep long, at directPaceShare of a reader's pace.
	directPieceTokens = 512
	directPaceShare   = 0.5
	typicalStep       = 6 * time.Millisecond
	// slowestReading is the pace, in tokens a second, below which a reading
	// replica is given up.
	slowestReading = 8000
	freeTimeout    = 500 * time.Millisecond
)

// promptHandle is a prompt that a replica has read and keeps for another.
type promptHandle struct {
	id      string
	replica *Replica
	taken   bool
}

func (h *promptHandle) source() string { return h.replica.Address + "/" + h.id }

// prepare has the prompt read by another replica than the one that will generate,
// if that is better; nil if not, or if it could not be done. An error says that
// the request may go to no other replica.
func (r *run) prepare(ctx context.Context) (*promptHandle, error) {
	if !r.isModelCall() || !r.readsApart() {
		return nil, nil
	}
	return r.readPrompt(ctx)
}

// readsApart decides whether the prompt is read by another replica than the one
// that generates. Reading holds up the streams of a generating replica. A prompt
// that is mostly kept there does not; a short one does little harm where streams
// may pause for long, and is read there too while all readers are busy. A call is
// read apart once, and what continues a stream is not.
func (r *run) readsApart() bool {
	if r.reads > 0 || r.stream != nil {
		return false
	}
	outlook := r.directory.readingOutlook(r.call.Service.Name, r.call.Prompt)
	switch {
	case outlook.missing <= trivialTokens:
		return false
	case outlook.missing > directTokens:
		return true
	default:
		return outlook.backlog < freeBacklog && !r.directIsHarmless(outlook.pace)
	}
}

// directIsHarmless reports whether streams stay within their pauses even while a
// piece of a prompt is read in each step between their tokens.
func (r *run) directIsHarmless(pace float64) bool {
	piece := directPieceTokens / (directPaceShare * pace)
	event := float64(max(r.call.Service.Engine.EventTokens, 1)) * (piece + typicalStep.Seconds())
	return event <= r.call.Route.TargetGap.Seconds()
}

// readPrompt has the prompt read, and returns nil if it could not be. A reader that
// took the request and did not read it makes the next send a repeated one, which
// the retry budget has to allow: a reader that is slow is given up only then.
func (r *run) readPrompt(ctx context.Context) (*promptHandle, error) {
	r.reads++
	service := r.call.Service.Name
	lease := r.directory.PickReader(service, nil, r.call.Prompt)
	if lease == nil {
		r.metrics.promptRead(readNobody, 0)
		return nil, nil
	}
	defer lease.Release()
	begun := time.Now()
	missing := lease.tokens
	bounded, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	var paid atomic.Bool
	timer := time.AfterFunc(r.readingBound(missing), func() {
		if r.budgets.Withdraw(service) {
			paid.Store(true)
			giveUp(errSlowReading)
		}
	})
	handle, err := r.exchangePrompt(bounded, lease)
	timer.Stop()
	r.logger.V(1).Info(event.PromptRead, "request", r.call.ID, "replica", lease.Replica.ID,
		"tokens", r.call.Prompt.Tokens, "missing", missing, "prefix", r.call.Prompt.sharedPart(),
		"fetch", lease.FetchFrom(), "backlog", int(lease.backlog),
		"pace", int(r.directory.pace(service)), "after_ms", time.Since(r.call.Arrived).Milliseconds(), "error", failure.Text(err))
	if err == nil {
		r.metrics.promptRead(readDone, time.Since(begun))
		return handle, nil
	}
	r.metrics.promptRead(readFailed, time.Since(begun))
	if upstream.HandedOver(err) && !paid.Load() && !isRefusal(err) {
		// The answer was lost, not the prompt: the generator may fetch it there. A
		// prompt that was taken up costs nothing, whatever became of its answer.
		lease.PromptKept(r.call.Prompt)
		return nil, nil
	}
	if isRefusal(err) && !r.budgets.Withdraw(service) {
		return nil, failure.New(failure.BackEndRefused, "the prompt was not read, and the retry budget is used up")
	}
	return nil, nil
}

// isRefusal reports whether a reader has said that it did not read.
func isRefusal(err error) bool { return failure.KindOf(err) == failure.BackEndRefused }

// readingBound is how long a reader is waited for.
func (r *run) readingBound(missing int) time.Duration {
	tokens := float64(r.call.Prompt.Tokens + missing)
	return r.call.Route.TargetLatency/2 + time.Duration(tokens/slowestReading*float64(time.Second))
}

var errSlowReading = failure.New(failure.DeadlineExceeded, "the prompt was not read in time")

func (r *run) exchangePrompt(ctx context.Context, lease *Lease) (*promptHandle, error) {
	fetch := lease.FetchFrom()
	answer, err := r.client.Do(ctx, r.request(lease.Replica, Send{ReadOnly: true, Fetch: fetch}))
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) == errSlowReading {
			lease.Unreachable(upstream.HandedOver(err) && !upstream.Silent(err))
		}
		return nil, err
	}
	defer answer.Close()
	body, err := answer.ReadAll()
	if err != nil {
		lease.Unreachable(true)
		return nil, err
	}
	if answer.Status != http.StatusOK {
		r.noteRefusalOfReading(lease, answer)
		return nil, failure.New(failure.BackEndRefused, http.StatusText(answer.Status))
	}
	id, err := r.dialect.ReadHandle(body)
	if err != nil {
		lease.Answered(true, nil)
		return nil, err
	}
	lease.Answered(false, nil)
	lease.PromptRead()
	lease.PromptKept(r.call.Prompt)
	return &promptHandle{id: id, replica: lease.Replica}, nil
}

func (r *run) noteRefusalOfReading(lease *Lease, answer *upstream.Exchange) {
	switch {
	case answer.Status == http.StatusMisdirectedRequest && lease.Replica.Stage == region.StagePrefill:
		r.directory.Misdirected(lease.Replica)
	default:
		lease.Full()
	}
}

// freeUnlessTaken frees the memory of a prompt that no replica has fetched.
func (h *promptHandle) freeUnlessTaken(r *Runner) {
	if h == nil || h.taken {
		return
	}
	go r.free(h)
}

func (r *Runner) free(handle *promptHandle) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	method, path := r.dialect.FreeHandle(handle.id)
	answer, err := r.client.Do(ctx, &upstream.Request{
		Address:  handle.replica.Address,
		Instance: handle.replica.ID,
		Method:   method,
		Target:   path,
		Host:     handle.replica.Address,
	})
	if err != nil {
		r.logger.V(1).Info(event.HandleNotFreed, "replica", handle.replica.ID, "error", err.Error())
		return
	}
	_, _ = answer.ReadAll()
	answer.Close()
}
