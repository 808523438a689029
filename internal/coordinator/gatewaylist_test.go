package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

// TestPollCostDoesNotGrowWithGateways: each poll sorted and hashed all known gateways, and the coordinators of 985 gateways
// spent a third of their time on it.
func TestPollCostDoesNotGrowWithGateways(t *testing.T) {
	for _, gateways := range []int{100, 1_000, 2_000} {
		list := newGatewayList()
		for index := range gateways {
			list.recordPoll(0, fmt.Sprint("gateway-", index))
			list.recordReported(0, []string{fmt.Sprint("other-", index)})
		}
		assert.Len(t, list.known().addresses, gateways)
		assert.Len(t, list.all(0).addresses, 2*gateways)
		allocated := testing.AllocsPerRun(20, func() {
			list.recordPoll(time.Second, "gateway-7")
			list.recordReported(time.Second, []string{"other-7"})
			list.known()
			list.all(time.Second)
		})
		assert.LessOrEqual(t, allocated, 2.0, gateways)
	}
}

func TestGatewayListMergesSourcesAndExpires(t *testing.T) {
	list := newGatewayList()
	list.recordPoll(0, "b")
	list.recordReported(0, []string{"a", "b"})
	assert.Equal(t, []string{"a", "b"}, list.all(0).addresses)
	assert.Equal(t, []string{"b"}, list.known().addresses)
	list.setFromLeader([]string{"a", "b", "c"})
	assert.Equal(t, []string{"a", "b", "c"}, list.known().addresses)
	list.recordPoll(8*time.Second, "d")
	assert.Equal(t, []string{"a", "b", "d"}, list.all(8*time.Second).addresses)
	assert.Equal(t, []string{"a", "b", "c", "d"}, list.allKnown(8*time.Second))
	assert.Equal(t, []string{"d"}, list.localGateways(11*time.Second))
	assert.Equal(t, []string{"d"}, list.all(11*time.Second).addresses)
	assert.Equal(t, region.HashAddresses([]string{"d"}), list.all(11*time.Second).hash)
}

// TestCoordinatorOfEarlierVersionIsRecognized: such a coordinator shows its gateways all replicas. Gateways that then poll
// another coordinator must not keep replicas whose leaving no coordinator reports to them.
func TestCoordinatorOfEarlierVersionIsRecognized(t *testing.T) {
	zones := newMemberZones()
	zones.set("a", "north")
	assert.False(t, zones.hasLegacyMember([]string{"a", "b"}), "the version of one is unknown")
	zones.set("b", "")
	assert.True(t, zones.hasLegacyMember([]string{"a", "b"}))
	assert.False(t, zones.hasLegacyMember([]string{"a"}), "b is no longer a member")
	zones.set("b", "south")
	assert.False(t, zones.hasLegacyMember([]string{"a", "b"}))

	list := zones.withZones([]string{"a", "b", "c"})
	assert.Equal(t, []string{"north", "south", ""}, list.zones)
	other := newMemberZones()
	other.merge(list.known())
	assert.Equal(t, list.hash, other.withZones([]string{"a", "b", "c"}).hash)
}
