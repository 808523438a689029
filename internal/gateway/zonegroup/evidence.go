package zonegroup

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// evidenceTimeout bounds one call with evidence at one controller.
const evidenceTimeout = 500 * time.Millisecond

// Evidence tells the zone group under which requests engines and back ends have ended, and knows
// which requests are held. It is safe for concurrent use.
type Evidence struct {
	Guard   *poison.Guard
	teller  *poison.Teller
	dropped atomic.Int64
}

// NewEvidence returns what knows of nothing yet; the keeper's heartbeats bring the news. contact is
// how long processes that reach each other may take to know what one knows.
func NewEvidence(gatewayID string, keeper *Keeper, caller *Caller, clock func() time.Duration, contact time.Duration, logger logr.Logger) *Evidence {
	e := &Evidence{}
	e.Guard = poison.NewGuard(poison.Options{
		Now:     clock,
		InTouch: func() bool { return keeper.LeaseState(clock()) == membership.LeaseHeld },
		Contact: contact,
		Memory:  poison.DefaultHold,
		Dropped: func(digests int) {
			e.dropped.Add(int64(digests))
			logger.Info(event.PoisonDropped, "digests", digests)
		},
	})
	e.teller = &poison.Teller{
		Guard:   e.Guard,
		Gateway: gatewayID,
		Tell: func(ctx context.Context, report *poison.Report) error {
			return caller.Call(ctx, wire.PathPoison, evidenceTimeout, report, &poison.News{})
		},
		Told: func(report *poison.Report, err error) {
			logger.Info(event.PoisonUntold, "ends", len(report.Ends), "ran_well", len(report.RanWell), "error", failure.Text(err))
		},
		HeldHere: func(digest poison.Digest) { logger.Info(event.RequestHeldHere, "digest", digest.String()) },
	}
	return e
}

// Run tells what is to be told until the context ends.
func (e *Evidence) Run(ctx context.Context) { e.teller.Run(ctx) }

// Dropped counts the digests that were given up for lack of room.
func (e *Evidence) Dropped() int64 { return e.dropped.Load() }
