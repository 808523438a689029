package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/replication"
)

const (
	firstGeneration       = 1
	foundingRetryInterval = 500 * time.Millisecond
	// foundingCallTimeout bounds one peer's promise, which it syncs to disk.
	foundingCallTimeout = 5 * time.Second
)

// foundGroup founds a group of the settings' first voters, if this controller
// is the first of them, and tries again until it is a member. A controller that
// replaces another never founds: the members refuse to promise.
func (c *Controller) foundGroup(ctx context.Context, g *replication.Group, voters []string) {
	if slices.Min(voters) != c.settings.AdvertiseAddress {
		return
	}
	for isNew(g) {
		founding, err := c.tryFounding(ctx, g, voters)
		if err == nil {
			c.logger.Info("founded group", "group", g.Name, "members", len(founding.Members))
			c.spreadFounding(ctx, founding)
			return
		}
		c.logger.V(1).Info("group is not founded yet", "group", g.Name, "error", err.Error())
		if !sleep(ctx, foundingRetryInterval) {
			return
		}
	}
}

// tryFounding first looks whether the group exists already: a replica that has
// promised a founding of its own could not join it any more.
func (c *Controller) tryFounding(ctx context.Context, g *replication.Group, voters []string) (replica.Founding, error) {
	options := c.bootstrapOptions(voters)
	for _, address := range options.OtherAddresses {
		identity, err := c.askIdentity(ctx, address, g.Number)
		if err != nil {
			return replica.Founding{}, err
		}
		if identity.Stage == storage.StageMember.String() {
			return replica.Founding{}, fmt.Errorf("%s is a member of the group already: this replica waits to be added", address)
		}
	}
	return g.Runner.Bootstrap(ctx, options)
}

func (c *Controller) askIdentity(ctx context.Context, address string, number uint64) (peer.IdentityReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var identity peer.IdentityReply
	err := c.client.Call(ctx, address, peer.PathIdentity, &peer.GroupRequest{Group: number}, &identity)
	return identity, err
}

func isNew(g *replication.Group) bool {
	status := g.Runner.Status()
	return status.Quarantined == nil && status.Stage != storage.StageMember
}

func (c *Controller) bootstrapOptions(voters []string) replica.BootstrapOptions {
	others := slices.DeleteFunc(slices.Clone(voters), func(address string) bool {
		return address == c.settings.AdvertiseAddress
	})
	return replica.BootstrapOptions{
		Generation:     firstGeneration,
		SelfAddress:    c.settings.AdvertiseAddress,
		OtherAddresses: others,
		Collect:        c.collectPromise,
	}
}

func (c *Controller) collectPromise(ctx context.Context, address string, request replica.FoundingRequest) (replica.FoundingPromise, error) {
	ctx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
	defer cancel()
	var promise replica.FoundingPromise
	err := c.client.Call(ctx, address, peer.PathPromise, &request, &promise)
	return promise, err
}

// spreadFounding tells the other members. Who misses it learns of the group
// from its leader.
func (c *Controller) spreadFounding(ctx context.Context, founding replica.Founding) {
	for _, member := range founding.Members {
		if member.Address == c.settings.AdvertiseAddress {
			continue
		}
		if err := c.tellFounding(ctx, member.Address, founding); err != nil {
			c.logger.V(1).Info("founding was not told", "peer", member.Address, "error", err.Error())
		}
	}
}

func (c *Controller) tellFounding(ctx context.Context, address string, founding replica.Founding) error {
	ctx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
	defer cancel()
	return c.client.Call(ctx, address, peer.PathFound, &founding, &peer.Empty{})
}

// handlePromise promises to take part in a founding.
func (c *Controller) handlePromise(ctx context.Context, request *replica.FoundingRequest) (*replica.FoundingPromise, error) {
	g, err := c.groupByNumber(request.Group)
	if err != nil {
		return nil, err
	}
	promise, err := g.Runner.PromiseFounding(ctx, *request)
	if errors.Is(err, replica.ErrFoundingRefused) {
		return nil, failure.Wrap(err, failure.ChangeInProgress)
	}
	return &promise, g.Translate(err)
}

// handleFound takes part in a founding.
func (c *Controller) handleFound(ctx context.Context, founding *replica.Founding) (*peer.Empty, error) {
	g, err := c.groupByNumber(founding.Group)
	if err != nil {
		return nil, err
	}
	err = g.Runner.Found(ctx, *founding)
	if errors.Is(err, replica.ErrFoundingRefused) {
		return nil, failure.Wrap(err, failure.ChangeInProgress)
	}
	return &peer.Empty{}, g.Translate(err)
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
