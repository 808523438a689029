package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

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
	command := &poison.Command{RanWell: report.RanWell}
	for _, end := range report.Ends {
		command.Ends = append(command.Ends, poison.End{Replica: c.engineEnds.name(end.Replica, now), Under: end.Under})
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
		now := time.Now().UnixNano()
		command := &poison.Command{Hold: known.Due(now, poison.Settle(c.settings.SessionLease))}
		if before := now - c.settings.RequestHold.Nanoseconds(); known.Lapsed(before) {
			command.ForgetBefore = before
		}
		if len(command.Hold) == 0 && command.ForgetBefore == 0 {
			continue
		}
		err := c.commitPoison(ctx, command)
		for _, digest := range command.Hold {
			record, _ := known.Find(digest)
			c.logger.Info(event.RequestHeld, "digest", digest.String(), "engines_ended", record.Total, "error", failure.Text(err))
		}
	}
}

// HeldRequests implements operatorapi.Backend. A controller that does not lead may lack the newest.
func (c *Controller) HeldRequests(context.Context) ([]poison.Held, error) {
	known := c.poisonState()
	return known.Held(), nil
}

// ReleaseRequest implements operatorapi.Backend.
func (c *Controller) ReleaseRequest(ctx context.Context, digest poison.Digest) error {
	if c.currentTerm() == nil {
		return c.notLeading()
	}
	known := c.poisonState()
	if !known.Holds(digest) {
		return failure.New(failure.NotFound, "no request with this digest is held")
	}
	err := c.commitPoison(ctx, &poison.Command{Release: []poison.Digest{digest}})
	c.logger.Info(event.RequestReleased, "digest", digest.String(), "error", failure.Text(err))
	return err
}
