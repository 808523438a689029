package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
)

// cacheOwners counts failed queries to the coordinators that own replicas. The owner of a replica is the
// coordinator that asks it which prefixes it has cached; the other coordinators query the owner instead.
// It is safe for concurrent use.
type cacheOwners struct {
	mutex sync.Mutex
	// failures is the number of failed calls to each coordinator, by its address.
	failures map[string]int
}

const (
	// cacheQueryInterval is the delay before a coordinator that has not heard from all of its replicas is
	// queried again. Replicas answer within some tens of milliseconds.
	cacheQueryInterval = 200 * time.Millisecond
	cacheQueryTimeout  = 400 * time.Millisecond
	// maximumCacheQueryFailures is the number of failed calls after which a coordinator counts as
	// unresponsive, and each of the others asks its replicas. Half of the time in which replicas are asked
	// (placement.WarmupTime) is left at that point.
	maximumCacheQueryFailures = 3
)

// cacheOwnerOf returns the coordinator that asks a replica which prefixes it has cached. It is selected by
// rendezvous hashing.
func cacheOwnerOf(members []string, replica string) string {
	return slices.MaxFunc(members, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"/"+replica), xxhash.Sum64String(b+"/"+replica))
	})
}

// queriesCache reports whether this coordinator asks a replica which prefixes it has cached: it is the owner,
// or the owner is unresponsive.
func (c *Coordinator) queriesCache(replica region.Replica) bool {
	members := c.group.MemberAddresses()
	if len(members) == 0 {
		return true
	}
	owner := cacheOwnerOf(members, replica.ID)
	return owner == c.settings.Address || c.cacheOwners.isUnresponsive(owner)
}

func (o *cacheOwners) isUnresponsive(address string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.failures[address] >= maximumCacheQueryFailures
}

// recordFailure counts a failed call to a coordinator.
func (o *cacheOwners) recordFailure(address string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.failures == nil {
		o.failures = map[string]int{}
	}
	o.failures[address]++
}

// handleCached returns to another coordinator what the replicas that this one owns have cached.
func (c *Coordinator) handleCached(_ context.Context, _ *region.CachedRequest) (*region.CachedReply, error) {
	members := c.group.MemberAddresses()
	reply := &region.CachedReply{}
	reply.Kept, reply.Whole = c.placement.directory.Cached(func(replica region.Replica) bool {
		return len(members) > 0 && cacheOwnerOf(members, replica.ID) == c.settings.Address
	})
	return reply, nil
}

// learnCached queries the other coordinators, for placement.WarmupTime after the start, for what the replicas
// that they own have cached. Otherwise each coordinator would ask all replicas, which do no other work while
// they answer.
func (c *Coordinator) learnCached(ctx context.Context) {
	if c.settings.PrefixSource == nil {
		return
	}
	end := time.Now().Add(placement.WarmupTime)
	complete := map[string]bool{}
	for time.Now().Before(end) && lifecycle.Sleep(ctx, cacheQueryInterval) {
		for _, member := range c.sortedMembers() {
			if member == c.settings.Address || complete[member] || c.cacheOwners.isUnresponsive(member) {
				continue
			}
			complete[member] = c.learnCachedFrom(ctx, member)
		}
	}
}

// learnCachedFrom queries one coordinator, and reports whether its answer was complete: it has heard from
// all replicas that it owns.
func (c *Coordinator) learnCachedFrom(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	reply := &region.CachedReply{}
	if err := c.client.Call(ctx, member, region.PathCached, &region.CachedRequest{From: c.settings.Address}, reply); err != nil {
		c.logger.V(1).Info(event.PrefixesUnknown, "coordinator", member, "error", err.Error())
		c.cacheOwners.recordFailure(member)
		return false
	}
	c.placement.directory.TakeCached(reply.Kept)
	return reply.Whole
}
