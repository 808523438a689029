package gateway

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/session"
)

// askTimeout is the timeout of one query to a target.
const askTimeout = time.Second

// askTargets queries the targets that a gateway without a lease may use for whether they accept new work. If there is no
// free worker for a query, it is retried soon.
func (g *Gateway) askTargets() {
	for _, target := range g.keeper.Asks(g.clock()) {
		_ = g.workers.Submit(func() { g.askTarget(target) })
	}
}

func (g *Gateway) askTarget(target session.Target) {
	sentAt := g.clock()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	serves, err := g.serves(ctx, target)
	if err != nil {
		g.logger.V(1).Info("target did not say whether it serves", "target", target.ID, "error", err.Error())
		return
	}
	g.keeper.Told(sentAt, target, serves)
}

// serves reports whether a target says that it accepts new work.
func (g *Gateway) serves(ctx context.Context, target session.Target) (bool, error) {
	if target.IsBackEnd {
		state, err := g.applicationClient.State(ctx, target.Address)
		return state.BackEndID == target.ID && state.Phase == applicationapi.PhaseServing, err
	}
	state, err := g.engines.State(ctx, target.Address)
	return state.EngineID == target.ID && state.Phase == engineapi.PhaseServing, err
}
