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

// placementService chooses replicas for the gateways that poll this coordinator.
type placementService struct {
	directory *relay.Directory
	socket    *datagram.Socket
	server    *placement.Server
	peers     *peers.Peers
	warmup    *placement.Warmup
}

func newPlacementService(settings Settings, clock func() time.Duration) *placementService {
	life := time.Now().UnixNano()
	socket := &datagram.Socket{Logger: settings.Logger}
	directory := relay.NewDirectory(clock, settings.Zone, func(string, string) {}, settings.Logger)
	directory.SwitchOff(settings.Without)
	directory.KnowPlaces(settings.Topology)
	server := placement.NewServer(directory, clock, life, settings.Logger)
	server.Serve(socket)
	return &placementService{
		directory: directory,
		socket:    socket,
		server:    server,
		peers: peers.New(peers.Options{
			Name:              settings.Name,
			Address:           settings.Address,
			Life:              life,
			Zone:              settings.Zone,
			Topology:          settings.Topology,
			LinkBitsPerSecond: settings.LinkBitsPerSecond,
			OtherRegionsRate:  settings.OtherRegionsRate,
			Directory:         directory,
			Socket:            socket,
		}),
		warmup: &placement.Warmup{Source: settings.Prefixes, Directory: directory, Logger: settings.Logger},
	}
}

// places reports whether the region has so many gateways that coordinators choose replicas
// for them.
func (c *Coordinator) places() bool {
	if c.settings.PlacesAbove < 0 || c.settings.Without[mechanism.Placement] {
		return false
	}
	return len(c.gateways.known().addresses) > c.settings.PlacesAbove
}

const (
	// placesPoll is the pause between two looks whether there are many gateways.
	placesPoll = 50 * time.Millisecond
	// placementMembersInterval is the pause between two looks for other coordinators.
	placementMembersInterval = 300 * time.Millisecond
)

// place chooses replicas for gateways from when there are many of them.
func (c *Coordinator) place(ctx context.Context) {
	for !c.places() {
		if !lifecycle.Sleep(ctx, placesPoll) {
			return
		}
	}
	c.logger.Info(event.PlacementBegun, "above", c.settings.PlacesAbove)
	c.placement.warmup.Owns = c.asksKept
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		c.keepDirectory, c.keepPlacementPeers,
		c.placement.server.Sweep, c.placement.peers.Tell, c.placement.warmup.Run, c.learnKept, c.logRegionWords,
	} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// listenForDatagrams takes the questions of gateways, and the word of other coordinators.
func (c *Coordinator) listenForDatagrams(ctx context.Context) {
	if err := c.placement.socket.Run(ctx, c.settings.Address); err != nil {
		// Gateways get no answer: they choose by themselves, and ask another about limits.
		c.logger.Info(event.PeersUnreachable, "address", c.settings.Address, "error", failure.Text(err))
	}
}

// keepDirectory has the placement know the replicas and the engines in force.
func (c *Coordinator) keepDirectory(ctx context.Context) {
	var version, revision uint64
	for ctx.Err() == nil {
		state, changed := c.machine.read()
		if state.ListRevision > revision {
			revision = state.ListRevision
			shown := &region.View{}
			shownSince(state, 0, shown)
			c.placement.directory.Replace(shown.Replicas)
			c.limits.tellChoices()
		}
		if state.Version > version {
			version = state.Version
			c.takeEngines(state)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// takeEngines takes over what the configuration says of engines.
func (c *Coordinator) takeEngines(state region.State) {
	configuration, err := readConfiguration(c.settings.Codec, state.Document)
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

// keepPlacementPeers has the coordinators tell each other of what they have placed.
func (c *Coordinator) keepPlacementPeers(ctx context.Context) {
	for {
		addresses := c.sortedMembers()
		if hash := hashOf(addresses); hash != c.placement.peers.Known() {
			c.placement.peers.Take(hash, addresses)
		}
		if !lifecycle.Sleep(ctx, placementMembersInterval) {
			return
		}
	}
}
