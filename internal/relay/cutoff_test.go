package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// newDecodeDirectory returns a directory of a number of decode replicas.
func newDecodeDirectory(count int) *directory {
	var replicas []region.Replica
	for number := range count {
		replicas = append(replicas, replica(fmt.Sprint("decode-", number), region.StageDecode))
	}
	return newDirectory(replicas...)
}

// loseContact has a directory fail to connect to as many replicas.
func (d *directory) loseContact(t *testing.T, count int) {
	t.Helper()
	var lost []*relay.Replica
	for range count {
		lease := d.PickAny("s", relay.Wanted{Excluded: lost})
		require.NotNil(t, lease)
		lease.Unreachable(false)
		lease.Release()
		lost = append(lost, lease.Replica)
	}
}

// Guards against a gateway's own lost links that count as a fault of all replicas: coordinators then took decode
// replicas for missing, and other gateways avoided sound ones.
func TestAGatewayThatReachesNoReplicaReportsNoneAsUnreachable(t *testing.T) {
	d := newDecodeDirectory(6)
	d.loseContact(t, 6)
	d.now += 10 * time.Millisecond
	assert.Empty(t, d.Unreachable())
	for _, demand := range d.Demand(topology.Map{}) {
		assert.Empty(t, demand.Unreachable)
	}
}
