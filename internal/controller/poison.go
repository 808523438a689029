package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	// poisonInterval is the interval at which the evidence is evaluated.
	poisonInterval = 50 * time.Millisecond
	// crashReportWindow is the time within which reports of an engine's crash are taken for reports
	// of the same crash: an engine that has crashed takes longer to serve again.
	crashReportWindow = time.Second
)

// engineCrashes names the crashes of engines. An engine keeps its id when it crashes, but each crash is
// a separate piece of evidence, and all gateways' reports of one crash count as one. It may be used
// concurrently.
type engineCrashes struct {
	mutex         sync.Mutex
	firstReported map[string]time.Time
}

// crashName returns the name of an engine's crash that was reported at now: the engine's id and the
// time of the first report of this crash.
func (e *engineCrashes) crashName(engine string, now time.Time) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.firstReported == nil {
		e.firstReported = map[string]time.Time{}
	}
	first, known := e.firstReported[engine]
	if !known || now.Sub(first) > crashReportWindow {
		first = now
		e.firstReported[engine] = now
	}
	return fmt.Sprintf("%s@%d", engine, first.UnixMilli())
}

// releaseMemory is how long a leader remembers a release: longer than a call between zones may be under way.
const releaseMemory = 5 * time.Second

// recentReleases remembers which requests were released, so that a hold that another zone's leader has sent before
// it knew of the release does not take effect after it. It may be used concurrently.
type recentReleases struct {
	mutex sync.Mutex
	until map[poison.Digest]time.Time
}

// add remembers releases, and forgets those that were remembered for long enough.
func (r *recentReleases) add(now time.Time, digests ...poison.Digest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.until == nil {
		r.until = map[poison.Digest]time.Time{}
	}
	maps.DeleteFunc(r.until, func(_ poison.Digest, until time.Time) bool { return now.After(until) })
	for _, digest := range digests {
		r.until[digest] = now.Add(releaseMemory)
	}
}

// covers reports whether a request was released recently.
func (r *recentReleases) covers(digest poison.Digest) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.until[digest])
}

// handlePoison commits a gateway's report of crashes and completed requests. Only the leader accepts
// it.
func (c *Controller) handlePoison(ctx context.Context, report *poison.Report) (*poison.News, error) {
	if c.currentTerm() == nil {
		return nil, c.notLeading()
	}
	now := time.Now()
	command := &poison.Command{Completions: report.Completions}
	for _, crash := range report.Crashes {
		command.Crashes = append(command.Crashes, poison.Crash{Replica: c.engineCrashes.crashName(crash.Replica, now), Requests: crash.Requests})
	}
	return &poison.News{}, c.commitPoison(ctx, command)
}

func (c *Controller) commitPoison(ctx context.Context, command *poison.Command) error {
	command.At = time.Now().UnixNano()
	result, err := c.proposeZone(ctx, &zonestate.Command{Kind: zonestate.KindPoison, Poison: command})
	if err != nil {
		return err
	}
	return resultError(result)
}

// poisonState returns the zone's state about requests that crash engines.
func (c *Controller) poisonState() poison.State {
	var known poison.State
	c.zoneMachine.Read(func(state *zonestate.State) { known = state.Poison() })
	return known
}

// manageHolds holds the requests that according to the evidence are due to be held, and deletes
// expired evidence, until the term ends.
func (c *Controller) manageHolds(ctx context.Context) {
	for lifecycle.Sleep(ctx, poisonInterval) {
		state := c.poisonState()
		command := state.Next(time.Now().UnixNano(), poison.SettleTime(c.settings.SessionLease), c.settings.RequestHold)
		if command == nil {
			continue
		}
		err := c.commitPoison(ctx, command)
		for _, digest := range command.Hold {
			record, _ := state.Find(digest)
			c.logger.Info(event.RequestHeld, "digest", digest.String(), "engines_ended", record.Total, "error", failure.Text(err))
		}
	}
}

// holdSendInterval is the interval at which new holds are sent to another zone, and
// maximumHoldsPerCall bounds the digests of one call.
const (
	holdSendInterval    = 100 * time.Millisecond
	maximumHoldsPerCall = 256
)

// sendHolds sends the digests of the requests that this zone holds to another zone's leader, until the
// term ends. It repeats a digest until a call with it succeeds. Requests are forwarded from zone to
// zone, and without this each zone would have to lose engines before it holds them.
func (c *Controller) sendHolds(ctx context.Context, zone string) {
	sent := map[poison.Digest]bool{}
	for lifecycle.Sleep(ctx, holdSendInterval) {
		state := c.poisonState()
		unsent := slices.DeleteFunc(state.HeldDigests(), func(digest poison.Digest) bool {
			return sent[digest] || c.releases.covers(digest)
		})
		if len(unsent) == 0 {
			continue
		}
		unsent = unsent[:min(len(unsent), maximumHoldsPerCall)]
		if err := c.sendHoldCommand(ctx, zone, &poison.Command{HeldElsewhere: unsent}); err != nil {
			c.logger.V(1).Info("could not send holds to another zone's leader", "zone", zone, "holds", len(unsent), "error", err.Error())
			continue
		}
		for _, digest := range unsent {
			sent[digest] = true
		}
	}
}

// sendHoldCommand sends holds and releases to another zone's leader.
func (c *Controller) sendHoldCommand(ctx context.Context, zone string, command *poison.Command) error {
	call, err := c.zoneLeaderCall(zone, func(ctx context.Context, address string) error {
		return c.client.Call(ctx, address, peer.PathZoneHolds, command, &peer.Empty{})
	})
	if err != nil {
		return err
	}
	return call.run(ctx)
}

// handleZoneHolds commits the holds and releases of another zone, as far as they change this zone's
// state. Only the leader accepts them. A hold of a request that was released recently is rejected, so that
// its sender repeats it later if it still holds the request.
func (c *Controller) handleZoneHolds(ctx context.Context, received *poison.Command) (*peer.Empty, error) {
	if c.currentTerm() == nil {
		return nil, c.notLeading()
	}
	c.releases.add(time.Now(), received.Release...)
	if slices.ContainsFunc(received.HeldElsewhere, c.releases.covers) {
		return nil, failure.New(failure.NotReady, "a request was released meanwhile")
	}
	state := c.poisonState()
	command := &poison.Command{
		HeldElsewhere: slices.DeleteFunc(slices.Clone(received.HeldElsewhere), state.Holds),
		Release:       slices.DeleteFunc(slices.Clone(received.Release), func(digest poison.Digest) bool { return !state.Holds(digest) }),
	}
	if len(command.HeldElsewhere)+len(command.Release) == 0 {
		return &peer.Empty{}, nil
	}
	return &peer.Empty{}, c.commitPoison(ctx, command)
}

// HeldRequests implements operatorapi.Backend. If this controller does not lead, the newest holds may
// be missing.
func (c *Controller) HeldRequests(context.Context) ([]poison.Held, error) {
	state := c.poisonState()
	return state.Held(), nil
}

// ReleaseRequest implements operatorapi.Backend: it releases a held request in all zones. After an
// error a zone may still hold the request; the call may be repeated.
func (c *Controller) ReleaseRequest(ctx context.Context, digest poison.Digest) error {
	if c.currentTerm() == nil {
		return c.notLeading()
	}
	c.releases.add(time.Now(), digest)
	state := c.poisonState()
	release := &poison.Command{Release: []poison.Digest{digest}}
	problems := make([]error, 0, len(c.settings.Zones))
	for _, zone := range c.settings.Zones {
		if zone != c.settings.Zone {
			problems = append(problems, c.sendHoldCommand(ctx, zone, release))
		}
	}
	if state.Holds(digest) {
		problems = append(problems, c.commitPoison(ctx, release))
	}
	err := errors.Join(problems...)
	c.logger.Info(event.RequestReleased, "digest", digest.String(), "known", state.Holds(digest), "error", failure.Text(err))
	switch {
	case err != nil:
		return failure.Wrap(err, failure.NoQuorum)
	case !state.Holds(digest):
		return failure.New(failure.NotFound, "no request with this digest is held")
	}
	return nil
}
