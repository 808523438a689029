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

// PrefixSource tells which parts of prompts a life of a replica keeps; it fails if another life answers.
type PrefixSource interface {
	Kept(ctx context.Context, replica region.Replica) ([]relay.PromptPart, error)
}

const (
	// warmupPoll is the pause between two looks for replicas to ask.
	warmupPoll = 50 * time.Millisecond
	// WarmupTime is how long after the start replicas are asked: what comes later
	// keeps nothing that this process does not hear of.
	WarmupTime        = 3 * time.Second
	warmupCallTimeout = 400 * time.Millisecond
	warmupCalls       = 4
)

// Warmup asks model replicas what they keep: a process that has restarted has forgotten it,
// and would have prefixes read again.
type Warmup struct {
	// Source is asked; nil for none.
	Source PrefixSource
	// Owns says which replicas this process asks; nil for all. What they say holds up their work, so that
	// of many coordinators one asks and tells the others.
	Owns      func(replica region.Replica) bool
	Directory *relay.Directory
	Logger    logr.Logger
}

// Run asks each replica once, for a while after the start.
func (w *Warmup) Run(ctx context.Context) {
	if w.Source == nil {
		return
	}
	begun := time.Now()
	asked := map[region.Life]bool{}
	slots := make(chan struct{}, warmupCalls)
	var calls sync.WaitGroup
	for time.Since(begun) < WarmupTime && lifecycle.Sleep(ctx, warmupPoll) {
		for _, replica := range w.Directory.ModelReplicas() {
			if asked[replica.Life()] || w.Owns != nil && !w.Owns(replica) {
				continue
			}
			asked[replica.Life()] = true
			calls.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				w.ask(ctx, replica)
			})
		}
	}
	calls.Wait()
}

func (w *Warmup) ask(ctx context.Context, replica region.Replica) {
	ctx, cancel := context.WithTimeout(ctx, warmupCallTimeout)
	defer cancel()
	parts, err := w.Source.Kept(ctx, replica)
	if err != nil {
		w.Logger.V(1).Info(event.PrefixesUnknown, "replica", replica.ID, "error", err.Error())
		return
	}
	w.Directory.LearnKept(replica.Life(), parts)
	w.Logger.V(1).Info(event.PrefixesLearned, "replica", replica.ID, "parts", len(parts))
}
