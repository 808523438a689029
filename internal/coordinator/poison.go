package coordinator

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

const (
	// poisonInterval is the interval at which the evidence is evaluated.
	poisonInterval = 50 * time.Millisecond
	// DefaultContactTime is the default of the contact time: how long information may take to spread
	// between processes that reach each other.
	DefaultContactTime = 3 * time.Second
)

// handlePoison handles a gateway's evidence at the leader. Other coordinators forward it to the leader.
func (c *Coordinator) handlePoison(ctx context.Context, report *poison.Report) (*region.PoisonReply, error) {
	if c.group.Leads() {
		return c.commitPoison(ctx, &poison.Command{Crashes: report.Crashes, Completions: report.Completions})
	}
	bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	return c.poisonAtLeader(bounded, region.PathPoison, report)
}

// handleRelease releases held requests at the leader.
func (c *Coordinator) handleRelease(ctx context.Context, command *poison.Command) (*region.PoisonReply, error) {
	if !c.group.Leads() {
		return nil, rpc.NotLeader(c.group.LeaderAddress())
	}
	return c.commitPoison(ctx, &poison.Command{Release: command.Release})
}

// poisonAtLeader forwards crash evidence to the leader. Until the context ends, it tries again at
// whichever coordinator leads then if no leader is known, the one called does not lead any more, or the
// request was not delivered.
func (c *Coordinator) poisonAtLeader(ctx context.Context, path string, request message) (*region.PoisonReply, error) {
	reply := &region.PoisonReply{}
	err := c.atLeader(ctx, func(ctx context.Context, leader string) error {
		return c.client.Call(ctx, leader, path, request, reply)
	})
	return reply, err
}

// commitPoison commits a command at the leader with the region's time. The reply reports whether one of the
// requests to release was held.
func (c *Coordinator) commitPoison(ctx context.Context, command *poison.Command) (*region.PoisonReply, error) {
	state, _ := c.machine.read()
	reply := &region.PoisonReply{}
	for _, digest := range command.Release {
		reply.Known = reply.Known || state.Poison.Holds(digest)
	}
	command.At = c.usage.clock.Now().UnixNano()
	_, err := c.commit(ctx, &region.Command{Poison: command})
	return reply, err
}

// holdPoisonedRequests holds requests for which there is enough evidence, and deletes expired evidence and holds,
// while this coordinator leads.
func (c *Coordinator) holdPoisonedRequests(ctx context.Context) {
	dropped := uint64(0)
	for lifecycle.Sleep(ctx, poisonInterval) {
		if !c.group.Leads() {
			continue
		}
		state, _ := c.machine.read()
		if state.Poison.Dropped != dropped {
			c.logger.Info(event.PoisonDropped, "records", state.Poison.Dropped, "since", dropped)
			dropped = state.Poison.Dropped
		}
		now := c.usage.clock.Now().UnixNano()
		command := state.Poison.Next(now, poison.SettleTime(c.settings.ContactTime), c.settings.EvidenceHoldTime)
		if command == nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
		_, err := c.commitPoison(bounded, command)
		cancel()
		c.logHeldRequests(state.Poison, command, err)
	}
}

// logHeldRequests logs each request that a command holds, and the deletion of expired records.
func (c *Coordinator) logHeldRequests(known poison.State, command *poison.Command, err error) {
	for _, digest := range command.Hold {
		record, _ := known.Find(digest)
		c.logger.Info(event.RequestHeld, "digest", digest.String(), "replicas_ended", record.Total,
			"evidence_ms", time.Duration(command.At-record.FirstAt).Milliseconds(), "error", failure.Text(err))
	}
	if command.ForgetBefore > 0 {
		c.logger.Info(event.PoisonForgotten, "before", time.Unix(0, command.ForgetBefore).UTC().Format(time.RFC3339), "error", failure.Text(err))
	}
}

// HeldRequests lists the requests that are sent to no replica, the most recently held first. It
// fails if this coordinator can't confirm that its state is complete.
func (c *Coordinator) HeldRequests(ctx context.Context) ([]poison.Held, error) {
	if err := c.confirmCopy(ctx); err != nil {
		return nil, failure.Wrap(err, failure.NoQuorum)
	}
	state, _ := c.machine.read()
	return state.Poison.Held(), nil
}

// ReleaseRequest releases a held request. It fails with failure.NotFound if none with the digest is held.
func (c *Coordinator) ReleaseRequest(ctx context.Context, digest poison.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	command := &poison.Command{Release: []poison.Digest{digest}}
	var reply *region.PoisonReply
	err := c.atLeader(ctx, func(ctx context.Context, leader string) (err error) {
		if leader == c.settings.Address {
			reply, err = c.handleRelease(ctx, command)
			return err
		}
		reply = &region.PoisonReply{}
		return c.client.Call(ctx, leader, region.PathRelease, command, reply)
	})
	c.logger.Info(event.RequestReleased, "digest", digest.String(), "known", err == nil && reply.Known, "error", failure.Text(err))
	if err == nil && !reply.Known {
		return failure.New(failure.NotFound, "no request with this digest is held")
	}
	return err
}

// heldCount returns the number of held requests, for the metrics.
func (c *Coordinator) heldCount() int {
	state, _ := c.machine.read()
	return len(state.Poison.HeldDigests())
}
