package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// disks holds the in-memory disks of a group's coordinators, by address. Tests simulate power loss on them
// and delete them.
type disks struct {
	mutex     sync.Mutex
	byAddress map[string]*memoryfs.FileSystem
}

// adapt sets a coordinator's disk, an empty one if it has none yet.
func (d *disks) adapt(settings *coordinator.Settings) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.byAddress[settings.Address] == nil {
		d.byAddress[settings.Address] = memoryfs.New()
	}
	settings.FileSystem, settings.DataFolder = storage.FileSystem(d.byAddress[settings.Address]), "/data"
}

// cutPower stops all coordinators at the same moment. Each loses its unsynced writes, and the one at the
// address lost loses its whole disk.
func (g *group) cutPower(d *disks, lost string, random *rand.Rand) {
	g.t.Helper()
	for address, process := range g.running {
		d.byAddress[address].Crash(random)
		process.stop()
	}
	for address, process := range g.running {
		// The error is ignored: the coordinator may have noticed the loss of its disk.
		<-process.done
		delete(g.running, address)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.byAddress, lost)
}

// holdRequest reports that a request has crashed three replicas, waits until the request is held, and returns its
// digest.
func (g *group) holdRequest() poison.Digest {
	g.t.Helper()
	digest := poison.Content{Body: []byte("ends replicas")}.Digest()
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(g.t, err)
	defer client.Close()
	for number, address := range g.addresses {
		report := &poison.Report{Gateway: "g", Crashes: []poison.Crash{{Replica: fmt.Sprint("i-", number), Requests: []poison.Digest{digest}}}}
		eventually(g.t, func(ctx context.Context) error {
			return client.Call(ctx, address, region.PathPoison, report, &region.PoisonReply{})
		})
	}
	eventually(g.t, func(ctx context.Context) error {
		held, err := g.running[g.addresses[0]].HeldRequests(ctx)
		if err == nil && len(held) == 0 {
			err = errors.New("no request is held yet")
		}
		return err
	})
	return digest
}

// TestAcknowledgedConfigurationSurvivesPowerLossAndDiskLoss: all machines lose power and one disk is lost at the same
// moment, right after a configuration was acknowledged. The remaining disks must have the configuration, since a
// majority had synced it before.
func TestAcknowledgedConfigurationSurvivesPowerLossAndDiskLoss(t *testing.T) {
	random := rand.New(rand.NewPCG(31, 7))
	stored := &disks{byAddress: map[string]*memoryfs.FileSystem{}}
	g := newGroupWith(t, stored.adapt)
	for round := 1; round <= 4; round++ {
		acknowledging := g.addresses[random.IntN(len(g.addresses))]
		g.replace(acknowledging, round)
		lost := g.addresses[random.IntN(len(g.addresses))]
		g.cutPower(stored, lost, random)
		for _, address := range g.addresses {
			g.start(address, address, false)
		}
		g.expectEverywhere(round)
		// The group tolerates the next loss once the coordinator with the empty disk is a voter again.
		g.awaitVote(lost)
	}
}

// TestHoldsSurvivePowerLossAndDiskLoss: as above, but right after a request was held. The remaining disks must
// have the hold.
func TestHoldsSurvivePowerLossAndDiskLoss(t *testing.T) {
	random := rand.New(rand.NewPCG(32, 7))
	stored := &disks{byAddress: map[string]*memoryfs.FileSystem{}}
	g := newGroupWith(t, stored.adapt)
	g.replace(g.addresses[0], 1)
	digest := g.holdRequest()
	g.cutPower(stored, g.addresses[random.IntN(len(g.addresses))], random)
	for _, address := range g.addresses {
		g.start(address, address, false)
	}
	g.expectEverywhere(1)
	held, err := g.running[g.addresses[0]].HeldRequests(t.Context())
	require.NoError(t, err)
	require.Len(t, held, 1)
	assert.Equal(t, digest.String(), held[0].Digest)
}
