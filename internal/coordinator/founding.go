package coordinator

import (
	"context"

	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
)

func (c *Coordinator) handleIdentity(context.Context, *peer.GroupRequest) (*peer.IdentityReply, error) {
	return c.group.Identity(), nil
}

func (c *Coordinator) handlePromise(ctx context.Context, request *replica.FoundingRequest) (*replica.FoundingPromise, error) {
	return c.group.PromiseFounding(ctx, request)
}

func (c *Coordinator) handleFound(ctx context.Context, founding *replica.Founding) (*peer.Empty, error) {
	return &peer.Empty{}, c.group.TakeFounding(ctx, founding)
}
