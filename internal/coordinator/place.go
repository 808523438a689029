package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// placementService selects replicas for the gateways that poll this coordinator.
type placementService struct {
	directory *relay.Directory
	socket    *datagram.Socket
	server    *placement.Server
	peers     *peers.Peers
	warmup    *placement.Warmup
}

func newPlacementService(settings Settings, clock func() time.Duration) *placementService {
	startedAt := time.Now().UnixNano()
	socket := &datagram.Socket{Logger: settings.Logger}
	directory := relay.NewDirectory(clock, settings.Zone, func(string, string) {}, settings.Logger)
	directory.Disable(settings.DisabledMechanisms)
	directory.SetRegions(settings.Topology)
	server := placement.NewServer(directory, clock, startedAt, settings.Logger)
	server.Serve(socket)
	return &placementService{
		directory: directory,
		socket:    socket,
		server:    server,
		peers: peers.New(peers.Options{
			Name:              settings.Name,
			Address:           settings.Address,
			Incarnation:       startedAt,
			Zone:              settings.Zone,
			Topology:          settings.Topology,
			LinkBitsPerSecond: settings.LinkBitsPerSecond,
			OtherRegionsRate:  settings.OtherRegionsBytesPerSecond,
			Directory:         directory,
			Socket:            socket,
		}),
		warmup: &placement.Warmup{Source: settings.PrefixSource, Directory: directory, Logger: settings.Logger},
	}
}

// placementEnabled reports whether the region has so many gateways that coordinators select replicas
// for them.
func (c *Coordinator) placementEnabled() bool {
	if c.settings.PlacementGatewayThreshold < 0 || c.settings.DisabledMechanisms[mechanism.Placement] {
		return false
	}
	return len(c.gateways.known().addresses) > c.settings.PlacementGatewayThreshold
}

const (
	// gatewayCountInterval is the interval at which the number of gateways is checked.
	gatewayCountInterval = 50 * time.Millisecond
	// placementMembersInterval is the interval at which the list of coordinators is checked.
	placementMembersInterval = 300 * time.Millisecond
)

// placeForGateways waits until there are enough gateways, then selects replicas for them until the context ends.
func (c *Coordinator) placeForGateways(ctx context.Context) {
	for !c.placementEnabled() {
		if !lifecycle.Sleep(ctx, gatewayCountInterval) {
			return
		}
	}
	c.logger.Info(event.PlacementBegun, "above", c.settings.PlacementGatewayThreshold)
	c.placement.warmup.Owns = c.queriesCache
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		c.syncDirectory, c.syncPlacementPeers,
		c.placement.server.Sweep, c.placement.peers.Run, c.placement.warmup.Run, c.learnCached, c.logRegionReports,
	} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// listenForDatagrams receives the queries of gateways and the reports of other coordinators.
func (c *Coordinator) listenForDatagrams(ctx context.Context) {
	if err := c.placement.socket.Run(ctx, c.settings.Address); err != nil {
		// Gateways get no response: they select replicas themselves, and ask another coordinator about limits.
		c.logger.Info(event.PeersUnreachable, "address", c.settings.Address, "error", failure.Text(err))
	}
}

// syncDirectory keeps the directory's replicas and engine settings up to date.
func (c *Coordinator) syncDirectory(ctx context.Context) {
	var version, revision uint64
	for ctx.Err() == nil {
		state, changed := c.machine.read()
		c.placement.directory.SetNewSoftware(state.NewSoftware)
		if state.ListRevision > revision {
			revision = state.ListRevision
			view := &region.View{}
			addListChanges(state, 0, view)
			c.placement.directory.Replace(view.Replicas)
			c.limits.updateDirectoryLimits()
		}
		if state.Version > version {
			version = state.Version
			c.applyEngines(state)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyEngines applies the configuration's engine settings to the directory.
func (c *Coordinator) applyEngines(state region.State) {
	configuration, err := decodeConfiguration(c.settings.Codec, state.Document)
	if err != nil {
		c.logger.Info(event.ConfigurationRefused, "version", state.Version, "reason", err.Error())
		return
	}
	for _, service := range configuration.Services {
		if service.Engine != nil {
			c.placement.directory.SetEngine(service.Name, *service.Engine)
		}
	}
}

// syncPlacementPeers keeps the list of coordinators to which placements are reported up to date.
func (c *Coordinator) syncPlacementPeers(ctx context.Context) {
	for {
		addresses := c.sortedMembers()
		if hash := region.HashAddresses(addresses); hash != c.placement.peers.AddressesHash() {
			c.placement.peers.SetAddresses(hash, addresses)
		}
		if !lifecycle.Sleep(ctx, placementMembersInterval) {
			return
		}
	}
}
