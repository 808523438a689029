package replicalist

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

// Options configure a Reader.
type Options struct {
	Read ReadPage
	// Pace returns the pace of the next round.
	Pace func() Pace
	// Take is called with each page that was read. After an error the page is read again.
	Take func(ctx context.Context, page Page) error
	// GiveUp has a round given up with the first call that brings no page.
	GiveUp bool
	// End is called after the last page of a round, or when it was given up.
	End func(ctx context.Context, round *Round)
	// Clock returns the time.
	Clock  func() time.Duration
	Logger logr.Logger
}

// Reader reads the list, round after round.
type Reader struct {
	options Options
	// wholeAt is when the last whole round began, and pageAt when the last page was read; 0 for never. refused and failed
	// count calls, read pages, over all rounds.
	wholeAt, pageAt       atomic.Int64
	read, refused, failed atomic.Int64
}

// NewReader returns a Reader.
func NewReader(options Options) *Reader { return &Reader{options: options} }

// Counts returns the numbers of pages read, and of calls that were refused and that failed.
func (r *Reader) Counts() (read, refused, failed int64) {
	return r.read.Load(), r.refused.Load(), r.failed.Load()
}

// Age returns the time since the start of the last whole round, which all that it has shown is at most old, and the time since
// the last page; negative if there was none.
func (r *Reader) Age() (round, page time.Duration) {
	now := r.options.Clock()
	return since(now, r.wholeAt.Load()), since(now, r.pageAt.Load())
}

func since(now time.Duration, at int64) time.Duration {
	if at == 0 {
		return -1
	}
	return now - time.Duration(at)
}

// Run reads rounds while goesOn returns true and the context has not ended. The first one begins at once.
func (r *Reader) Run(ctx context.Context, goesOn func() bool) {
	rounds := NewRounds(r.options.Pace(), r.options.Clock())
	reachable := true
	for goesOn() {
		token, at := rounds.Next()
		if !lifecycle.Sleep(ctx, at-r.options.Clock()) || !goesOn() {
			return
		}
		ended, err := r.step(ctx, rounds, token)
		if reached := !rounds.Failing(); reached != reachable {
			reachable = reached
			r.options.Logger.Info(event.ListReachable, "reachable", reached, "error", failure.Text(err))
		}
		r.logLateness(rounds, ended)
		if ended != nil {
			r.options.End(ctx, ended)
			rounds.SetPace(r.options.Pace())
		}
	}
}

// step calls for a page. It returns the round that has ended with that, nil if none has.
func (r *Reader) step(ctx context.Context, rounds *Rounds, token string) (ended *Round, err error) {
	timeout := rounds.Call(r.options.Clock())
	page, err := callFor(ctx, r.options.Read, token, timeout)
	now := r.options.Clock()
	switch {
	case errors.Is(err, ErrRefused):
		r.refused.Add(1)
		rounds.Refuse(now)
	case err != nil:
		r.failed.Add(1)
		ended = rounds.Fail(now)
	}
	if err != nil && ended == nil && r.options.GiveUp {
		ended = rounds.GiveUp(now)
	}
	if err != nil {
		return ended, err
	}
	r.read.Add(1)
	r.pageAt.Store(max(int64(now), 1))
	if err := r.options.Take(ctx, page); err != nil {
		rounds.Retry(r.options.Clock())
		return nil, err
	}
	ended = rounds.Read(now, page.Next)
	if ended != nil && ended.Whole() {
		r.wholeAt.Store(max(int64(ended.StartedAt), 1))
	}
	return ended, nil
}

// logLateness logs by how much a round is, or was, whole too late.
func (r *Reader) logLateness(rounds *Rounds, ended *Round) {
	late, round, whole := rounds.Overdue(r.options.Clock()), rounds.Round(), false
	if ended != nil {
		round = *ended
		if ended.Late > 0 {
			late, whole = ended.Late, true
		}
	}
	if late <= 0 {
		return
	}
	r.options.Logger.Info(event.ListLate, "whole", whole, "late_ms", late.Milliseconds(), "pages", round.Pages,
		"skipped", round.Skipped, "refused", round.Refused, "failed", round.Failed)
}
