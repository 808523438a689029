package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// Symptom: 35,000 connections for 30,000 requests. Sequence: each of 985 gateways sends a request now and then to one of 256
// replicas that are rated alike. Cause: the choice among these was drawn anew each time, so that a gateway hardly met a
// replica twice while a connection to it was kept.
func TestAGatewayMeetsTheSameFewReplicasWhateverTheirNumber(t *testing.T) {
	for _, size := range []int{16, 64, 256} {
		list := make([]region.Replica, size)
		for index := range list {
			list[index] = replica(fmt.Sprint("r", index), "")
		}
		d := newDirectory(list...)
		connections := map[string]bool{}
		d.KnowConnections(func(_, life string) bool { return connections[life] })
		for range 40 {
			lease := d.PickAny("s", relay.Wanted{})
			connections[lease.Replica.Life().Name()] = true
			lease.Release()
		}
		assert.Len(t, connections, 1, size)

		first := d.PickAny("s", relay.Wanted{})
		second := d.PickAny("s", relay.Wanted{})
		assert.NotEqual(t, first.Replica.ID, second.Replica.ID, "load goes before a connection")
	}
}

// Symptom: a replica resets what is beyond the connections that it takes. Cause: each gateway kept eight of its
// own, however many gateways there are.
func TestUnusedConnectionsOfAllGatewaysLeaveRoomForRequests(t *testing.T) {
	for _, taken := range []int{1, 4, 32, 110, 250, 520, 2100} {
		for _, gateways := range []int{1, 4, 9, 65, 295, 985} {
			part := relay.IdleConnectionLimit(taken, gateways)
			assert.GreaterOrEqual(t, part, 1, "connections are used again")
			assert.LessOrEqual(t, gateways*part, max(taken/2, gateways), "%d connections, %d gateways", taken, gateways)
		}
	}
	assert.Equal(t, 8, relay.IdleConnectionLimit(0, 985), "nothing is said of it")
}
