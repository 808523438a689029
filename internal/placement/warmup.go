package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// PrefixSource returns the parts of prompts that an incarnation of a replica has cached. It fails
// if another incarnation answers.
type PrefixSource interface {
	Cached(ctx context.Context, replica region.Replica) ([]relay.PromptPart, error)
}

const (
	// warmupPollInterval is the time between two checks for replicas to query.
	warmupPollInterval = 50 * time.Millisecond
	// WarmupTime is the time after the start during which replicas are queried: a replica that
	// starts later has nothing cached that this process does not learn of.
	WarmupTime         = 3 * time.Second
	warmupCallTimeout  = 400 * time.Millisecond
	maximumWarmupCalls = 4
)

// Warmup queries model replicas for their cached prefixes. A restarted process has lost this state,
// and without it prefixes would be prefilled again.
type Warmup struct {
	// Source is queried; nil disables the queries.
	Source PrefixSource
	// Owns selects the replicas that this process queries; nil selects all. A replica does no other
	// work while it answers, so that only one of many coordinators queries it and reports the
	// result to the others.
	Owns      func(replica region.Replica) bool
	Directory *relay.Directory
	Logger    logr.Logger
}

// Run queries each incarnation of a replica once, during WarmupTime after the start.
func (w *Warmup) Run(ctx context.Context) {
	if w.Source == nil {
		return
	}
	startedAt := time.Now()
	queried := map[region.Incarnation]bool{}
	semaphore := make(chan struct{}, maximumWarmupCalls)
	var calls sync.WaitGroup
	for time.Since(startedAt) < WarmupTime && lifecycle.Sleep(ctx, warmupPollInterval) {
		for _, replica := range w.Directory.ModelReplicas() {
			if queried[replica.Incarnation()] || w.Owns != nil && !w.Owns(replica) {
				continue
			}
			queried[replica.Incarnation()] = true
			calls.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				w.query(ctx, replica)
			})
		}
	}
	calls.Wait()
}

func (w *Warmup) query(ctx context.Context, replica region.Replica) {
	ctx, cancel := context.WithTimeout(ctx, warmupCallTimeout)
	defer cancel()
	parts, err := w.Source.Cached(ctx, replica)
	if err != nil {
		w.Logger.V(1).Info(event.PrefixesUnknown, "replica", replica.ID, "error", err.Error())
		return
	}
	w.Directory.AddCached(replica.Incarnation(), parts)
	w.Logger.V(1).Info(event.PrefixesLearned, "replica", replica.ID, "parts", len(parts))
}
