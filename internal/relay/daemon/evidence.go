package daemon

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// evidenceReporter reports to coordinators which requests replicas have crashed under. Its guard
// learns from the view which requests are held.
type evidenceReporter struct {
	*poison.Reporter
	client      *rpc.Client
	views       *viewClient
	contactTime time.Duration
}

func newEvidenceReporter(settings Settings, client *rpc.Client) *evidenceReporter {
	if settings.ContactTime == 0 {
		settings.ContactTime = coordinator.DefaultContactTime
	}
	if settings.EvidenceHoldTime == 0 {
		settings.EvidenceHoldTime = poison.DefaultHold
	}
	e := &evidenceReporter{client: client, contactTime: settings.ContactTime}
	options := poison.Options{
		Now:         uptime.Since(settings.Now),
		InSync:      func() bool { return e.hasFreshView() },
		ContactTime: settings.ContactTime,
		Retention:   settings.EvidenceHoldTime,
	}
	e.Reporter = poison.NewReporter(settings.Name, options, e.report, settings.Logger)
	return e
}

// hasFreshView reports whether the view is fresh, that is, whether a coordinator confirmed by a
// majority has answered recently.
func (e *evidenceReporter) hasFreshView() bool {
	age, known := e.views.age()
	return known && age < staleAge
}

// report sends a report to the polled coordinator.
func (e *evidenceReporter) report(ctx context.Context, report *poison.Report) error {
	to := e.views.polled.Load()
	if to == nil {
		return failure.New(failure.NotReady, "no coordinator is known yet")
	}
	return e.client.Call(ctx, *to, region.PathPoison, report, &region.PoisonReply{})
}

// requestPermit asks whether a request on probation may be tried now. A wait above 0 means that
// another gateway is trying it. A gateway without a fresh view relies on its local evidence.
func (e *evidenceReporter) requestPermit(ctx context.Context, digest poison.Digest) (wait time.Duration) {
	to := e.views.polled.Load()
	if to == nil || !e.hasFreshView() {
		return 0
	}
	reply := &poison.PermitReply{}
	if err := e.client.Call(ctx, *to, region.PathPermit, &poison.PermitRequest{Digest: digest}, reply); err != nil {
		// The coordinator that did not answer may have given the permit to another gateway.
		return e.contactTime
	}
	return time.Duration(reply.WaitMillis) * time.Millisecond
}
