package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/build"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// freshness holds the time up to which this coordinator's copy of the state is
// confirmed to be complete.
type freshness struct {
	mutex       sync.Mutex
	confirmed   bool
	confirmedAt time.Duration
}

// set records that the copy was complete at a time. Confirmations may overlap, so a time before the
// recorded one is ignored.
func (f *freshness) set(at time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.confirmed && at < f.confirmedAt {
		return
	}
	f.confirmed = true
	f.confirmedAt = at
}

// age returns the copy's age, or a negative value if it was never confirmed.
func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.confirmed {
		return -1
	}
	return now - f.confirmedAt
}

// keepFresh confirms the copy at regular intervals, and logs when it becomes fresh or
// stale.
func (c *Coordinator) keepFresh(ctx context.Context) {
	wasFresh := false
	for lifecycle.Sleep(ctx, freshnessInterval) {
		err := c.confirmCopy(ctx)
		if fresh := err == nil; fresh != wasFresh {
			wasFresh = fresh
			c.logger.Info(event.CopyFreshness, "fresh", fresh, "leader", c.group.LeaderAddress(),
				"applied", c.group.Runner.Status().AppliedIndex, "error", failure.Text(err))
		}
	}
}

// confirmCopy ensures that everything acknowledged before the call is applied here.
// With the same message it sends the leader what this coordinator has collected:
// gateways, demand, clocks, usage and builds.
func (c *Coordinator) confirmCopy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	start := c.now()
	peersHash := c.gateways.known().hash
	members := c.zones.withZones(c.sortedMembers())
	leader := c.group.LeaderAddress()
	usage, revision := c.usage.unreported(leader)
	held := c.heldView()
	request := &region.ReadIndexRequest{
		From:        c.settings.Address,
		Zone:        c.settings.Zone,
		MembersHash: members.hash,
		Gateways:    c.gateways.localGateways(start),
		PeersHash:   peersHash,
		Demand:      c.gatewayDemand.sum(start),
		Clocks:      append(c.usage.ownClocks.Read(), time.Now().UnixNano()),
		Usage:       usage,
		Protocol:    build.Protocol,
		Revision:    build.Revision(),
		OtherBuilds: c.builds.otherBuilds(c.gateways.localGateways(start)),
		ListHeld:    held.list,
		VersionHeld: held.version,
	}
	reply, err := c.requestReadIndex(ctx, request)
	if err != nil {
		c.usage.resetReported()
		return err
	}
	c.usage.markReported(leader, revision)
	c.zones.merge(reply.Members)
	if reply.RegionNanos > 0 && !c.group.Leads() {
		c.usage.clock.Set(time.Now(), time.Unix(0, reply.RegionNanos))
	}
	if err := c.awaitApplied(ctx, reply.Index); err != nil {
		return err
	}
	if reply.PeersHash != peersHash {
		c.gateways.setFromLeader(reply.Peers)
	}
	c.freshness.set(start)
	c.listAges.set(c.now(), reply.ListMillis, reply.PageMillis)
	return nil
}

func (c *Coordinator) requestReadIndex(ctx context.Context, request *region.ReadIndexRequest) (*region.ReadIndexReply, error) {
	if c.group.Leads() {
		return c.handleReadIndex(ctx, request)
	}
	leader := c.group.LeaderAddress()
	if leader == "" {
		return nil, failure.New(failure.NoQuorum, "no leader is known")
	}
	reply := &region.ReadIndexReply{}
	err := c.client.Call(ctx, leader, region.PathReadIndex, request, reply)
	return reply, err
}

// appliedPollInterval is the time between two checks of the applied log position.
const appliedPollInterval = 5 * time.Millisecond

func (c *Coordinator) awaitApplied(ctx context.Context, index uint64) error {
	for c.group.Runner.Status().AppliedIndex < index {
		if !lifecycle.Sleep(ctx, appliedPollInterval) {
			return failure.New(failure.NoQuorum, "the copy has not caught up in time")
		}
	}
	return nil
}

// handleReadIndex confirms the leadership of this coordinator with a majority and returns
// the applied log position. It records what the caller reports. It fails unless this
// coordinator is the leader.
func (c *Coordinator) handleReadIndex(ctx context.Context, request *region.ReadIndexRequest) (*region.ReadIndexReply, error) {
	if err := c.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	now := c.now()
	c.gateways.recordReported(now, request.Gateways)
	if request.From != c.settings.Address {
		c.coordinatorDemand.put(now, request.From, request.Demand)
	}
	c.usage.recordClocks(request.From, request.Clocks)
	if request.From != c.settings.Address {
		for index := range request.Usage {
			c.recordUsage(&request.Usage[index])
		}
	}
	c.zones.set(request.From, request.Zone)
	c.renewMemberView(now, request.From, heldView{list: request.ListHeld, version: request.VersionHeld})
	c.builds.recordReport(request)
	peers := c.gateways.all(now)
	reply := &region.ReadIndexReply{
		Index:       c.group.Runner.Status().AppliedIndex,
		PeersHash:   peers.hash,
		RegionNanos: c.usage.clock.Now().UnixNano(),
	}
	reply.ListMillis, reply.PageMillis = c.list.ages()
	if reply.PeersHash != request.PeersHash {
		reply.Peers = peers.addresses
	}
	if members := c.zones.withZones(c.sortedMembers()); members.hash != request.MembersHash {
		reply.Members = members.known()
	}
	return reply, nil
}
