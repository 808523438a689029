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

func newDeciders() *deciders {
	socket := &datagram.Socket{}
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logr.Discard())
	return &deciders{
		peers: peers.New(peers.Options{Name: "gateway", Address: "10.0.0.1:1", Directory: directory, Socket: socket}),
		asker: placement.NewClient("gateway", 1, directory, socket, logr.Discard()),
	}
}

func TestACoordinatorThatHasRestartedDoesNotMakeGatewaysChoose(t *testing.T) {
	d := newDeciders()
	few := &region.View{PeersHash: 7, Peers: []string{"10.0.0.1:1", "10.0.0.2:1"}}
	many := &region.View{Places: true}

	d.take(time.Second, "10.0.1.1:1", few)
	assert.False(t, d.asker.Asks())
	assert.EqualValues(t, 7, d.peers.Known())

	d.take(2*time.Second, "10.0.1.1:1", many)
	assert.True(t, d.asker.Asks())
	assert.Zero(t, d.peers.Known(), "nobody is told any more")

	d.take(3*time.Second, "10.0.1.2:1", few)
	assert.True(t, d.asker.Asks(), "it has not counted the gateways yet")

	d.take(2*time.Second+placesMemory+1, "10.0.1.2:1", few)
	assert.False(t, d.asker.Asks(), "there are few for good")
	assert.EqualValues(t, 7, d.peers.Known())
}
