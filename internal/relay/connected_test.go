package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// Guards against too many connections: 35,000 were open for 30,000 requests. Each of 985 gateways sent an
// occasional request to one of 256 replicas with equal ratings. As it chose among them at random each time,
// it rarely used a replica again while a connection to it was still open.
func TestGatewayPrefersReplicaWithOpenConnection(t *testing.T) {
	for _, size := range []int{16, 64, 256} {
		list := make([]region.Replica, size)
		for index := range list {
			list[index] = replica(fmt.Sprint("r", index), "")
		}
		d := newDirectory(list...)
		connections := map[string]bool{}
		d.SetConnected(func(_, incarnation string) bool { return connections[incarnation] })
		for range 40 {
			lease := d.PickAny("s", relay.Wanted{})
			connections[lease.Replica.Incarnation().Name()] = true
			lease.Release()
		}
		assert.Len(t, connections, 1, size)

		first := d.PickAny("s", relay.Wanted{})
		second := d.PickAny("s", relay.Wanted{})
		assert.NotEqual(t, first.Replica.ID, second.Replica.ID, "load takes precedence over an open connection")
	}
}

// Guards against idle connections that fill a replica, which resets those beyond its maximum: each gateway
// kept eight idle connections, regardless of the number of gateways.
func TestIdleConnectionsOfAllGatewaysLeaveCapacityForRequests(t *testing.T) {
	for _, maximumConnections := range []int{1, 4, 32, 110, 250, 520, 2100} {
		for _, gateways := range []int{1, 4, 9, 65, 295, 985} {
			limit := relay.IdleConnectionLimit(maximumConnections, gateways)
			assert.GreaterOrEqual(t, limit, 1, "at least one connection is kept for reuse")
			assert.LessOrEqual(t, gateways*limit, max(maximumConnections/2, gateways), "%d connections, %d gateways", maximumConnections, gateways)
		}
	}
	assert.Equal(t, 8, relay.IdleConnectionLimit(0, 985), "the maximum is unknown")
}
