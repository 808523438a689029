package zonegroup

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// evidenceTimeout bounds one call with evidence at one controller.
const evidenceTimeout = 500 * time.Millisecond

// NewEvidence returns what tells the zone group under which requests engines and back ends have
// ended, with a guard that knows which are held: the keeper's heartbeats bring it the news. contact is
// how long processes that reach each other may take to know what one knows.
func NewEvidence(gatewayID string, keeper *Keeper, caller *Caller, clock func() time.Duration, contact time.Duration, logger logr.Logger) *poison.Reporter {
	options := poison.Options{
		Now:         clock,
		InSync:      func() bool { return keeper.LeaseState(clock()) == membership.LeaseHeld },
		ContactTime: contact,
		Retention:   poison.DefaultHold,
	}
	tell := func(ctx context.Context, report *poison.Report) error {
		return caller.Call(ctx, wire.PathPoison, evidenceTimeout, report, &poison.News{})
	}
	return poison.NewReporter(gatewayID, options, tell, logger)
}
