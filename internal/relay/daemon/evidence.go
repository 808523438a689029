package daemon

import (
	"context"
	"sync/atomic"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// evidence tells coordinators under which requests replicas have ended, and learns which are held.
type evidence struct {
	client *rpc.Client
	keeper *viewKeeper
	guard  *poison.Guard
	teller *poison.Teller
	// dropped counts the digests that were given up for lack of room.
	dropped atomic.Int64
}

func newEvidence(settings Settings, client *rpc.Client) *evidence {
	if settings.Contact == 0 {
		settings.Contact = coordinator.DefaultContact
	}
	if settings.Hold == 0 {
		settings.Hold = poison.DefaultHold
	}
	e := &evidence{client: client}
	logger := settings.Logger
	e.guard = poison.NewGuard(poison.Options{
		Now:     uptime.Since(settings.Now),
		InTouch: func() bool { return e.inTouch() },
		Contact: settings.Contact,
		Memory:  settings.Hold,
		Dropped: func(digests int) {
			e.dropped.Add(int64(digests))
			logger.Info(event.PoisonDropped, "digests", digests)
		},
	})
	e.teller = &poison.Teller{
		Guard:   e.guard,
		Gateway: settings.Name,
		Tell:    e.tell,
		Told: func(report *poison.Report, err error) {
			logger.Info(event.PoisonUntold, "ends", len(report.Ends), "ran_well", len(report.RanWell), "error", failure.Text(err))
		},
		HeldHere: func(digest poison.Digest) { logger.Info(event.RequestHeldHere, "digest", digest.String()) },
	}
	return e
}

// inTouch reports whether a coordinator that a majority confirms has been heard of late.
func (e *evidence) inTouch() bool {
	age, known := e.keeper.age()
	return known && age < staleAge
}

// tell tells the coordinator that is polled.
func (e *evidence) tell(ctx context.Context, report *poison.Report) error {
	to := e.keeper.asked.Load()
	if to == nil {
		return failure.New(failure.NotReady, "no coordinator is known yet")
	}
	return e.client.Call(ctx, *to, region.PathPoison, report, &region.PoisonReply{})
}
