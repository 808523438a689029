package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// leavingReporter reports to a coordinator which replicas have told this gateway that they leave,
// until the list shows them as leaving.
type leavingReporter struct {
	client    *rpc.Client
	views     *viewClient
	directory *relay.Directory
	logger    logr.Logger
	// pending holds one entry if a replica has announced that it leaves since the last report.
	pending chan struct{}
}

// leavingResendInterval is the interval at which a report is repeated until the list shows the
// replicas as leaving.
const leavingResendInterval = time.Second

func newLeavingReporter(settings Settings, client *rpc.Client, views *viewClient, directory *relay.Directory) *leavingReporter {
	created := &leavingReporter{client: client, views: views, directory: directory, logger: settings.Logger, pending: make(chan struct{}, 1)}
	directory.OnLeaving(func(string) {
		select {
		case created.pending <- struct{}{}:
		default:
		}
	})
	return created
}

// Run sends reports until the context ends.
func (l *leavingReporter) Run(ctx context.Context) {
	resend := time.NewTimer(leavingResendInterval)
	defer resend.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.pending:
		case <-resend.C:
		}
		l.report(ctx)
		resend.Reset(leavingResendInterval)
	}
}

// report tells the polled coordinator which replicas leave that the list does not show as leaving.
func (l *leavingReporter) report(ctx context.Context) {
	names := l.directory.UnreportedLeaving()
	coordinator := l.views.polled.Load()
	if len(names) == 0 || coordinator == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if err := l.client.Call(bounded, *coordinator, region.PathLeaving, &region.LeavingReport{Replicas: names}, &peer.Empty{}); err != nil {
		l.logger.Info(event.LeavingUntold, "replicas", len(names), "coordinator", *coordinator, "error", failure.Text(err))
	}
}
