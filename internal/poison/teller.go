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
	// reportDelay collects the events of about the same moment into one report, and is the delay before
	// a report is retried.
	reportDelay   = 50 * time.Millisecond
	reportTimeout = 900 * time.Millisecond
	// evidenceCheckInterval is the pause between two checks of a gateway's local evidence.
	evidenceCheckInterval = 100 * time.Millisecond
)

// Teller sends the reports of a Guard, and has it check its local evidence.
type Teller struct {
	Guard   *Guard
	gateway string
	// send sends one report to the process that replicates the evidence.
	send   func(ctx context.Context, report *Report) error
	logger logr.Logger
	// dropped counts the digests in evidence that was dropped before it was reported.
	dropped atomic.Int64
}

// NewTeller returns a Teller with a Guard of its own. It logs dropped evidence, reports that fail, and
// requests that are held by local evidence. It replaces options.OnDropped.
func NewTeller(gateway string, options Options, send func(ctx context.Context, report *Report) error, logger logr.Logger) *Teller {
	t := &Teller{gateway: gateway, send: send, logger: logger}
	options.OnDropped = func(digests int) {
		t.dropped.Add(int64(digests))
		logger.Info(event.PoisonDropped, "digests", digests)
	}
	t.Guard = NewGuard(options)
	return t
}

// Dropped returns the number of digests in evidence that was dropped before it was reported.
func (t *Teller) Dropped() int64 { return t.dropped.Load() }

// Run sends reports and checks local evidence until the context ends.
func (t *Teller) Run(ctx context.Context) {
	go t.checkLocalEvidence(ctx)
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Guard.ReportReady():
		}
		if !lifecycle.Sleep(ctx, reportDelay) {
			return
		}
		report := t.Guard.Report(t.gateway)
		if report == nil {
			continue
		}
		err := t.sendReport(ctx, report)
		if err != nil {
			t.Guard.Return(report)
		}
		if (err != nil) != failed {
			failed = err != nil
			t.logger.Info(event.PoisonUntold, "ends", len(report.Ends), "ran_well", len(report.RanWell), "error", failure.Text(err))
		}
	}
}

func (t *Teller) sendReport(ctx context.Context, report *Report) error {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return t.send(bounded, report)
}

// checkLocalEvidence checks the local evidence while there is any: most gateways never have any, and
// would wake up for nothing.
func (t *Teller) checkLocalEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Guard.LocalEvidence():
		}
		for t.Guard.HasLocalEvidence() && lifecycle.Sleep(ctx, evidenceCheckInterval) {
			for _, digest := range t.Guard.Look() {
				t.logger.Info(event.RequestHeldHere, "digest", digest.String())
			}
		}
	}
}
