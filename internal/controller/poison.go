package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	// poisonInterval is the pause between two looks at the evidence.
	poisonInterval = 50 * time.Millisecond
	// sameEnd is within how long reports of an engine's end are of the same end: an engine that
	// has ended takes longer to serve again.
	sameEnd = time.Second
)

// engineEnds names the ends of engines, whose ids outlive them: each end is another piece of
// evidence, and all gateways' reports of it are one. It may be used concurrently.
type engineEnds struct {
	mutex sync.Mutex
	first map[string]time.Time
}

// name returns the name of an engine's end that was reported at a time.
func (e *engineEnds) name(engine string, now time.Time) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.first == nil {
		e.first = map[string]time.Time{}
	}
	first, known := e.first[engine]
	if !known || now.Sub(first) > sameEnd {
		first = now
		e.first[engine] = now
	}
	return fmt.Sprintf("%s@%d", engine, first.UnixMilli())
}

// handlePoison takes a gateway's report at the leader.
func (c *Controller) handlePoison(ctx context.Context, report *poison.Report) (*poison.News, error) {
	if c.currentTerm() == nil {
		return nil, c.notLeading()
	}
	now := time.Now()
	command := &poison.Command{Completions: report.Completions}
	for _, end := range report.Crashes {
		command.Crashes = append(command.Crashes, poison.Crash{Replica: c.engineEnds.name(end.Replica, now), Requests: end.Requests})
	}
	return &poison.News{}, c.commitPoison(ctx, command)
}

func (c *Controller) commitPoison(ctx context.Context, command *poison.Command) error {
	command.At = time.Now().UnixNano()
	result, err := c.proposeZone(ctx, &zonestate.Command{Kind: zonestate.KindPoison, Poison: command})
	if err != nil {
		return err
	}
	return refusal(result)
}

// poisonState is what the zone knows of requests that end engines.
func (c *Controller) poisonState() poison.State {
	var known poison.State
	c.zoneMachine.Read(func(state *zonestate.State) { known = state.Poison() })
	return known
}

// keepPoison holds requests that the evidence convicts, and forgets what has lapsed, until the
// term ends.
func (c *Controller) keepPoison(ctx context.Context) {
	for lifecycle.Sleep(ctx, poisonInterval) {
		known := c.poisonState()
		command := known.Next(time.Now().UnixNano(), poison.SettleTime(c.settings.SessionLease), c.settings.RequestHold)
		if command == nil {
			continue
		}
		err := c.commitPoison(ctx, command)
		for _, digest := range command.Hold {
			record, _ := known.Find(digest)
			c.logger.Info(event.RequestHeld, "digest", digest.String(), "engines_ended", record.Total, "error", failure.Text(err))
		}
	}
}

// tellInterval is the pause between two looks for something to tell another zone, and
// maximumTold bounds the digests of one call.
const (
	tellInterval = 100 * time.Millisecond
	maximumTold  = 256
)

// tellHolds tells another zone's leader of the requests that this zone holds, each until it has
// taken it: requests go from zone to zone, and each zone would have to lose engines to learn of them.
func (c *Controller) tellHolds(ctx context.Context, zone string) {
	told := map[poison.Digest]bool{}
	for lifecycle.Sleep(ctx, tellInterval) {
		known := c.poisonState()
		untold := slices.DeleteFunc(known.HeldDigests(), func(digest poison.Digest) bool { return told[digest] })
		if len(untold) == 0 {
			continue
		}
		untold = untold[:min(len(untold), maximumTold)]
		if err := c.callHolds(ctx, zone, &poison.Command{HeldElsewhere: untold}); err != nil {
			c.logger.V(1).Info("holds not told", "zone", zone, "holds", len(untold), "error", err.Error())
			continue
		}
		for _, digest := range untold {
			told[digest] = true
		}
	}
}

// callHolds tells another zone's leader of holds and releases.
func (c *Controller) callHolds(ctx context.Context, zone string, command *poison.Command) error {
	call, err := c.zoneLeaderCall(zone, func(ctx context.Context, address string) error {
		return c.client.Call(ctx, address, peer.PathZoneHolds, command, &peer.Empty{})
	})
	if err != nil {
		return err
	}
	return call.run(ctx)
}

// handleZoneHolds takes what another zone holds or has let go, at the leader.
func (c *Controller) handleZoneHolds(ctx context.Context, told *poison.Command) (*peer.Empty, error) {
	if c.currentTerm() == nil {
		return nil, c.notLeading()
	}
	known := c.poisonState()
	command := &poison.Command{
		HeldElsewhere: slices.DeleteFunc(slices.Clone(told.HeldElsewhere), known.Holds),
		Release:       slices.DeleteFunc(slices.Clone(told.Release), func(digest poison.Digest) bool { return !known.Holds(digest) }),
	}
	if len(command.HeldElsewhere)+len(command.Release) == 0 {
		return &peer.Empty{}, nil
	}
	return &peer.Empty{}, c.commitPoison(ctx, command)
}

// HeldRequests implements operatorapi.Backend. A controller that does not lead may lack the newest.
func (c *Controller) HeldRequests(context.Context) ([]poison.Held, error) {
	known := c.poisonState()
	return known.Held(), nil
}

// ReleaseRequest implements operatorapi.Backend: it lets a request go in all zones. An error says
// that a zone may still hold it; it may be repeated.
func (c *Controller) ReleaseRequest(ctx context.Context, digest poison.Digest) error {
	if c.currentTerm() == nil {
		return c.notLeading()
	}
	known := c.poisonState()
	release := &poison.Command{Release: []poison.Digest{digest}}
	problems := make([]error, 0, len(c.settings.Zones))
	for _, zone := range c.settings.Zones {
		if zone != c.settings.Zone {
			problems = append(problems, c.callHolds(ctx, zone, release))
		}
	}
	if known.Holds(digest) {
		problems = append(problems, c.commitPoison(ctx, release))
	}
	err := errors.Join(problems...)
	c.logger.Info(event.RequestReleased, "digest", digest.String(), "known", known.Holds(digest), "error", failure.Text(err))
	switch {
	case err != nil:
		return failure.Wrap(err, failure.NoQuorum)
	case !known.Holds(digest):
		return failure.New(failure.NotFound, "no request with this digest is held")
	}
	return nil
}
