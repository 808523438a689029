package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestAPollCostsTheSameWithManyGateways: each poll sorted and hashed all gateways that were known, so that the coordinators
// of 985 gateways spent a third of their time on it.
func TestAPollCostsTheSameWithManyGateways(t *testing.T) {
	for _, gateways := range []int{100, 1_000, 2_000} {
		list := newGatewayList()
		for index := range gateways {
			list.polled(0, fmt.Sprint("gateway-", index))
			list.learn(0, []string{fmt.Sprint("other-", index)})
		}
		assert.Len(t, list.known().addresses, gateways)
		assert.Len(t, list.all(0).addresses, 2*gateways)
		allocated := testing.AllocsPerRun(20, func() {
			list.polled(time.Second, "gateway-7")
			list.learn(time.Second, []string{"other-7"})
			list.known()
			list.all(time.Second)
		})
		assert.LessOrEqual(t, allocated, 2.0, gateways)
	}
}

func TestGatewaysComeAndGo(t *testing.T) {
	list := newGatewayList()
	list.polled(0, "b")
	list.learn(0, []string{"a", "b"})
	assert.Equal(t, []string{"a", "b"}, list.all(0).addresses)
	assert.Equal(t, []string{"b"}, list.known().addresses)
	list.take([]string{"a", "b", "c"})
	assert.Equal(t, []string{"a", "b", "c"}, list.known().addresses)
	list.polled(8*time.Second, "d")
	assert.Equal(t, []string{"a", "b", "d"}, list.all(8*time.Second).addresses)
	assert.Equal(t, []string{"a", "b", "c", "d"}, list.everyone(8*time.Second))
	assert.Equal(t, []string{"d"}, list.own(11*time.Second))
	assert.Equal(t, []string{"d"}, list.all(11*time.Second).addresses)
	assert.Equal(t, hashOf([]string{"d"}), list.all(11*time.Second).hash)
}

// TestACoordinatorOfAnEarlierVersionIsTold: it shows its gateways all replicas, and those that go on to another one must not
// be left with replicas whose leaving nobody tells them.
func TestACoordinatorOfAnEarlierVersionIsTold(t *testing.T) {
	zones := newMemberZones()
	zones.learn("a", "north")
	assert.False(t, zones.anyEarlier([]string{"a", "b"}), "nothing is known of one")
	zones.learn("b", "")
	assert.True(t, zones.anyEarlier([]string{"a", "b"}))
	assert.False(t, zones.anyEarlier([]string{"a"}), "it is no member any more")
	zones.learn("b", "south")
	assert.False(t, zones.anyEarlier([]string{"a", "b"}))

	list := zones.of([]string{"a", "b", "c"})
	assert.Equal(t, []string{"north", "south", ""}, list.zones)
	other := newMemberZones()
	other.take(list.told())
	assert.Equal(t, list.hash, other.of([]string{"a", "b", "c"}).hash)
}
