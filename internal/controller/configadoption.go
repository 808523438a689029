package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	// configPullWait is how long a source may hold a pull request while it has
	// no newer configuration.
	configPullWait = 2 * time.Second
	// configPullMargin is added to configPullWait for the round trip.
	configPullMargin        = time.Second
	configPullRetryInterval = 250 * time.Millisecond
	// maximumConfigSources limits the number of concurrent pulls.
	maximumConfigSources = 16
)

// adoptConfiguration offers each newer configuration to the reconcile core
// during a term. It pulls from all config voters and from other zones'
// controllers concurrently: a source that is isolated itself holds its pull
// without a newer configuration, which must not delay one from another source.
func (c *Controller) adoptConfiguration(ctx context.Context, t *term) {
	var running sync.WaitGroup
	defer running.Wait()
	if c.config != nil {
		running.Go(c.guard(func() { c.adoptLocalConfiguration(ctx, t) }))
	}
	for _, address := range c.configSources() {
		running.Go(c.guard(func() { c.pullConfiguration(ctx, t, address) }))
	}
}

func (c *Controller) configSources() []string {
	sources := concatUnique(c.settings.ConfigVoters)
	for _, zone := range c.settings.Zones {
		if zone != c.settings.Zone {
			sources = concatUnique(sources, c.directory.controllers(zone))
		}
	}
	others := sources[:0]
	for _, address := range sources {
		if address != c.settings.AdvertiseAddress {
			others = append(others, address)
		}
	}
	return others[:min(len(others), maximumConfigSources)]
}

// adoptLocalConfiguration offers the configurations that this controller's own
// replica of the config group has applied; these are committed.
func (c *Controller) adoptLocalConfiguration(ctx context.Context, t *term) {
	for {
		changed := c.configMachine.changed.wait()
		snapshot, err := c.configMachine.configuration()
		if err != nil {
			c.logger.Error(failure.Wrap(err, failure.Internal), "failed to read the configuration")
		} else if snapshot.Revision > 0 {
			t.offerConfig(snapshot)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Controller) pullConfiguration(ctx context.Context, t *term, address string) {
	for ctx.Err() == nil {
		snapshot, err := c.pullOnce(ctx, address, c.zoneConfigRevision())
		if err != nil {
			if !lifecycle.Sleep(ctx, configPullRetryInterval) {
				return
			}
			continue
		}
		if snapshot == nil {
			continue
		}
		t.offerConfig(snapshot)
		c.awaitAdoption(ctx, snapshot.Revision)
	}
}

// awaitAdoption waits until the zone has adopted the revision, for at most the
// proposal timeout, so that the next pull does not return the same snapshot.
func (c *Controller) awaitAdoption(ctx context.Context, revision uint64) {
	timer := time.NewTimer(c.settings.ProposalTimeout)
	defer timer.Stop()
	for {
		changed := c.zoneMachine.changed.wait()
		if c.zoneConfigRevision() >= revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

func (c *Controller) pullOnce(ctx context.Context, address string, revision uint64) (*dynamic.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, configPullWait+configPullMargin)
	defer cancel()
	var reply wire.ConfigPullReply
	request := &wire.ConfigPullRequest{Revision: revision, WaitMillis: configPullWait.Milliseconds()}
	if err := c.client.Call(ctx, address, wire.PathConfigPull, request, &reply); err != nil {
		return nil, err
	}
	return reply.Snapshot, nil
}

func (c *Controller) zoneConfigRevision() (revision uint64) {
	c.zoneMachine.Read(func(state *zonestate.State) { revision = state.ConfigRevision() })
	return revision
}

// newestConfiguration returns the newest committed configuration that this
// controller has, from the config group or from its zone.
func (c *Controller) newestConfiguration() (*dynamic.Snapshot, error) {
	var newest *dynamic.Snapshot
	c.zoneMachine.Read(func(state *zonestate.State) { newest = state.Config() })
	if c.config == nil {
		return newest, nil
	}
	local, err := c.configMachine.configuration()
	if err != nil {
		return newest, err
	}
	if newest == nil || local.Revision > newest.Revision {
		newest = local
	}
	return newest, nil
}

// handleConfigPull waits for a configuration newer than the requester's. The reply
// is empty if there is none within the requested time.
func (c *Controller) handleConfigPull(ctx context.Context, request *wire.ConfigPullRequest) (*wire.ConfigPullReply, error) {
	if !c.watches.TryAcquire(1) {
		return nil, failure.New(failure.QueueFull, "too many watches wait")
	}
	defer c.watches.Release(1)
	timer := time.NewTimer(min(time.Duration(request.WaitMillis)*time.Millisecond, maximumWatchTime))
	defer timer.Stop()
	for {
		zoneChanged := c.zoneMachine.changed.wait()
		configChanged := c.configChanged()
		snapshot, err := c.newestConfiguration()
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal)
		}
		if snapshot != nil && snapshot.Revision > request.Revision {
			return &wire.ConfigPullReply{Snapshot: snapshot}, nil
		}
		select {
		case <-zoneChanged:
		case <-configChanged:
		case <-timer.C:
			return &wire.ConfigPullReply{}, nil
		case <-c.stopping.Done():
			return nil, failure.New(failure.Leaving, "the controller is leaving")
		case <-ctx.Done():
			return nil, failure.Wrap(ctx.Err(), failure.DeadlineExceeded)
		}
	}
}

// configChanged returns a channel that is closed at the config group's next
// change, or nil if this controller is not a config voter.
func (c *Controller) configChanged() <-chan struct{} {
	if c.config == nil {
		return nil
	}
	return c.configMachine.changed.wait()
}
