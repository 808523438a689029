package coordinator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Symptom: 6,400 calls to 256 replicas, each of which did no other work meanwhile, after a restart of 25 coordinators. Cause: each
// coordinator asked each replica what it keeps.
func TestEachReplicaIsAskedByOneCoordinatorWhatItKeeps(t *testing.T) {
	for _, coordinators := range []int{3, 25, 100} {
		var members []string
		for index := range coordinators {
			members = append(members, fmt.Sprintf("10.0.0.%d:7380", index))
		}
		owned := map[string]int{}
		for index := range 10_000 {
			owned[ownerOf(members, fmt.Sprint("replica-", index))]++
		}
		assert.Len(t, owned, coordinators)
		for member, count := range owned {
			assert.InDelta(t, 10_000/coordinators, count, 5_000/float64(coordinators), member)
		}
		replica := "replica-7"
		owner := ownerOf(members, replica)
		for _, gone := range members[:2] {
			left := make([]string, 0, len(members))
			for _, member := range members {
				if member != gone {
					left = append(left, member)
				}
			}
			if gone != owner {
				assert.Equal(t, owner, ownerOf(left, replica), "another's loss changes nothing")
			}
		}
	}
}

func TestTheReplicasOfACoordinatorThatDoesNotAnswerAreAskedByOthers(t *testing.T) {
	owners := keptOwners{}
	assert.False(t, owners.isDeaf("a"))
	for range keptMisses {
		assert.False(t, owners.isDeaf("a"))
		owners.missed("a")
	}
	assert.True(t, owners.isDeaf("a"))
	assert.False(t, owners.isDeaf("b"))
}
