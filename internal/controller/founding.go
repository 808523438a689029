package controller

import (
	"context"

	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/replication"
)

// foundGroup founds a group from the initial voters in the settings, if this
// controller is the one whose address sorts first. It retries until this replica
// is a member.
func (c *Controller) foundGroup(ctx context.Context, g *replication.Group, voters []string) {
	founder := &replication.Founder{Group: g, Client: c.client, Self: c.settings.AdvertiseAddress, Logger: c.logger}
	founder.Found(ctx, voters)
}

// handlePromise records this replica's promise to take part in a founding.
func (c *Controller) handlePromise(ctx context.Context, request *replica.FoundingRequest) (*replica.FoundingPromise, error) {
	g, err := c.groupByNumber(request.Group)
	if err != nil {
		return nil, err
	}
	return g.PromiseFounding(ctx, request)
}

// handleFound makes this replica a member of a group that it promised to found.
func (c *Controller) handleFound(ctx context.Context, founding *replica.Founding) (*peer.Empty, error) {
	g, err := c.groupByNumber(founding.Group)
	if err != nil {
		return nil, err
	}
	return &peer.Empty{}, g.TakeFounding(ctx, founding)
}
