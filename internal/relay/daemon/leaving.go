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

// leavingTeller tells a coordinator of replicas that have said to this gateway that they leave, until the list
// shows them so.
type leavingTeller struct {
	client    *rpc.Client
	keeper    *viewKeeper
	directory *relay.Directory
	logger    logr.Logger
	// news holds one entry if a replica has said so since the last word.
	news chan struct{}
}

// leavingTellAgain is after how long a word is told again that the list does not show yet.
const leavingTellAgain = time.Second

func newLeavingTeller(settings Settings, client *rpc.Client, keeper *viewKeeper, directory *relay.Directory) *leavingTeller {
	created := &leavingTeller{client: client, keeper: keeper, directory: directory, logger: settings.Logger, news: make(chan struct{}, 1)}
	directory.OnLeaving(func(string) {
		select {
		case created.news <- struct{}{}:
		default:
		}
	})
	return created
}

// Run tells until the context ends.
func (l *leavingTeller) Run(ctx context.Context) {
	again := time.NewTimer(leavingTellAgain)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.news:
		case <-again.C:
		}
		l.tell(ctx)
		again.Reset(leavingTellAgain)
	}
}

// tell tells the coordinator that is polled.
func (l *leavingTeller) tell(ctx context.Context) {
	names := l.directory.LeavingUntold()
	to := l.keeper.asked.Load()
	if len(names) == 0 || to == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if err := l.client.Call(bounded, *to, region.PathLeaving, &region.LeavingReport{Replicas: names}, &peer.Empty{}); err != nil {
		l.logger.Info(event.LeavingUntold, "replicas", len(names), "coordinator", *to, "error", failure.Text(err))
	}
}
