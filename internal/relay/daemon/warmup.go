package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// PrefixSource tells which parts of prompts a replica keeps.
type PrefixSource interface {
	Kept(ctx context.Context, replica region.Replica) ([]relay.PromptPart, error)
}

const (
	// warmupPoll is the pause between two looks for replicas to ask.
	warmupPoll = 50 * time.Millisecond
	// warmupTime is how long after the start replicas are asked: what comes later
	// keeps nothing that this gateway does not hear of.
	warmupTime        = 3 * time.Second
	warmupCallTimeout = 400 * time.Millisecond
	warmupCalls       = 4
)

// warmUp asks each model replica once what it keeps: a gateway that has restarted
// has forgotten it, and would have prefixes read again.
func (d *Daemon) warmUp(ctx context.Context) {
	if d.settings.Prefixes == nil {
		return
	}
	begun := time.Now()
	asked := map[string]bool{}
	slots := make(chan struct{}, warmupCalls)
	var calls sync.WaitGroup
	for time.Since(begun) < warmupTime && lifecycle.Sleep(ctx, warmupPoll) {
		for _, replica := range d.directory.ModelReplicas() {
			if asked[replica.ID] {
				continue
			}
			asked[replica.ID] = true
			calls.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				d.askKept(ctx, replica)
			})
		}
	}
	calls.Wait()
}

func (d *Daemon) askKept(ctx context.Context, replica region.Replica) {
	ctx, cancel := context.WithTimeout(ctx, warmupCallTimeout)
	defer cancel()
	parts, err := d.settings.Prefixes.Kept(ctx, replica)
	if err != nil {
		d.settings.Logger.V(1).Info(event.PrefixesUnknown, "replica", replica.ID, "error", err.Error())
		return
	}
	d.directory.LearnKept(replica.ID, parts)
	d.settings.Logger.V(1).Info(event.PrefixesLearned, "replica", replica.ID, "parts", len(parts))
}
