package poison

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

const (
	// tellPause gathers what happens at the same moment into one report, and is the pause before
	// a report is told again.
	tellPause   = 50 * time.Millisecond
	tellTimeout = 900 * time.Millisecond
	// lookInterval is the pause between two looks at a gateway's own evidence.
	lookInterval = 100 * time.Millisecond
)

// Teller tells what a Guard has learned, and has it look at its own evidence.
type Teller struct {
	Guard   *Guard
	gateway string
	// tell makes one call with a report, to whoever replicates the evidence.
	tell   func(ctx context.Context, report *Report) error
	logger logr.Logger
	// dropped counts the digests that were given up for lack of room.
	dropped atomic.Int64
}

// NewTeller returns a Teller with a Guard of its own, and logs what they give up, what can't be told
// and what is held by the gateway's own evidence. Options.Dropped is its own.
func NewTeller(gateway string, options Options, tell func(ctx context.Context, report *Report) error, logger logr.Logger) *Teller {
	t := &Teller{gateway: gateway, tell: tell, logger: logger}
	options.Dropped = func(digests int) {
		t.dropped.Add(int64(digests))
		logger.Info(event.PoisonDropped, "digests", digests)
	}
	t.Guard = NewGuard(options)
	return t
}

// Dropped counts the digests that were given up for lack of room.
func (t *Teller) Dropped() int64 { return t.dropped.Load() }

// Run works until the context ends.
func (t *Teller) Run(ctx context.Context) {
	go t.look(ctx)
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Guard.Wake():
		}
		if !lifecycle.Sleep(ctx, tellPause) {
			return
		}
		report := t.Guard.Report(t.gateway)
		if report == nil {
			continue
		}
		err := t.tellOnce(ctx, report)
		if err != nil {
			t.Guard.Return(report)
		}
		if (err != nil) != failed {
			failed = err != nil
			t.logger.Info(event.PoisonUntold, "ends", len(report.Ends), "ran_well", len(report.RanWell), "error", failure.Text(err))
		}
	}
}

func (t *Teller) tellOnce(ctx context.Context, report *Report) error {
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return t.tell(bounded, report)
}

// look looks at the gateway's own evidence while there is any: most gateways never have some, and would
// wake up for nothing.
func (t *Teller) look(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Guard.Noted():
		}
		for t.Guard.HasOwn() && lifecycle.Sleep(ctx, lookInterval) {
			for _, digest := range t.Guard.Look() {
				t.logger.Info(event.RequestHeldHere, "digest", digest.String())
			}
		}
	}
}
