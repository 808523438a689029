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

// keptOwners knows which coordinators don't tell what the replicas keep that they ask. It may be used
// concurrently.
type keptOwners struct {
	mutex sync.Mutex
	// misses counts the calls that each has not answered, by its address.
	misses map[string]int
}

const (
	// keptInterval is the pause between two calls to a coordinator that does not know all yet: replicas
	// answer within some tens of milliseconds.
	keptInterval = 200 * time.Millisecond
	keptTimeout  = 400 * time.Millisecond
	// keptMisses is the number of unanswered calls after which a coordinator counts as deaf, and each of
	// the others asks its replicas; half of the time in which replicas are asked is left then.
	keptMisses = 3
)

// ownerOf is the coordinator that asks a replica what it keeps, by rendezvous hashing.
func ownerOf(members []string, replica string) string {
	return slices.MaxFunc(members, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"/"+replica), xxhash.Sum64String(b+"/"+replica))
	})
}

// asksKept reports whether this coordinator asks a replica what it keeps.
func (c *Coordinator) asksKept(replica region.Replica) bool {
	members := c.group.MemberAddresses()
	if len(members) == 0 {
		return true
	}
	owner := ownerOf(members, replica.ID)
	return owner == c.settings.Address || c.kept.isDeaf(owner)
}

func (k *keptOwners) isDeaf(address string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.misses[address] >= keptMisses
}

// missed notes that a coordinator has not answered.
func (k *keptOwners) missed(address string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.misses == nil {
		k.misses = map[string]int{}
	}
	k.misses[address]++
}

// handleKept tells another coordinator what those replicas keep that this one owns.
func (c *Coordinator) handleKept(_ context.Context, _ *region.KeptRequest) (*region.KeptReply, error) {
	members := c.group.MemberAddresses()
	reply := &region.KeptReply{}
	reply.Kept, reply.Whole = c.placement.directory.Kept(func(replica region.Replica) bool {
		return len(members) > 0 && ownerOf(members, replica.ID) == c.settings.Address
	})
	return reply, nil
}

// learnKept asks the other coordinators, for a while after the start, what the replicas keep that they
// own. Without it each asked all replicas, which do no other work meanwhile.
func (c *Coordinator) learnKept(ctx context.Context) {
	if c.settings.Prefixes == nil {
		return
	}
	end := time.Now().Add(placement.WarmupTime)
	whole := map[string]bool{}
	for time.Now().Before(end) && lifecycle.Sleep(ctx, keptInterval) {
		for _, member := range c.sortedMembers() {
			if member == c.settings.Address || whole[member] || c.kept.isDeaf(member) {
				continue
			}
			whole[member] = c.learnKeptFrom(ctx, member)
		}
	}
}

// learnKeptFrom reports whether a coordinator has told all that it has to.
func (c *Coordinator) learnKeptFrom(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	reply := &region.KeptReply{}
	if err := c.client.Call(ctx, member, region.PathKept, &region.KeptRequest{From: c.settings.Address}, reply); err != nil {
		c.logger.V(1).Info(event.PrefixesUnknown, "coordinator", member, "error", err.Error())
		c.kept.missed(member)
		return false
	}
	c.placement.directory.TakeKept(reply.Kept)
	return reply.Whole
}
