package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/links"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// newDecodeDirectory returns the directory of a gateway, of a number of decode replicas.
func newDecodeDirectory(count int) *directory {
	var replicas []region.Replica
	for number := range count {
		replicas = append(replicas, replica(fmt.Sprint("decode-", number), region.StageDecode))
	}
	d := newDirectory()
	d.TrackLinks(links.OptionsFor(3 * time.Second))
	d.Replace(replicas)
	return d
}

// loseContact has a directory fail to connect to as many replicas.
func (d *directory) loseContact(t *testing.T, count int) (lost []*relay.Replica) {
	t.Helper()
	for range count {
		lease := d.PickAny("s", relay.Wanted{Excluded: lost})
		require.NotNil(t, lease)
		lease.Unreachable(false)
		lease.Release()
		lost = append(lost, lease.Replica)
	}
	return lost
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

func TestAReplicaThatCannotBeReachedIsReportedOnceAnotherOneIs(t *testing.T) {
	d := newDecodeDirectory(6)
	lost := d.loseContact(t, 1)
	assert.Empty(t, d.Unreachable())
	d.now += 10 * time.Millisecond
	sound := d.PickAny("s", relay.Wanted{Excluded: lost})
	d.ObserveDial(sound.Replica.Name(), time.Millisecond, nil)
	assert.Equal(t, []string{lost[0].Name()}, d.Unreachable())
	for _, demand := range d.Demand(topology.Map{}) {
		assert.Equal(t, []string{lost[0].Name()}, demand.Unreachable)
	}
}

// Guards against peers that run another build and report all replicas.
func TestAPeerThatReachesHardlyAnyReplicaIsNotBelieved(t *testing.T) {
	d := newDecodeDirectory(6)
	names := []string{"decode-0", "decode-1", "decode-2", "decode-3"}
	d.TakeUnreachable(names)
	chosen := map[string]bool{}
	var leases []*relay.Lease
	for range 6 {
		leases = append(leases, d.PickAny("s", relay.Wanted{}))
		chosen[leases[len(leases)-1].Replica.ID] = true
	}
	assert.Len(t, chosen, 6)
	for _, lease := range leases {
		lease.Release()
	}
	d.TakeUnreachable(names[:2])
	for range 8 {
		assert.NotContains(t, names[:2], d.PickAny("s", relay.Wanted{}).Replica.ID)
	}
}
