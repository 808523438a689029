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

// Reporter sends the reports of a Guard, and has it check its local evidence.
type Reporter struct {
	Guard   *Guard
	gateway string
	// send sends one report to the process that replicates the evidence.
	send   func(ctx context.Context, report *Report) error
	logger logr.Logger
	// dropped counts the digests in evidence that was dropped before it was reported.
	dropped atomic.Int64
}

// NewReporter returns a Reporter with a Guard of its own. It logs dropped evidence, when reports begin to
// fail and when they succeed again, and requests that are held by local evidence. It replaces
// options.OnDropped.
func NewReporter(gateway string, options Options, send func(ctx context.Context, report *Report) error, logger logr.Logger) *Reporter {
	r := &Reporter{gateway: gateway, send: send, logger: logger}
	options.OnDropped = func(digests int) {
		r.dropped.Add(int64(digests))
		logger.Info(event.PoisonDropped, "digests", digests)
	}
	r.Guard = NewGuard(options)
	return r
}

// Dropped returns the number of digests in evidence that was dropped before it was reported.
func (r *Reporter) Dropped() int64 { return r.dropped.Load() }

// Run sends reports and checks local evidence until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	go r.checkLocalEvidence(ctx)
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Guard.ReportReady():
		}
		if !lifecycle.Sleep(ctx, reportDelay) {
			return
		}
		report := r.Guard.Report(r.gateway)
		if report == nil {
			continue
		}
		err := r.sendReport(ctx, report)
		if err != nil {
			r.Guard.Requeue(report)
		}
		if (err != nil) != failed {
			failed = err != nil
			r.logger.Info(event.PoisonUntold, "ends", len(report.Crashes), "ran_well", len(report.Completions), "error", failure.Text(err))
		}
	}
}

func (r *Reporter) sendReport(ctx context.Context, report *Report) error {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.send(bounded, report)
}

// checkLocalEvidence checks the local evidence while there is any: most gateways never have any, and
// would wake up for nothing.
func (r *Reporter) checkLocalEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Guard.LocalEvidence():
		}
		for r.Guard.HasLocalEvidence() && lifecycle.Sleep(ctx, evidenceCheckInterval) {
			for _, digest := range r.Guard.CheckLocalEvidence() {
				r.logger.Info(event.RequestHeldHere, "digest", digest.String())
			}
		}
	}
}
