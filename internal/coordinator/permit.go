package coordinator

import (
	"context"
	"sync"

	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
)

// probationPermits are the probation permits that this coordinator has issued as leader. A new leader knows none
// of its predecessor's, and may issue one again.
type probationPermits struct {
	mutex  sync.Mutex
	issued *poison.Permits
}

// handlePermit decides at the leader whether a request on probation may be tried now. Other coordinators
// forward the query to the leader.
func (c *Coordinator) handlePermit(ctx context.Context, request *poison.PermitRequest) (*poison.PermitReply, error) {
	if c.group.Leads() {
		c.permits.mutex.Lock()
		defer c.permits.mutex.Unlock()
		wait := c.permits.issued.Acquire(c.now(), c.settings.ContactTime, request.Digest)
		return &poison.PermitReply{WaitMillis: wait.Milliseconds()}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	reply := &poison.PermitReply{}
	err := c.atLeader(bounded, func(ctx context.Context, leader string) error {
		return c.client.Call(ctx, leader, region.PathPermit, request, reply)
	})
	return reply, err
}
