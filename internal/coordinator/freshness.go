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

// freshness is the time up to which this coordinator's copy is known to be
// complete.
type freshness struct {
	mutex     sync.Mutex
	confirmed bool
	at        time.Duration
}

func (f *freshness) set(at time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.confirmed && at < f.at {
		return
	}
	f.confirmed = true
	f.at = at
}

// age returns the copy's age, negative if nothing was ever confirmed.
func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.confirmed {
		return -1
	}
	return now - f.at
}

// confirm keeps the copy's freshness up to date.
func (c *Coordinator) confirm(ctx context.Context) {
	known := false
	for lifecycle.Sleep(ctx, freshnessInterval) {
		err := c.confirmOnce(ctx)
		if fresh := err == nil; fresh != known {
			known = fresh
			c.logger.Info(event.CopyFreshness, "fresh", fresh, "leader", c.group.LeaderAddress(),
				"applied", c.group.Runner.Status().AppliedIndex, "error", failure.Text(err))
		}
	}
}

// confirmOnce makes sure that everything acknowledged before the call has been
// applied here.
func (c *Coordinator) confirmOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	begun := c.now()
	hash := c.gateways.known().hash
	members := c.zones.of(c.sortedMembers())
	leader := c.group.LeaderAddress()
	news, revision := c.usage.news(leader)
	request := &region.ReadIndexRequest{
		From:        c.settings.Address,
		Zone:        c.settings.Zone,
		MembersHash: members.hash,
		Gateways:    c.gateways.own(begun),
		PeersHash:   hash,
		Demand:      c.demand.sum(begun),
		Clocks:      append(c.usage.own.Read(), time.Now().UnixNano()),
		Usage:       news,
		Protocol:    build.Protocol,
		Revision:    build.Revision(),
		OtherBuilds: c.builds.others(c.gateways.own(begun)),
	}
	reply, err := c.askReadIndex(ctx, request)
	if err != nil {
		c.usage.forgetTold()
		return err
	}
	c.usage.told(leader, revision)
	c.zones.take(reply.Members)
	if reply.RegionNanos > 0 && !c.group.Leads() {
		c.usage.clock.Set(time.Now(), time.Unix(0, reply.RegionNanos))
	}
	if err := c.awaitApplied(ctx, reply.Index); err != nil {
		return err
	}
	if reply.PeersHash != hash {
		c.gateways.take(reply.Peers)
	}
	c.freshness.set(begun)
	return nil
}

func (c *Coordinator) askReadIndex(ctx context.Context, request *region.ReadIndexRequest) (*region.ReadIndexReply, error) {
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

// appliedPoll is the pause between two looks at the applied position.
const appliedPoll = 5 * time.Millisecond

func (c *Coordinator) awaitApplied(ctx context.Context, index uint64) error {
	for c.group.Runner.Status().AppliedIndex < index {
		if !lifecycle.Sleep(ctx, appliedPoll) {
			return failure.New(failure.NoQuorum, "the copy has not caught up in time")
		}
	}
	return nil
}

// handleReadIndex answers at the leader.
func (c *Coordinator) handleReadIndex(ctx context.Context, request *region.ReadIndexRequest) (*region.ReadIndexReply, error) {
	if err := c.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	now := c.now()
	c.gateways.learn(now, request.Gateways)
	if request.From != c.settings.Address {
		c.reported.take(now, request.From, request.Demand)
	}
	c.usage.takeClocks(request.From, request.Clocks)
	if request.From != c.settings.Address {
		for index := range request.Usage {
			c.takeUsage(&request.Usage[index])
		}
	}
	c.zones.learn(request.From, request.Zone)
	c.builds.report(request)
	peers := c.gateways.all(now)
	reply := &region.ReadIndexReply{
		Index:       c.group.Runner.Status().AppliedIndex,
		PeersHash:   peers.hash,
		RegionNanos: c.usage.clock.Now().UnixNano(),
	}
	if reply.PeersHash != request.PeersHash {
		reply.Peers = peers.addresses
	}
	if members := c.zones.of(c.sortedMembers()); members.hash != request.MembersHash {
		reply.Members = members.told()
	}
	return reply, nil
}
