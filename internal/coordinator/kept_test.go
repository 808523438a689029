package coordinator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEachReplicaHasOneCacheOwner: after a restart of 25 coordinators, each of them asked each of 256 replicas which prefixes
// it has cached. In these 6,400 calls replicas did no other work.
func TestEachReplicaHasOneCacheOwner(t *testing.T) {
	for _, coordinators := range []int{3, 25, 100} {
		var members []string
		for index := range coordinators {
			members = append(members, fmt.Sprintf("10.0.0.%d:7380", index))
		}
		owned := map[string]int{}
		for index := range 10_000 {
			owned[cacheOwnerOf(members, fmt.Sprint("replica-", index))]++
		}
		assert.Len(t, owned, coordinators)
		for member, count := range owned {
			assert.InDelta(t, 10_000/coordinators, count, 5_000/float64(coordinators), member)
		}
		replica := "replica-7"
		owner := cacheOwnerOf(members, replica)
		for _, removed := range members[:2] {
			left := make([]string, 0, len(members))
			for _, member := range members {
				if member != removed {
					left = append(left, member)
				}
			}
			if removed != owner {
				assert.Equal(t, owner, cacheOwnerOf(left, replica), "the loss of another coordinator must not change the owner")
			}
		}
	}
}

func TestCacheOwnerIsUnresponsiveAfterRepeatedFailures(t *testing.T) {
	owners := cacheOwners{}
	assert.False(t, owners.isUnresponsive("a"))
	for range maximumCacheQueryFailures {
		assert.False(t, owners.isUnresponsive("a"))
		owners.recordFailure("a")
	}
	assert.True(t, owners.isUnresponsive("a"))
	assert.False(t, owners.isUnresponsive("b"))
}
