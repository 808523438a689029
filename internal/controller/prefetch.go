package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// maximumPrefetches bounds the engines that prefetch weights at the same time: they
// share the weight store's bandwidth with engines that are being changed and can't
// serve until they have their weights.
const maximumPrefetches = 2

// prefetchCall is a request to an engine to prefetch weights.
type prefetchCall struct {
	engineID string
	address  string
	request  engineapi.PrefetchRequest
}

// prefetch lets engines fetch the weights of their next configuration while their
// requests still run. A failed call is only logged: an engine without the weights
// fetches them when it gets the order.
func (c *Controller) prefetch(ctx context.Context, t *term) {
	for _, call := range t.prefetches(c.now()) {
		err := c.workers.Submit(func() {
			if err := c.backEnds.post(ctx, call.address, engineapi.PathPrefetch, &call.request, nil); err != nil {
				c.logger.V(1).Info("engine did not accept prefetch request", "engine", call.engineID, "error", err.Error())
			}
		})
		if err != nil {
			t.forgetPrefetch(call.engineID)
		}
	}
}

// prefetches returns the prefetch requests to send now. Each desired configuration
// is requested once in a term, unless no worker was free; engines that already drain
// for their change go first.
func (t *term) prefetches(now time.Duration) []prefetchCall {
	var calls []prefetchCall
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		waiting := t.awaitingWeights(core.Status(now, state))
		inProgress := 0
		for _, engine := range waiting {
			if t.prefetched[engine.ID] == engine.DesiredAt {
				inProgress++
			}
		}
		for _, engine := range waiting {
			if inProgress >= maximumPrefetches {
				return
			}
			if t.prefetched[engine.ID] == engine.DesiredAt {
				continue
			}
			inProgress++
			t.prefetched[engine.ID] = engine.DesiredAt
			calls = append(calls, prefetchCall{engineID: engine.ID, address: engine.Address, request: engineapi.PrefetchRequest{
				Model: engine.Desired.Model, Version: engine.Desired.Version,
			}})
		}
	})
	return calls
}

// awaitingWeights returns the reachable engines, neither drained nor leaving, that
// will change their model or version and have no order yet. Engines that already
// drain for their change come first. It deletes the records of prefetches of all
// other engines. The caller must hold t.mutex.
func (t *term) awaitingWeights(engines []reconcile.EngineStatus) []*zonestate.Engine {
	var waiting []*zonestate.Engine
	known := map[string]bool{}
	for index := range engines {
		engine := &engines[index].Engine
		reachable := engines[index].Reported != nil && engines[index].SinceLastResponse < engineUnreachableAfter
		if !reachable || engine.Order != nil || engine.Drained || engine.Leaving || !needsWeights(engine) {
			continue
		}
		known[engine.ID] = true
		waiting = append(waiting, engine)
	}
	for id := range t.prefetched {
		if !known[id] {
			delete(t.prefetched, id)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *zonestate.Engine) int {
		return cmp.Compare(prefetchRank(a), prefetchRank(b))
	})
	return waiting
}

// needsWeights reports whether an engine's desired model or version differs from
// the one that it is verified to run.
func needsWeights(engine *zonestate.Engine) bool {
	if engine.Desired == nil || engine.Verified == nil {
		return false
	}
	return engine.Desired.Model != engine.Verified.Model || engine.Desired.Version != engine.Verified.Version
}

// prefetchRank is the sort key that puts first the engines that already drain for
// their change.
func prefetchRank(engine *zonestate.Engine) int {
	if engine.Changing {
		return 0
	}
	return 1
}

// forgetPrefetch deletes the record of a prefetch that was not sent, so that it is
// requested again.
func (t *term) forgetPrefetch(engineID string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.prefetched, engineID)
}
