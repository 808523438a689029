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

// maximumPrefetches bounds the engines that fetch weights ahead of their order at
// the same time: the weight store's rate is shared with engines that are away until
// they have theirs.
const maximumPrefetches = 2

// prefetchCall asks an engine to fetch weights.
type prefetchCall struct {
	engineID string
	address  string
	request  engineapi.PrefetchRequest
}

// prefetch lets engines fetch the weights of their next configuration while their
// requests still run. The answer doesn't matter: an engine without the weights
// fetches them when the order comes.
func (c *Controller) prefetch(ctx context.Context, t *term) {
	for _, call := range t.prefetches(c.now()) {
		err := c.workers.Submit(func() {
			if err := c.backEnds.post(ctx, call.address, engineapi.PathPrefetch, &call.request, nil); err != nil {
				c.logger.V(1).Info("prefetch was not accepted", "engine", call.engineID, "error", err.Error())
			}
		})
		if err != nil {
			t.forgetPrefetch(call.engineID)
		}
	}
}

// prefetches lists the engines to be asked now. Each wish is asked for once in a
// term; engines that drain go first.
func (t *term) prefetches(now time.Duration) []prefetchCall {
	var calls []prefetchCall
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		waiting := t.awaitingWeights(core.Status(now, state))
		ahead := 0
		for _, engine := range waiting {
			if t.prefetched[engine.ID] == engine.DesiredAt {
				ahead++
			}
		}
		for _, engine := range waiting {
			if ahead >= maximumPrefetches {
				return
			}
			if t.prefetched[engine.ID] == engine.DesiredAt {
				continue
			}
			ahead++
			t.prefetched[engine.ID] = engine.DesiredAt
			calls = append(calls, prefetchCall{engineID: engine.ID, address: engine.Address, request: engineapi.PrefetchRequest{
				Model: engine.Desired.Model, Version: engine.Desired.Version,
			}})
		}
	})
	return calls
}

// awaitingWeights lists the engines that will change their model or version and
// have no order yet. It forgets the others.
func (t *term) awaitingWeights(engines []reconcile.EngineStatus) []*zonestate.Engine {
	var waiting []*zonestate.Engine
	known := map[string]bool{}
	for index := range engines {
		engine := &engines[index].Engine
		answers := engines[index].Reported != nil && engines[index].SinceLastResponse < engineSilence
		if !answers || engine.Order != nil || engine.Drained || engine.Leaving || !needsWeights(engine) {
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
		return cmp.Compare(changingOrder(a), changingOrder(b))
	})
	return waiting
}

// needsWeights reports whether an engine should run other weights than it does.
func needsWeights(engine *zonestate.Engine) bool {
	if engine.Desired == nil || engine.Verified == nil {
		return false
	}
	return engine.Desired.Model != engine.Verified.Model || engine.Desired.Version != engine.Verified.Version
}

// changingOrder puts engines first that drain already.
func changingOrder(engine *zonestate.Engine) int {
	if engine.Changing {
		return 0
	}
	return 1
}

func (t *term) forgetPrefetch(engineID string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.prefetched, engineID)
}
