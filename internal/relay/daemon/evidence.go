package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

const (
	// tellPause gathers what happens at the same moment into one report, and is the pause before
	// a report is told again.
	tellPause   = 50 * time.Millisecond
	tellTimeout = 900 * time.Millisecond
	// lookInterval is the pause between two looks at the gateway's own evidence.
	lookInterval = 100 * time.Millisecond
)

// evidence tells coordinators under which requests replicas have ended, and learns which are held.
type evidence struct {
	settings Settings
	client   *rpc.Client
	keeper   *viewKeeper
	guard    *poison.Guard
	// dropped counts the digests that were given up for lack of room.
	dropped atomic.Int64
}

func newEvidence(settings Settings, client *rpc.Client, clock func() time.Duration) *evidence {
	if settings.Contact == 0 {
		settings.Contact = coordinator.DefaultContact
	}
	if settings.Hold == 0 {
		settings.Hold = coordinator.DefaultHold
	}
	e := &evidence{settings: settings, client: client}
	e.guard = poison.NewGuard(poison.Options{
		Now:     clock,
		InTouch: func() bool { return e.inTouch() },
		Contact: settings.Contact,
		Memory:  settings.Hold,
		Dropped: func(digests int) {
			e.dropped.Add(int64(digests))
			settings.Logger.Info(event.PoisonDropped, "digests", digests)
		},
	})
	return e
}

// inTouch reports whether a coordinator that a majority confirms has been heard of late.
func (e *evidence) inTouch() bool {
	age, known := e.keeper.age()
	return known && age < staleAge
}

// look holds requests by the gateway's own evidence while it reaches no coordinator.
func (e *evidence) look(ctx context.Context) {
	for lifecycle.Sleep(ctx, lookInterval) {
		for _, digest := range e.guard.Look() {
			e.settings.Logger.Info(event.RequestHeldHere, "digest", digest.String())
		}
	}
}

// tell tells a coordinator what has happened, each thing until one has taken it.
func (e *evidence) tell(ctx context.Context) {
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.guard.Wake():
		}
		if !lifecycle.Sleep(ctx, tellPause) {
			return
		}
		report := e.guard.Report(e.settings.Name)
		if report == nil {
			continue
		}
		to, err := e.tellOnce(ctx, report)
		if err != nil {
			e.guard.Return(report)
		}
		if (err != nil) != failed {
			failed = err != nil
			e.settings.Logger.Info(event.PoisonUntold, "coordinator", to, "ends", len(report.Ends), "ran_well", len(report.RanWell),
				"error", failure.Text(err))
		}
	}
}

func (e *evidence) tellOnce(ctx context.Context, report *poison.Report) (string, error) {
	to := e.keeper.asked.Load()
	if to == nil {
		return "", failure.New(failure.NotReady, "no coordinator is known yet")
	}
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return *to, e.client.Call(bounded, *to, region.PathPoison, report, &region.PoisonReply{})
}
