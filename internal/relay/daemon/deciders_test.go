package daemon

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

func newTestPlacementMode() *placementMode {
	socket := &datagram.Socket{}
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	return &placementMode{
		forwards: newForwardClient(Settings{}),
		peers:    peers.New(peers.Options{Name: "gateway", Address: "10.0.0.1:1", Directory: directory, Socket: socket}),
		client:   placement.NewClient("gateway", 1, directory, socket, logr.Discard()),
	}
}

func TestACoordinatorThatHasRestartedDoesNotMakeGatewaysChoose(t *testing.T) {
	mode := newTestPlacementMode()
	few := &region.View{PeersHash: 7, Peers: []string{"10.0.0.1:1", "10.0.0.2:1"}}
	many := &region.View{Places: true}

	mode.update(time.Second, "10.0.1.1:1", few)
	assert.False(t, mode.client.HasCoordinator())
	assert.EqualValues(t, 7, mode.peers.AddressesHash())

	mode.update(2*time.Second, "10.0.1.1:1", many)
	assert.True(t, mode.client.HasCoordinator())
	assert.Zero(t, mode.peers.AddressesHash(), "the gateway reports to no peers any more")

	mode.update(3*time.Second, "10.0.1.2:1", few)
	assert.True(t, mode.client.HasCoordinator(), "the coordinator has not counted the gateways yet")

	mode.update(2*time.Second+remotePlacementHoldTime+1, "10.0.1.2:1", few)
	assert.False(t, mode.client.HasCoordinator(), "the coordinator still reports few gateways after the hold time")
	assert.EqualValues(t, 7, mode.peers.AddressesHash())
}
